"""HTTP connections on which an answer without end, or with a cut or malformed head, is broken.

The standard library takes a line that is cut off, and the end of a connection inside a head, for
whole, and drops the rest of a head after a malformed line. Its timeouts bound single reads.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from http.client import HTTPException, HTTPResponse, RemoteDisconnected
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from springrock.answer_head import MalformedHead, check_framing, check_lines
from springrock.bounded_reader import BoundedReader
from springrock.chunk_framing import ChunkFraming
from springrock.clock import Deadline

_MAX_HEAD_BYTES = 65_536
"""The interim answers before a head included."""

_SWITCHING_PROTOCOLS = 101


class _LineReader(BoundedReader):
    """Reads a connection, and raises where it ends inside a line.

    Attributes:
        head: The lines of the head that is being read; None outside of heads.
    """

    head: list[bytes] | None = None

    def __init__(self, connection: socket.socket) -> None:
        # Keeps the socket open until the answer is read, as `HTTPResponse` expects of its reader.
        self._keeps_open = connection.makefile("rb", buffering=0)
        super().__init__(connection)

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, up to a size.

        Raises:
            RemoteDisconnected: If the connection ended before the end of the line or of the head.
        """
        line = super().readline(size)
        is_cut = len(line) != size and not line.endswith(b"\n")
        if self.head is not None:
            self.head.append(line)
        if is_cut and (line or self.head is not None):
            raise RemoteDisconnected(
                "the connection ended inside a line or before the end of a head"
            )
        return line

    def close(self) -> None:
        """Close the reader, and the socket if its connection has closed it."""
        super().close()
        self._keeps_open.close()


class _StrictResponse(HTTPResponse):
    """An answer whose head and chunk sizes have to be whole.

    The timeout of the socket bounds the whole answer, from where its head may begin.

    Attributes:
        reader: Reads the answer from the socket.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        *,
        max_answer_bytes: int,
        send_error: OSError | None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.fp.close()
        timeout_s = sock.gettimeout()
        self._deadline = None if timeout_s is None else Deadline(timeout_s)
        self._max_answer_bytes = max_answer_bytes
        self.reader = _LineReader(sock)
        if send_error is not None:
            self.reader.record_send_error(send_error)
        self.fp = self.reader

    def begin(self) -> None:
        """Read the head, and skip the interim answers before it (RFC 9110).

        Raises:
            HTTPException: If it is malformed, or the connection ended inside it.
            TimeoutError: If it did not end in time.
            TooManyBytes: If it has too many bytes.
        """
        self.reader.begin_step(deadline=self._deadline, max_bytes=_MAX_HEAD_BYTES)
        lines = self.reader.head = []
        try:
            super().begin()
            while self.status < 200 and self.status != _SWITCHING_PROTOCOLS:
                self.headers = self.msg = None  # type: ignore[assignment]
                super().begin()
        finally:
            self.reader.head = None
        try:
            check_lines(lines)
            check_framing(self.getheaders())
        except MalformedHead as error:
            raise HTTPException(str(error)) from None
        if self.chunked:
            self.reader.begin_chunks(ChunkFraming())
        self.reader.begin_step(deadline=self._deadline, max_bytes=self._max_answer_bytes)


class _StrictConnection(HTTPConnection):
    """A connection for such answers.

    Attributes:
        answer: The latest answer; None before the first.
    """

    def __init__(self, *args: Any, max_answer_bytes: int, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._max_answer_bytes = max_answer_bytes
        self._send_error: OSError | None = None
        self.answer: _StrictResponse | None = None

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self._send_error = None

    def send(self, data: Any) -> None:
        """Send a part of a request; urllib3 reads an answer although the connection was reset.

        Raises:
            OSError: If the connection failed.
        """
        try:
            super().send(data)
        except OSError as error:
            self._send_error = OSError(error.errno, error.strerror) if error.errno else None
            raise

    @property
    def response_class(self) -> Callable[..., _StrictResponse]:  # type: ignore[override]
        """What the standard library calls to begin an answer."""
        return self._begin_answer

    def _begin_answer(self, sock: socket.socket, method: str | None = None) -> _StrictResponse:
        self.answer = _StrictResponse(
            sock,
            method=method,
            max_answer_bytes=self._max_answer_bytes,
            send_error=self._send_error,
        )
        return self.answer


class _StrictConnectionPool(HTTPConnectionPool):
    ConnectionCls = _StrictConnection


def strict_pool(
    host: str, port: int, *, max_answer_bytes: int, maxsize: int = 1
) -> HTTPConnectionPool:
    """Return such a pool for one address; see `strict_pool_manager`."""
    return _StrictConnectionPool(
        host, port, maxsize=maxsize, retries=False, max_answer_bytes=max_answer_bytes
    )


def reader_of(response: urllib3.BaseHTTPResponse) -> BoundedReader:
    """Return the reader of an answer of such a pool that was not read yet.

    The answer keeps the bounds of its pool until another step of the reader begins.
    """
    connection = response.connection
    assert isinstance(connection, _StrictConnection)
    assert connection.answer is not None
    return connection.answer.reader


def strict_pool_manager(
    *, max_answer_bytes: int, maxsize: int = 1, num_pools: int = 10
) -> urllib3.PoolManager:
    """Return a pool of such connections that makes no retries.

    The timeout for reads bounds a whole answer, and not each of its reads.

    Args:
        max_answer_bytes: The most bytes of an answer after its head, framing and trailers included.
        maxsize: The most idle connections to one address.
        num_pools: The most addresses with idle connections.
    """
    manager = urllib3.PoolManager(num_pools, retries=False, maxsize=maxsize)
    pool_class = partial(_StrictConnectionPool, max_answer_bytes=max_answer_bytes)
    manager.pool_classes_by_scheme = {"http": pool_class}  # type: ignore[dict-item]
    return manager
