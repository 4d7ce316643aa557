"""Sends some answers a second time, in the place where the next one on their connection is due."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from weakref import WeakKeyDictionary

from springrock.httpd import SOCKET_KEY

COPIED_KEY = "springrock.copied"
"""Set in the WSGI environment by an application whose answer comes a second time, late."""


class LateCopies:
    """WSGI middleware that repeats an answer right before the next one on the same connection.

    Answers whose body is not a list are not repeated.

    Args:
        app: The WSGI application.

    Attributes:
        sent: How many answers were sent again.
    """

    def __init__(self, app: Any) -> None:
        self._app = app
        self._due: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()
        self.sent = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request."""
        connection = environ[SOCKET_KEY]
        due = self._due.pop(connection, None)
        if due is not None:
            self.sent += 1
            connection.sendall(due)
        head: list[Any] = []

        def _record_head(*arguments: Any) -> Any:
            head[:] = arguments
            return start_response(*arguments)

        body: Iterable[bytes] = self._app(environ, _record_head)
        if environ.get(COPIED_KEY) and isinstance(body, list):
            self._due[connection] = _encode(head[0], head[1], b"".join(body))
        return body


def _encode(status: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of an answer with a stated length."""
    kept = [pair for pair in headers if pair[0].lower() != "content-length"]
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in kept)]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    return head.encode("latin-1") + body
