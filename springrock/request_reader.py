"""Reads the bytes of requests from a caller's connection, with bounds on time and bytes."""

from __future__ import annotations

import io
import math
from typing import Any

import gevent
from msgspec import Struct

from springrock.clock import Deadline, monotonic
from springrock.errors import ReadBound, RequestNotRead
from springrock.intake import NoRoom, Reservation
from springrock.turn import Turn

_EVICTION_PERIOD_S = 0.005
_LONGEST_EVICTION_S = 1.0
"""Evicted connections close at once, unless the process is busy."""

_BLOCK_BYTES = 65_536
_DROPPED = bytearray(_BLOCK_BYTES)
"""Where all connections read what is dropped."""

_WAIT_PERIOD_S = 1.0
"""How often a wait checks the clock, as timers do not count a suspension of the machine."""

_SHORTEST_WAIT_S = 0.001
_REST_S = 1.0
_REST_BYTES = 1_048_576

FRAMING_BYTES = 262_144
"""How much longer than its content the framing of a body may be: small chunks have more of it."""


class ReadLimits(Struct, frozen=True, kw_only=True):
    """What a caller may send in one request, and how long it may take.

    Attributes:
        idle_s: How long a connection may rest before a request.
        head_s: How long a head may take from its first byte.
        head_bytes: The longest head; the trailers after a body may be as long.
        body_s: How long a body may take unless the request states a shorter deadline.
        body_bytes: The longest body.
    """

    idle_s: float = 20.0
    head_s: float = 20.0
    head_bytes: int = 65_536
    body_s: float = 60.0
    body_bytes: int = 67_108_864

    @property
    def framed_body_bytes(self) -> int:
        """The longest body with the framing of its chunks and its trailers."""
        return 2 * self.body_bytes + self.head_bytes + FRAMING_BYTES


class RequestReader(io.RawIOBase):
    """Reads from a connection as long as the bounds of the current part of a request allow.

    A parser on top of it cannot outlast the bounds, and lets other tasks run however many bytes
    the caller sends.

    Args:
        connection: The caller's socket, a gevent one.
        reservation: What the connection holds of the bytes that all connections of the process may
            hold together.

    Attributes:
        read_bytes: Bytes read since the connection began to wait for the request.
        failed: Whether a bound ended the reading, so that the connection must be closed.
        began_at: When the first byte of the request was there, on the clock `monotonic`.
    """

    def __init__(self, connection: Any, reservation: Reservation) -> None:
        super().__init__()
        self._connection = connection
        self._reservation = reservation
        self._drops = False
        self._deadline = Deadline(0.0)
        self._stated_s = math.inf
        self._at_most = 0
        self._time_bound: ReadBound | None = None
        self._bytes_bound = ReadBound.HEAD_BYTES
        self._turn = Turn()
        self.read_bytes = 0
        self.failed = False
        self.began_at = monotonic()

    # The parts of a request.

    def begin_wait(self, limits: ReadLimits) -> None:
        """Wait for a request from now on; `TimeoutError` is raised if none comes."""
        self._reservation.rest()
        self._drops = False
        self.read_bytes = 0
        self._deadline = Deadline(limits.idle_s)
        self._at_most = limits.head_bytes
        self._time_bound = None

    def begin_head(self, limits: ReadLimits) -> None:
        """Read a head from now on."""
        # The request may have come with the one before.
        self._reservation.take(0)
        self.began_at = monotonic()
        self._deadline = Deadline(limits.head_s)
        self._at_most = limits.head_bytes
        self._stated_s = math.inf
        self._time_bound, self._bytes_bound = ReadBound.HEAD_TIME, ReadBound.HEAD_BYTES

    def begin_body(self, limits: ReadLimits) -> None:
        """Read a body from now on."""
        self._deadline = Deadline(limits.body_s)
        self._at_most = self.read_bytes + limits.framed_body_bytes
        self._time_bound, self._bytes_bound = ReadBound.BODY_TIME, ReadBound.BODY_BYTES
        self.end_within(self._stated_s)

    def end_request(self) -> None:
        """Record that the request was read whole."""
        self._reservation.keep()

    def begin_rest(self) -> None:
        """Read what is left of a request that was answered, and is dropped, from now on."""
        self._drops = True
        self._deadline = Deadline(_REST_S)
        self._at_most = self.read_bytes + _REST_BYTES

    def state_deadline(self, seconds: float) -> None:
        """Shorten the time for the head and the body to the deadline of the request, if not 0."""
        if seconds:
            self._stated_s = seconds
            self.end_within(seconds)

    def end_within(self, seconds: float) -> None:
        """Shorten the time for the current part to a time from the first byte of the request."""
        self.end_by(self.began_at + seconds)

    def end_by(self, at: float) -> None:
        """Shorten the time for the current part to a time on the clock `monotonic`."""
        self._deadline.at = min(self._deadline.at, at)

    def drain(self) -> None:
        """Drop what the caller sends until it closes the connection or a bound is reached.

        A connection that is closed with bytes unread is reset, which can cost the caller the
        answer.
        """
        self.begin_rest()
        try:
            while self.readinto(_DROPPED):
                continue
        except (OSError, RequestNotRead):
            return

    # Reading.

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read what the caller has sent, waiting for the first byte; 0 at the end.

        Raises:
            RequestNotRead: If a bound of the current part is reached.
            OSError: If the connection failed, or no request came in time.
        """
        if self.read_bytes >= self._at_most:
            raise self.error(self._bytes_bound)
        if self._time_bound is not None and self._deadline.passed:
            raise self.error(self._time_bound)
        size = self._receive(memoryview(buffer)[:_BLOCK_BYTES])
        if self._reservation.evicted and self._time_bound is not None:
            raise self.error(ReadBound.OVERLOAD)
        if not size and self._time_bound is ReadBound.HEAD_TIME:
            # The parser would take what it has for a whole head.
            raise self.error(ReadBound.HEAD_END)
        self.read_bytes += size
        if not self._drops:
            self._take(size)
        return size

    def _take(self, size: int) -> None:
        try:
            self._reservation.take(size)
        except NoRoom:
            raise self.error(ReadBound.OVERLOAD) from None
        self._await_evicted()

    def _await_evicted(self) -> None:
        """Read no more until connections that had to make room have been closed."""
        longest = Deadline(_LONGEST_EVICTION_S)
        while self._reservation.must_wait and not longest.passed:
            gevent.sleep(_EVICTION_PERIOD_S)

    def error(self, bound: ReadBound) -> RequestNotRead:
        """Return the error for a request that is over a bound, and which is read no further."""
        self.failed = True
        took_s = 0.0 if self._time_bound is None else monotonic() - self.began_at
        return RequestNotRead(bound, read_bytes=self.read_bytes, took_s=took_s)

    def _receive(self, buffer: memoryview) -> int:
        timeout_before = self._connection.gettimeout()
        try:
            return self._receive_in_time(buffer)
        finally:
            self._connection.settimeout(timeout_before)

    def _receive_in_time(self, buffer: memoryview) -> int:
        try:
            self._connection.settimeout(0.0)
            size: int = self._connection.recv_into(buffer)
        except BlockingIOError:
            size = self._wait_and_receive(buffer)
            self._turn.begin()
        else:
            self._turn.pause_if_over()
        return size

    def _wait_and_receive(self, buffer: memoryview) -> int:
        while True:
            left_s = max(_SHORTEST_WAIT_S, self._deadline.left_s)
            self._connection.settimeout(min(_WAIT_PERIOD_S, left_s))
            try:
                size: int = self._connection.recv_into(buffer)
            except TimeoutError:
                self._check_time()
            else:
                return size

    def _check_time(self) -> None:
        if not self._deadline.passed:
            return
        if self._time_bound is None:
            raise TimeoutError("no request came in time")
        raise self.error(self._time_bound)
