"""Sends answers with a part that has no end, until the caller closes the connection."""

from __future__ import annotations

import errno
import itertools
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import Any

import gevent
from msgspec import Struct

from springrock.httpd import SOCKET_KEY

ENDLESS_KEY = "springrock.endless"
"""Set to an `Endless` in the WSGI environment by an application whose answer must have no end."""

_BLOCK_BYTES = 65_536
_SLOW_BLOCK_BYTES = 16


class EndlessPart(StrEnum):
    """The part of an answer that has no end."""

    STATUS_LINE = "status_line"
    INTERIM = "interim"
    """Interim answers (100 Continue) before the head."""
    SURPLUS = "surplus"
    """Whole answers to other requests before the head."""
    HEADER = "header"
    """The value of one header."""
    HEAD = "head"
    """Headers."""
    CHUNK_SIZE = "chunk_size"
    """The line with the size of a chunk."""
    CHUNKED = "chunked"
    """A body in chunks."""
    TRAILERS = "trailers"
    """The trailers after the last chunk."""
    UNFRAMED = "unframed"
    """A body without length or chunks."""
    LENGTH = "length"
    """A body whose length is stated, but is more than any caller waits for."""
    EVENT = "event"
    """One event of a stream."""
    EVENTS = "events"
    """The events of a stream."""


class Endless(Struct, frozen=True, kw_only=True):
    """An answer without end.

    Attributes:
        part: The part that has no end.
        pause_ms: The pause between two blocks; at 0, blocks are sent as fast as they are read, and
            are larger.
    """

    part: EndlessPart
    pause_ms: float = 0.0


class EndlessAnswers:
    """WSGI middleware that sends an answer without end if the application asks for it.

    Args:
        app: The WSGI application.
    """

    def __init__(self, app: Any) -> None:
        self._app = app

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request.

        Raises:
            BrokenPipeError: Once the caller has closed the connection of an endless answer.
        """
        head: list[Any] = []

        def _hold_head(*arguments: Any) -> None:
            head[:] = arguments

        body: Iterable[bytes] = self._app(environ, _hold_head)
        endless: Endless | None = environ.get(ENDLESS_KEY)
        if endless is None:
            start_response(*head)
            return body
        close = getattr(body, "close", None)
        if close is not None:
            close()
        _send(environ[SOCKET_KEY], blocks(endless, head[0], head[1]), endless)
        raise BrokenPipeError(errno.EPIPE, "the caller closed the connection")


def blocks(endless: Endless, status: str, headers: list[tuple[str, str]]) -> Iterator[bytes]:
    """Yield the bytes of an answer without end.

    Args:
        endless: Which part has no end.
        status: The status code and the reason.
        headers: The headers, without those that state the length.
    """
    beginning, repeated = _parts(endless.part, status, headers)
    yield beginning
    if endless.pause_ms:
        yield from itertools.repeat(_at_least(repeated, _SLOW_BLOCK_BYTES))
    yield from itertools.repeat(_at_least(repeated, _BLOCK_BYTES))


def _parts(part: EndlessPart, status: str, headers: list[tuple[str, str]]) -> tuple[bytes, bytes]:
    """Return the bytes before an endless part, and the bytes that it repeats."""
    status_line = f"HTTP/1.1 {status}\r\n"
    kept = [pair for pair in headers if pair[0].lower() not in ("content-length", "connection")]
    lines = "".join(f"{name}: {value}\r\n" for name, value in kept)
    head = status_line + lines
    chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
    surplus = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    beginning, repeated = {
        EndlessPart.STATUS_LINE: ("HTTP/1.1 200 ", "O"),
        EndlessPart.INTERIM: ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        EndlessPart.SURPLUS: ("", surplus),
        EndlessPart.HEADER: (head + "X-Endless: ", "x"),
        EndlessPart.HEAD: (head, "X-Endless: x\r\n"),
        EndlessPart.CHUNK_SIZE: (chunked + "5", ";x=y"),
        EndlessPart.CHUNKED: (chunked, f"1000\r\n{'x' * 4096}\r\n"),
        EndlessPart.TRAILERS: (chunked + "5\r\nhello\r\n0\r\n", "X-Endless: x\r\n"),
        EndlessPart.UNFRAMED: (head + "Connection: close\r\n\r\n", "x"),
        EndlessPart.LENGTH: (head + f"Content-Length: {2**50}\r\n\r\n", "x"),
        EndlessPart.EVENT: (chunked, f"1000\r\n{'x' * 4096}\r\n"),
        EndlessPart.EVENTS: (chunked, "F\r\nid: 1\ndata: x\n\n\r\n"),
    }[part]
    return beginning.encode("latin-1"), repeated.encode("latin-1")


def _at_least(repeated: bytes, size: int) -> bytes:
    return repeated * max(1, size // len(repeated))


def _send(connection: Any, data: Iterable[bytes], endless: Endless) -> None:
    for block in data:
        connection.sendall(block)
        gevent.sleep(endless.pause_ms / 1000)
