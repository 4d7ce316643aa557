"""Helpers for bottle applications: creation, JSON responses and bounded request bodies."""

from __future__ import annotations

from typing import Any

import bottle

from springrock.httpd import READER_KEY
from springrock.request_reader import RequestReader


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


def read_body(limit_bytes: int, *, within_s: float | None = None) -> bytes | None:
    """Return the body of the current request, or None if it exceeds the limit.

    ``Content-Length`` is checked before anything is read, so that bottle never spools the body to
    a file.

    Args:
        limit_bytes: The longest body.
        within_s: Seconds from the first byte of the request until the body must be there; None for
            the bound of the server.

    Raises:
        RequestNotRead: If a bound of the server or the time ended the reading.
    """
    request = bottle.request
    if request.content_length > limit_bytes:
        return None
    if within_s is not None:
        reader: RequestReader = request.environ[READER_KEY]
        reader.end_within(within_s)
    body: bytes = request.environ["wsgi.input"].read(limit_bytes + 1)
    if len(body) > limit_bytes:
        return None
    return body
