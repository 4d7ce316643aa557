"""Persistent connections to one replica, each carrying one exchange at a time.

Answers are parsed by the standard library's `HTTPResponse`. An answer to an earlier request that
arrives before the expected one has to be read and discarded on the same connection, so the reader
must outlive a single answer. Neither urllib3 nor `http.client.HTTPConnection` allows that.
"""

from __future__ import annotations

import socket
from collections import deque
from http.client import HTTPException, HTTPResponse, LineTooLong
from typing import Any, cast

from springrock.answer_head import MalformedHead, check_framing, check_lines
from springrock.bounded_reader import BoundedReader, TooManyBytes
from springrock.chunk_framing import ChunkFraming
from springrock.clock import Deadline, monotonic
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    AnswerTooLarge,
    ConnectionRefused,
    ReplicaUnreachable,
)
from springrock.forwarding.message import AnswerHead, BodyEnd, Headers
from springrock.settings import split_address

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
"""The interim answers before a head included."""

_MAX_FRAMING_BYTES = 65_536
"""The sizes of chunks and the trailers, for each part of a body."""

_MAX_DISCARDED_BYTES = 67_108_864
_MAX_COPIED_BODY_BYTES = 65_536

_IDLE_MARGIN_S = 0.7
"""An idle connection is not reused this shortly before the replica may close it."""

_DEFAULT_IDLE_TIMEOUT_S = 4.0
_MAX_IDLE_CONNECTIONS = 16
_MAX_REQUESTS = 512
"""A connection is closed after this many requests, which bounds the ids that it keeps."""

_SETTLE_S = 0.005
"""How long a replica that dies may still accept connections: its own may be closed first."""

_BROKEN_ANSWER_ERRORS = (OSError, HTTPException, ValueError, EOFError)
"""Raised by the socket and the parser when a connection or an answer is broken."""


MIN_SILENCE_S = 0.5
"""A replica that has sent something of an answer later than this before the timeout is at work."""

_SWITCHING_PROTOCOLS = 101


class _PersistentReader(BoundedReader):
    """A reader that stays open after an answer has been parsed from it.

    Attributes:
        ended: Whether the connection ended where a line was to be read.
        head: The lines of the head that is being read; None outside of heads.
    """

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        self.ended = False
        self.head: list[bytes] | None = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return a line; `HTTPResponse` reads the head and the sizes of chunks by it.

        Raises:
            EOFError: If the connection ended inside the line.
        """
        line = super().readline(size)
        if self.head is not None:
            self.head.append(line)
        if line.endswith(b"\n") or len(line) == size:
            return line
        self.ended = True
        if line:
            raise EOFError("the connection ended inside a line")
        return line

    def close(self) -> None:
        """Do nothing: `HTTPResponse` closes its reader after each answer."""

    def close_permanently(self) -> None:
        """Close the reader with its connection."""
        super().close()


class _ReaderSocket:
    """Stands in for the socket that `HTTPResponse` makes its reader from."""

    def __init__(self, reader: _PersistentReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _PersistentReader:
        """Return the connection's reader."""
        return self._reader


class Connection:
    """One connection to a replica.

    Args:
        address: ``HOST:PORT`` of the replica.
        connect_timeout_s: Timeout for opening the connection.

    Attributes:
        sent_bytes: Length of the latest request, head included.
        idle_timeout_s: How long the replica keeps the connection open while it is idle.

    Raises:
        ReplicaUnreachable: If the connection cannot be opened.
    """

    def __init__(self, address: str, *, connect_timeout_s: float) -> None:
        try:
            self._socket = socket.create_connection(
                split_address(address), timeout=connect_timeout_s
            )
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"{address}: {error}") from None
        except OSError as error:
            raise ReplicaUnreachable(f"{address}: {error}") from None
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = _PersistentReader(self._socket)
        self._response: HTTPResponse | None = None
        self._method = "GET"
        self._request_sent = False
        self._carried: set[str] = set()
        self.sent_bytes = 0
        self._idle_since = 0.0
        self.idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self.closed = False

    def send(
        self,
        *,
        request_id: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Send a request.

        Args:
            request_id: The id that its answer bears; this connection must not have carried it.
            method: The method.
            target: The path and the query.
            headers: The headers.
            body: The body.
            timeout_s: Timeout for the system to take all of it.

        Raises:
            AnswerSilent: If the replica did not read it all within the timeout.
            AnswerBroken: If the connection failed; the replica may have received the request.
        """
        self._carried.add(request_id)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._method = method
        self._request_sent = False
        self.sent_bytes = len(head) + len(body)
        self._reader.begin_turn()
        try:
            self._send_all(head, body, deadline=Deadline(timeout_s))
            self._request_sent = True
        except OSError as error:
            # A replica may answer and close before it has read a long body.
            if self._has_unread_input():
                self._reader.record_send_error(error)
                return
            if isinstance(error, TimeoutError):
                raise AnswerSilent("the request was not read within the timeout") from None
            raise AnswerBroken(f"sending failed: {error}") from None

    def _send_all(self, head: bytes, body: bytes, *, deadline: Deadline) -> None:
        """Send a request in one piece if it is short; a long body is not copied for that."""
        parts = [head + body] if len(body) <= _MAX_COPIED_BODY_BYTES else [head, body]
        for part in parts:
            self._socket.settimeout(max(0.001, deadline.left_s))
            self._socket.sendall(part)

    def receive_head(self, *, timeout_s: float) -> AnswerHead:
        """Read the head of the next answer, and skip the interim answers before it (RFC 9110).

        Raises:
            AnswerSilent: If no answer began within the timeout, or no more of its head arrived.
            AnswerBroken: If the connection ended, or the bytes received are not an HTTP answer.
            AnswerTooLarge: If the head has too many bytes, or did not end within the timeout.
        """
        self._reader.begin_step(deadline=Deadline(timeout_s), max_bytes=_MAX_HEAD_BYTES)
        self._reader.begin_chunks(None)
        lines = self._reader.head = []
        try:
            response = self._read_final_head()
        except TimeoutError:
            raise self._late_head() from None
        except _BROKEN_ANSWER_ERRORS as error:
            raise _error_for(error, "no answer") from None
        finally:
            self._reader.head = None
        if self._reader.ended:
            raise AnswerBroken("the connection ended inside the head of the answer")
        headers = Headers.from_pairs(response.getheaders())
        try:
            check_lines(lines)
            check_framing(headers)
        except MalformedHead as error:
            raise AnswerBroken(str(error)) from None
        if response.chunked:
            self._reader.begin_chunks(ChunkFraming())
        self._response = response
        self._record_idle_timeout(headers.get("keep-alive"))
        return AnswerHead(response.status, response.reason, headers, _body_end_of(response))

    def _read_final_head(self) -> HTTPResponse:
        while True:
            response = HTTPResponse(cast(Any, _ReaderSocket(self._reader)), method=self._method)
            response.begin()
            if response.status >= 200 or response.status == _SWITCHING_PROTOCOLS:
                return response

    def _late_head(self) -> AnswerSilent | AnswerTooLarge:
        """Return the error for a head that did not end in time."""
        size = self._reader.step_bytes
        if not size:
            return AnswerSilent("no answer began within the timeout")
        if self._reader.quiet_s >= MIN_SILENCE_S:
            return AnswerSilent(
                f"no more of the head arrived within the timeout, after {size} bytes"
            )
        return AnswerTooLarge(f"no head ended within the timeout, after {size} bytes")

    def read(self, *, timeout_s: float) -> bytes:
        """Return the next bytes of the answer's body as they arrive; empty at its complete end.

        Raises:
            AnswerSilent: If nothing arrived within the timeout.
            AnswerBroken: If the body ended before its stated length.
            AnswerTooLarge: If the framing of the body has too many bytes.
        """
        self._reader.begin_step(
            deadline=Deadline(timeout_s), max_bytes=_READ_BYTES + _MAX_FRAMING_BYTES
        )
        return self._read_body()

    def discard_body(self, *, timeout_s: float) -> int:
        """Read the answer's body to its end, and return its length.

        Raises:
            AnswerSilent: If it did not end within the timeout.
            AnswerBroken: If it ended before its stated length.
            AnswerTooLarge: If it has too many bytes.
        """
        self._reader.begin_step(deadline=Deadline(timeout_s), max_bytes=_MAX_DISCARDED_BYTES)
        size = 0
        while data := self._read_body():
            size += len(data)
        return size

    def _read_body(self) -> bytes:
        response = self._response
        assert response is not None
        try:
            data = response.read1(_READ_BYTES)
        except TimeoutError:
            raise AnswerSilent("no more of the answer arrived within the timeout") from None
        except _BROKEN_ANSWER_ERRORS as error:
            raise _error_for(error, "answer ended early") from None
        if not data and response.length:
            raise AnswerBroken(f"answer ended early: {response.length} bytes are missing")
        return data

    @property
    def reusable(self) -> bool:
        """Whether the exchange is complete and the replica keeps the connection open."""
        response = self._response
        if response is None or response.will_close or not self._request_sent:
            return False
        if len(self._carried) >= _MAX_REQUESTS:
            return False
        return response.isclosed() or response.length == 0

    def mark_idle(self) -> None:
        """Mark the connection as idle from now on."""
        self._idle_since = monotonic()
        self._response = None

    def has_carried(self, request_id: str) -> bool:
        """Whether a request with this id was sent on this connection."""
        return request_id in self._carried

    def is_usable(self, *, conservative: bool) -> bool:
        """Whether an idle connection can carry another request.

        Args:
            conservative: Whether the next request cannot be sent again. The connection must then
                have been idle for less than half of the replica's idle timeout.
        """
        idle_s = monotonic() - self._idle_since
        limit_s = self.idle_timeout_s / 2 if conservative else self.idle_timeout_s - _IDLE_MARGIN_S
        return idle_s < limit_s and not self._has_unread_input() and not self._has_buffered_input()

    def ends_within(self, seconds: float) -> bool:
        """Whether the replica ends the connection, or it fails, within some seconds."""
        self._socket.settimeout(seconds)
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except TimeoutError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection; safe to call again."""
        if self.closed:
            return
        self.closed = True
        try:
            self._reader.close_permanently()
        except OSError:
            pass
        self._socket.close()

    def _record_idle_timeout(self, keep_alive: str | None) -> None:
        if keep_alive is None:
            return
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdecimal():
                self.idle_timeout_s = float(value)

    def _has_unread_input(self) -> bool:
        """Whether the socket has unread bytes, was closed by the replica, or failed."""
        self._socket.settimeout(0.0)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _has_buffered_input(self) -> bool:
        """Whether the reader has buffered bytes after the last answer."""
        self._reader.begin_step(deadline=Deadline(0.0), max_bytes=0)
        try:
            return bool(self._reader.peek(1))
        except TimeoutError:
            return False


def _error_for(error: Exception, what: str) -> AnswerBroken | AnswerTooLarge:
    """Return the error of an exchange for one of the socket or the parser."""
    text = f"{what}: {type(error).__name__}: {error}"
    # The parser has no other name for a head of too many lines.
    too_large = isinstance(error, TooManyBytes | LineTooLong) or type(error) is HTTPException
    return AnswerTooLarge(text) if too_large else AnswerBroken(text)


def _body_end_of(response: HTTPResponse) -> BodyEnd:
    if response.chunked:
        return BodyEnd.CHUNKS
    return BodyEnd.CLOSE if response.length is None else BodyEnd.LENGTH


class ConnectionPool:
    """The idle connections to one replica.

    Args:
        address: ``HOST:PORT`` of the replica.
        connect_timeout_s: Timeout for opening a new connection.

    Attributes:
        opened: How many connections the pool has opened.
    """

    def __init__(self, address: str, *, connect_timeout_s: float = 0.6) -> None:
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: deque[Connection] = deque()
        self._closed = False
        self.opened = 0

    def acquire(self, request_id: str, *, conservative: bool, timeout_s: float) -> Connection:
        """Return an idle connection that is usable, or else open one.

        A connection never carries the same id twice: a late second copy of the answer to the first
        request would be taken for the answer to the second.

        Args:
            request_id: The id of the request to be sent.
            conservative: See `Connection.is_usable`.
            timeout_s: Upper bound of the timeout for opening a connection.

        Raises:
            ReplicaUnreachable: If no connection can be opened.
        """
        kept: list[Connection] = []
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.has_carried(request_id):
                    kept.append(connection)
                elif connection.is_usable(conservative=conservative):
                    return connection
                else:
                    connection.close()
        finally:
            self._idle.extend(reversed(kept))
        return self._open(timeout_s=timeout_s)

    def open_spare(self, *, ended: Connection, timeout_s: float) -> None:
        """Open a connection now that a later request can use, and see that it lasts.

        One that the replica ends at once is replaced once: a replica at its connection limit
        accepts that one too, one that has died does not.

        Args:
            ended: The connection that it replaces; the replica's idle timeout is taken from it.
            timeout_s: Upper bound of the timeout for opening the connection.

        Raises:
            ReplicaUnreachable: If no connection can be opened.
        """
        spare = self._open(timeout_s=timeout_s)
        if spare.ends_within(_SETTLE_S):
            spare.close()
            spare = self._open(timeout_s=timeout_s)
        spare.idle_timeout_s = ended.idle_timeout_s
        self._keep(spare)

    def release(self, connection: Connection) -> None:
        """Keep a connection for another request if it is reusable, else close it."""
        if connection.reusable:
            self._keep(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections, and from now on those released."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    def _open(self, *, timeout_s: float) -> Connection:
        self.opened += 1
        return Connection(self.address, connect_timeout_s=min(self._connect_timeout_s, timeout_s))

    def _keep(self, connection: Connection) -> None:
        if self._closed or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.mark_idle()
        self._idle.append(connection)
