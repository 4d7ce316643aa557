"""Helpers for bottle applications: creation, JSON responses and bounded request bodies."""

from __future__ import annotations

from typing import Any

import bottle


def new_app() -> Any:
    """Return a bottle application that turns exceptions of its handlers into responses."""
    app = bottle.Bottle()
    app.catchall = True
    return app


def json_response(body: bytes, *, status: int = 200, headers: dict[str, str] | None = None) -> Any:
    """Return a JSON response."""
    return bottle.HTTPResponse(
        body, status=status, headers={"Content-Type": "application/json", **(headers or {})}
    )


def read_body(limit_bytes: int) -> bytes | None:
    """Return the body of the current request, or None if it exceeds the limit.

    ``Content-Length`` is checked before anything is read, so that bottle never spools the body to
    a file.
    """
    request = bottle.request
    if request.content_length > limit_bytes:
        return None
    body: bytes = request.environ["wsgi.input"].read(limit_bytes + 1)
    if len(body) > limit_bytes:
        return None
    return body
