"""Connections to one replica, each carrying one exchange at a time, kept while they are sound.

The standard library's client does the parsing. It is used below urllib3, because a surplus answer
that stands before the expected one has to be read and dropped on the same connection: the reader
must outlive one answer, which neither urllib3 nor `http.client.HTTPConnection` allows.
"""

from __future__ import annotations

import io
import socket
from collections import deque
from http.client import HTTPException, HTTPResponse
from typing import Any, cast

from springrock.clock import monotonic
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    ConnectionRefused,
    ReplicaUnreachable,
)
from springrock.forwarding.message import AnswerHead, Headers
from springrock.settings import split_address

_READ_BYTES = 65_536
_IDLE_MARGIN_S = 0.7
_DEFAULT_IDLE_TIMEOUT_S = 4.0
_MAX_IDLE_CONNECTIONS = 16
_BROKEN_ANSWER_ERRORS = (OSError, HTTPException, ValueError, EOFError)
"""What sending and parsing raise when a connection or an answer is broken."""


class _PersistentReader(io.BufferedReader):
    """A reader that outlives the answers parsed from it."""

    def close(self) -> None:
        """Do nothing: each parsed answer closes its reader, the connection goes on."""

    def close_permanently(self) -> None:
        """Close really."""
        super().close()


class _ReaderSocket:
    """Stands where the parser expects a socket."""

    def __init__(self, reader: _PersistentReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _PersistentReader:
        """Return the lasting reader."""
        return self._reader


class Connection:
    """One connection to a replica.

    Args:
        address: ``HOST:PORT`` of the replica.
        connect_within_s: How long the connection may take to come up.

    Attributes:
        sent_bytes: What the latest request took, its head included.

    Raises:
        ReplicaUnreachable: If it does not come up.
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
        raw = self._socket.makefile("rb", buffering=0)
        self._reader = _PersistentReader(cast(io.RawIOBase, raw))
        self._response: HTTPResponse | None = None
        self._method = "GET"
        self._request_sent = False
        self.sent_bytes = 0
        self._idle_since = 0.0
        self._idle_timeout_s = _DEFAULT_IDLE_TIMEOUT_S
        self.closed = False

    def send(
        self, *, method: str, target: str, headers: Headers, body: bytes, timeout_s: float
    ) -> None:
        """Send a whole request.

        Raises:
            AnswerBroken: If the connection failed; the replica may have got the request.
        """
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._method = method
        self._request_sent = False
        self.sent_bytes = len(head) + len(body)
        try:
            self._socket.settimeout(max(0.001, timeout_s))
            self._socket.sendall(head + body)
            self._request_sent = True
        except OSError as error:
            # A replica may answer before it has read a long body, and close.
            if not self._has_unread_input():
                raise AnswerBroken(f"sending failed: {error}") from None

    def receive_head(self, *, timeout_s: float) -> AnswerHead:
        """Read the head of the next answer.

        Raises:
            AnswerSilent: If it did not begin in time.
            AnswerBroken: If the connection ended or what came is no answer.
        """
        self._socket.settimeout(max(0.001, timeout_s))
        response = HTTPResponse(cast(Any, _ReaderSocket(self._reader)), method=self._method)
        try:
            response.begin()
        except TimeoutError:
            raise AnswerSilent("no answer began in time") from None
        except _BROKEN_ANSWER_ERRORS as error:
            raise AnswerBroken(f"no answer: {type(error).__name__}: {error}") from None
        self._response = response
        headers = Headers.from_pairs(response.getheaders())
        self._record_idle_timeout(headers.get("keep-alive"))
        return AnswerHead(response.status, response.reason, headers)

    def read(self, *, timeout_s: float) -> bytes:
        """Return the next bytes of the answer's body as they come; empty at its whole end.

        Raises:
            AnswerSilent: If nothing came in time.
            AnswerBroken: If the body ended before its stated end.
        """
        response = self._response
        assert response is not None
        self._socket.settimeout(max(0.001, timeout_s))
        try:
            data = response.read1(_READ_BYTES)
        except TimeoutError:
            raise AnswerSilent("the answer fell silent") from None
        except _BROKEN_ANSWER_ERRORS as error:
            raise AnswerBroken(f"cut off: {type(error).__name__}: {error}") from None
        if not data and response.length:
            raise AnswerBroken(f"{response.length} bytes are missing")
        return data

    @property
    def reusable(self) -> bool:
        """Whether request and answer went whole and the replica lets the connection stand."""
        response = self._response
        if response is None or response.will_close or not self._request_sent:
            return False
        return response.isclosed() or response.length == 0

    def record_kept(self) -> None:
        """Note that the connection begins to rest."""
        self._idle_since = monotonic()
        self._response = None

    def is_usable(self, *, conservative: bool) -> bool:
        """Whether a resting connection can carry another request.

        Args:
            careful: Whether a request follows that cannot be sent again, so that the
                connection must be well inside the replica's idle time.
        """
        idle_s = monotonic() - self._idle_since
        limit_s = (
            self._idle_timeout_s / 2 if conservative else self._idle_timeout_s - _IDLE_MARGIN_S
        )
        return idle_s < limit_s and not self._has_unread_input() and not self._has_buffered_input()

    def close(self) -> None:
        """Close it; safe to call again."""
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
            if name.lower() == "timeout" and value.strip().isdigit():
                self._idle_timeout_s = float(value)

    def _has_unread_input(self) -> bool:
        """Whether bytes or an end have come that nobody asked for."""
        self._socket.settimeout(0.0)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _has_buffered_input(self) -> bool:
        """Whether the reader holds bytes beyond the last answer."""
        self._socket.settimeout(0.0)
        try:
            return bool(self._reader.peek(1))
        except OSError:
            return True


class ConnectionPool:
    """The resting connections to one replica, and the count of those in use.

    Args:
        address: ``HOST:PORT`` of the replica.
        connect_within_s: How long a new connection may take to come up.
    """

    def __init__(self, address: str, *, connect_timeout_s: float = 0.6) -> None:
        self.address = address
        self._connect_within_s = connect_timeout_s
        self._idle: deque[Connection] = deque()
        self._closed = False
        self.opened = 0

    def acquire(self, *, conservative: bool, timeout_s: float) -> Connection:
        """Return a sound connection, a resting one if there is one.

        Raises:
            ReplicaUnreachable: If none comes up.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(conservative=conservative):
                return connection
            connection.close()
        self.opened += 1
        return Connection(self.address, connect_timeout_s=min(self._connect_within_s, timeout_s))

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request if it is sound, else close it."""
        if self._closed or not connection.reusable or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        connection.record_kept()
        self._idle.append(connection)

    def close(self) -> None:
        """Close what rests, and what is given back from now on."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
