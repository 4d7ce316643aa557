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
_DEFAULT_IDLE_S = 4.0
_KEPT_AT_MOST = 16
_FAILURES = (OSError, HTTPException, ValueError, EOFError)
"""What sending and parsing raise when a connection or an answer is broken."""


class _LastingReader(io.BufferedReader):
    """A reader that outlives the answers parsed from it."""

    def close(self) -> None:
        """Do nothing: each parsed answer closes its reader, the connection goes on."""

    def detach_for_good(self) -> None:
        """Close really."""
        super().close()


class _ReaderSource:
    """Stands where the parser expects a socket."""

    def __init__(self, reader: _LastingReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _LastingReader:
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

    def __init__(self, address: str, *, connect_within_s: float) -> None:
        try:
            self._socket = socket.create_connection(
                split_address(address), timeout=connect_within_s
            )
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"{address}: {error}") from None
        except OSError as error:
            raise ReplicaUnreachable(f"{address}: {error}") from None
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw = self._socket.makefile("rb", buffering=0)
        self._reader = _LastingReader(cast(io.RawIOBase, raw))
        self._response: HTTPResponse | None = None
        self._method = "GET"
        self._sent_whole = False
        self.sent_bytes = 0
        self._kept_since = 0.0
        self._idle_s = _DEFAULT_IDLE_S
        self.closed = False

    def send(
        self, *, method: str, target: str, headers: Headers, body: bytes, within_s: float
    ) -> None:
        """Send a whole request.

        Raises:
            AnswerBroken: If the connection failed; the replica may have got the request.
        """
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._method = method
        self._sent_whole = False
        self.sent_bytes = len(head) + len(body)
        try:
            self._socket.settimeout(max(0.001, within_s))
            self._socket.sendall(head + body)
            self._sent_whole = True
        except OSError as error:
            # A replica may answer before it has read a long body, and close.
            if not self._readable():
                raise AnswerBroken(f"sending failed: {error}") from None

    def receive_head(self, *, within_s: float) -> AnswerHead:
        """Read the head of the next answer.

        Raises:
            AnswerSilent: If it did not begin in time.
            AnswerBroken: If the connection ended or what came is no answer.
        """
        self._socket.settimeout(max(0.001, within_s))
        response = HTTPResponse(cast(Any, _ReaderSource(self._reader)), method=self._method)
        try:
            response.begin()
        except TimeoutError:
            raise AnswerSilent("no answer began in time") from None
        except _FAILURES as error:
            raise AnswerBroken(f"no answer: {type(error).__name__}: {error}") from None
        self._response = response
        headers = Headers.from_pairs(response.getheaders())
        self._record_idle_timeout(headers.get("keep-alive"))
        return AnswerHead(response.status, response.reason, headers)

    def read(self, *, within_s: float) -> bytes:
        """Return the next bytes of the answer's body as they come; empty at its whole end.

        Raises:
            AnswerSilent: If nothing came in time.
            AnswerBroken: If the body ended before its stated end.
        """
        response = self._response
        assert response is not None
        self._socket.settimeout(max(0.001, within_s))
        try:
            data = response.read1(_READ_BYTES)
        except TimeoutError:
            raise AnswerSilent("the answer fell silent") from None
        except _FAILURES as error:
            raise AnswerBroken(f"cut off: {type(error).__name__}: {error}") from None
        if not data and response.length:
            raise AnswerBroken(f"{response.length} bytes are missing")
        return data

    @property
    def reusable(self) -> bool:
        """Whether request and answer went whole and the replica lets the connection stand."""
        response = self._response
        if response is None or response.will_close or not self._sent_whole:
            return False
        return response.isclosed() or response.length == 0

    def record_kept(self) -> None:
        """Note that the connection begins to rest."""
        self._kept_since = monotonic()
        self._response = None

    def is_usable(self, *, careful: bool) -> bool:
        """Whether a resting connection can carry another request.

        Args:
            careful: Whether a request follows that cannot be sent again, so that the
                connection must be well inside the replica's idle time.
        """
        idle_s = monotonic() - self._kept_since
        limit_s = self._idle_s / 2 if careful else self._idle_s - _IDLE_MARGIN_S
        return idle_s < limit_s and not self._readable() and not self._buffered()

    def close(self) -> None:
        """Close it; safe to call again."""
        if self.closed:
            return
        self.closed = True
        try:
            self._reader.detach_for_good()
        except OSError:
            pass
        self._socket.close()

    def _record_idle_timeout(self, keep_alive: str | None) -> None:
        if keep_alive is None:
            return
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self._idle_s = float(value)

    def _readable(self) -> bool:
        """Whether bytes or an end have come that nobody asked for."""
        self._socket.settimeout(0.0)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _buffered(self) -> bool:
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

    def __init__(self, address: str, *, connect_within_s: float = 0.6) -> None:
        self.address = address
        self._connect_within_s = connect_within_s
        self._resting: deque[Connection] = deque()
        self._closed = False
        self.opened = 0

    def take(self, *, careful: bool, within_s: float) -> Connection:
        """Return a sound connection, a resting one if there is one.

        Raises:
            ReplicaUnreachable: If none comes up.
        """
        while self._resting:
            connection = self._resting.pop()
            if connection.is_usable(careful=careful):
                return connection
            connection.close()
        self.opened += 1
        return Connection(self.address, connect_within_s=min(self._connect_within_s, within_s))

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for the next request if it is sound, else close it."""
        if self._closed or not connection.reusable or len(self._resting) >= _KEPT_AT_MOST:
            connection.close()
            return
        connection.record_kept()
        self._resting.append(connection)

    def close(self) -> None:
        """Close what rests, and what is given back from now on."""
        self._closed = True
        while self._resting:
            self._resting.pop().close()
