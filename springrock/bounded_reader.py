"""Reads an exchange from a socket in steps, each bounded in time and bytes as a whole.

Parsers read lines and blocks in loops of their own, and a peer that keeps sending keeps these from
ending: each of their reads succeeds within its timeout, and none of them lets another task run.
They read through `BoundedReader`, so that one bound holds for all of their reads in a step.
"""

from __future__ import annotations

import io
from typing import Any

import gevent

from springrock.clock import Deadline, monotonic

_TURN_S = 0.002
"""Other tasks run after this time without a wait: reads that find bytes do not wait."""

_PAUSE_S = 0.001
"""A pause of 0 would resume the task before the event loop looks at its sockets and timers."""

_MIN_TIMEOUT_S = 0.001
"""A timeout of 0 would make the socket non-blocking."""


class TooManyBytes(OSError):
    """The peer sent more bytes than a step of the exchange may have."""


class BoundedReader(io.BufferedReader):
    """A buffered reader of a socket; reads nothing from it before the first step begins.

    Args:
        connection: The socket.
    """

    def __init__(self, connection: Any) -> None:
        self._bounded = _BoundedSocket(connection)
        super().__init__(self._bounded)

    def begin_step(self, *, deadline: Deadline, max_bytes: int) -> None:
        """Begin a step: what may be read from the socket until the next one begins.

        Args:
            deadline: When reads raise `TimeoutError`, even if bytes have arrived.
            max_bytes: The number of bytes after which reads raise `TooManyBytes`.
        """
        self._bounded.begin_step(deadline, max_bytes)

    def begin_turn(self) -> None:
        """Record that the task has not read for a while, so that other tasks have run."""
        self._bounded.begin_turn()

    @property
    def step_bytes(self) -> int:
        """Number of bytes read from the socket in this step."""
        return self._bounded.step_bytes

    @property
    def quiet_s(self) -> float:
        """Seconds since bytes were last read from the socket."""
        return monotonic() - self._bounded.heard_at


class _BoundedSocket(io.RawIOBase):
    """The raw stream of a `BoundedReader`."""

    def __init__(self, connection: Any) -> None:
        self._socket = connection
        self._deadline = Deadline(0.0)
        self._max_bytes = 0
        self._turn_began_at = monotonic()
        self.heard_at = self._turn_began_at
        self.step_bytes = 0

    def begin_step(self, deadline: Deadline, max_bytes: int) -> None:
        """Begin a step."""
        self._deadline = deadline
        self._max_bytes = max_bytes
        self.step_bytes = 0

    def begin_turn(self) -> None:
        """Record that other tasks have run."""
        self._turn_began_at = monotonic()

    def readable(self) -> bool:
        """Return that the stream can be read."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read what has arrived, or wait for more.

        Raises:
            TimeoutError: If the deadline of the step has passed.
            TooManyBytes: If the step has had all of its bytes.
        """
        if self._deadline.passed:
            raise TimeoutError("timed out")
        left_bytes = self._max_bytes - self.step_bytes
        if left_bytes <= 0:
            raise TooManyBytes(f"more than {self._max_bytes} bytes")
        self._pause_after_turn()
        self._socket.settimeout(max(_MIN_TIMEOUT_S, self._deadline.left_s))
        began_at = monotonic()
        size = int(self._socket.recv_into(memoryview(buffer)[:left_bytes]))
        ended_at = monotonic()
        if ended_at - began_at >= _PAUSE_S:
            self._turn_began_at = ended_at
        self.heard_at = ended_at
        self.step_bytes += size
        return size

    def _pause_after_turn(self) -> None:
        if monotonic() - self._turn_began_at >= _TURN_S:
            gevent.sleep(_PAUSE_S)
            self.begin_turn()
