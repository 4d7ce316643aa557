"""Reads an exchange from a socket in steps, each bounded in time and bytes as a whole.

Parsers read lines and blocks in loops of their own, and a peer that keeps sending keeps these from
ending: each of their reads succeeds within its timeout, and none of them lets another task run.
They read through `BoundedReader`, so that one bound holds for all of their reads in a step.
"""

from __future__ import annotations

import errno
import io
from typing import Any

from springrock.chunk_framing import ChunkFraming
from springrock.clock import Deadline, monotonic
from springrock.turn import Turn

_WAIT_S = 0.001
"""A read that took less found bytes and did not wait."""

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
        self._chunks: ChunkFraming | None = None
        super().__init__(self._bounded)

    def begin_step(self, *, deadline: Deadline | None, max_bytes: int) -> None:
        """Begin a step: what may be read from the socket until the next one begins.

        Args:
            deadline: When reads raise `TimeoutError`, even if bytes have arrived; None if another
                task ends the step.
            max_bytes: The number of bytes after which reads raise `TooManyBytes`.
        """
        self._bounded.begin_step(deadline, max_bytes)

    def read(self, size: int | None = -1, /) -> bytes:
        """Return as many bytes as asked for, or less at the end of the connection.

        Raises:
            TooManyBytes: If the step cannot have that many, before any memory is taken for them.
            MalformedChunk: If they break the framing of a body in chunks.
        """
        if size is not None and size > self._bounded.left_bytes + io.DEFAULT_BUFFER_SIZE:
            raise TooManyBytes(f"{size} bytes, of which {self._bounded.left_bytes} are left")
        data = super().read(size)
        if self._chunks is not None:
            self._chunks.check_data(data)
        return data

    def read1(self, size: int = -1, /) -> bytes:
        """Return bytes that have arrived, after at most one read of the socket.

        Raises:
            MalformedChunk: If they break the framing of a body in chunks.
        """
        data = super().read1(size)
        if self._chunks is not None:
            self._chunks.check_data(data)
        return data

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, up to a size.

        Raises:
            MalformedChunk: If it breaks the framing of a body in chunks.
        """
        line = super().readline(size)
        if self._chunks is not None and line.endswith(b"\n"):
            self._chunks.check_line(line)
        return line

    def begin_chunks(self, framing: ChunkFraming | None) -> None:
        """Check the framing of a body in chunks from now on; None for a body of another kind."""
        self._chunks = framing

    def begin_turn(self) -> None:
        """Begin a turn, as the task has waited for something else than this reader."""
        self._bounded.turn.begin()

    def record_send_error(self, error: OSError) -> None:
        """Record that sending on the same connection failed.

        The system reports a reset once. If the sender was told, reads end after the bytes that
        arrived before it as if the peer had closed the connection in order, and have to raise it.
        A broken pipe is no such error: the peer had closed the connection in order before.
        """
        if error.errno not in (None, errno.EPIPE):
            # The traceback of the error itself would keep the body of the request.
            self._bounded.send_error = OSError(error.errno, error.strerror)

    @property
    def step_bytes(self) -> int:
        """Number of bytes read from the socket in this step."""
        return self._bounded.step_bytes

    @property
    def quiet_s(self) -> float:
        """Seconds since bytes were last read from the socket."""
        return monotonic() - self._bounded.heard_at


class _BoundedSocket(io.RawIOBase):
    """The raw stream of a `BoundedReader`.

    Attributes:
        send_error: The error that ended the connection, if sending was told of it.
    """

    def __init__(self, connection: Any) -> None:
        self._socket = connection
        self._deadline: Deadline | None = Deadline(0.0)
        self._max_bytes = 0
        self.turn = Turn()
        self.send_error: OSError | None = None
        self.heard_at = monotonic()
        self.step_bytes = 0

    def begin_step(self, deadline: Deadline | None, max_bytes: int) -> None:
        """Begin a step."""
        self._deadline = deadline
        self._max_bytes = max_bytes
        self.step_bytes = 0

    @property
    def left_bytes(self) -> int:
        """Number of bytes that may still be read in this step."""
        return self._max_bytes - self.step_bytes

    def readable(self) -> bool:
        """Return that the stream can be read."""
        return True

    def readinto(self, buffer: Any, /) -> int:
        """Read what has arrived, or wait for more.

        Raises:
            TimeoutError: If the deadline of the step has passed.
            TooManyBytes: If the step has had all of its bytes.
            OSError: If the connection failed.
        """
        if self._deadline is not None and self._deadline.passed:
            raise TimeoutError("timed out")
        left_bytes = self.left_bytes
        if left_bytes <= 0:
            raise TooManyBytes(f"more than {self._max_bytes} bytes")
        self.turn.pause_if_over()
        self._socket.settimeout(self._timeout_s())
        began_at = monotonic()
        size = int(self._socket.recv_into(memoryview(buffer)[:left_bytes]))
        self.heard_at = monotonic()
        if self.heard_at - began_at >= _WAIT_S:
            self.turn.begin()
        self.step_bytes += size
        if not size and self.send_error is not None:
            raise self.send_error
        return size

    def _timeout_s(self) -> float | None:
        return None if self._deadline is None else max(_MIN_TIMEOUT_S, self._deadline.left_s)
