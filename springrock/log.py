"""Structured logs: eliot messages, each a short sentence after the prefix of its component."""

from __future__ import annotations

import os
import sys
import time
from collections import deque
from typing import NamedTuple, TextIO

import eliot

_MAX_JOURNAL_LINES = 4_000


class Line(NamedTuple):
    """One line of the log.

    Attributes:
        at: The time, in seconds since the epoch.
        text: The sentence with its prefix.
        fields: The values that belong to it, by name.
    """

    at: float
    text: str
    fields: dict[str, object]


class Journal:
    """The newest log lines of a box, from which it explains its decisions to operators."""

    def __init__(self) -> None:
        self._lines: deque[Line] = deque(maxlen=_MAX_JOURNAL_LINES)

    def add(self, line: Line) -> None:
        """Add a line; drops the oldest one beyond the limit."""
        self._lines.append(line)

    def lines_with(self, field: str, value: str) -> list[Line]:
        """Return the lines in which a field has a value, the oldest first."""
        return [line for line in self._lines if line.fields.get(field) == value]


class Log:
    """Writes the log lines of one component of a box.

    Args:
        part: The prefix of the lines, such as ``router``.
        box: The name of the process in the lines.
        journal: Also receives every line, if given.
    """

    def __init__(self, part: str, box: str, journal: Journal | None = None) -> None:
        self.part = part
        self.box = box
        self._journal = journal
        self._message_type = f"springrock:{part}"

    def info(self, sentence: str, **fields: object) -> None:
        """Write a line.

        Args:
            sentence: A short sentence without the prefix.
            **fields: The values that belong to it; no secrets and no text of callers.
        """
        text = f"{self.part}: {sentence}"
        if self._journal is not None:
            self._journal.add(Line(time.time(), text, fields))
        eliot.log_message(self._message_type, text=text, box=self.box, **fields)


class Condition:
    """Logs when a condition begins and when it ends, but not its repetitions in between.

    Args:
        log: The log to write to.
        begins: The sentence that is logged at the beginning.
        ends: The sentence that is logged at the end.
    """

    def __init__(self, log: Log, *, begins: str, ends: str) -> None:
        self._log = log
        self._begins = begins
        self._ends = ends
        self._holds = False

    @property
    def holds(self) -> bool:
        """Whether the condition holds now."""
        return self._holds

    def begin(self, **fields: object) -> None:
        """Record that the condition holds; logs it if it did not hold before."""
        if not self._holds:
            self._holds = True
            self._log.info(self._begins, **fields)

    def end(self, **fields: object) -> None:
        """Record that the condition does not hold; logs it if it held before."""
        if self._holds:
            self._holds = False
            self._log.info(self._ends, **fields)


class BoundedLines:
    """Writes lines to a file descriptor without ever blocking on its reader.

    Bytes that the reader does not accept yet are buffered. Lines that do not fit into the buffer
    are dropped and counted.

    Args:
        descriptor: An open file descriptor; it is made non-blocking.
        limit_bytes: The size of the buffer.

    Attributes:
        dropped: The number of dropped lines.
    """

    def __init__(self, descriptor: int, *, limit_bytes: int = 1_048_576) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, line: str | bytes) -> int:
        """Buffer a line, or drop it if the buffer is full; write what the reader accepts now."""
        data = line.encode() if isinstance(line, str) else line
        if len(self._buffer) + len(data) > self._limit_bytes:
            self.dropped += 1
        else:
            self._buffer += data
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except (BlockingIOError, OSError):
                return
            del self._buffer[:written]


def log_to(stream: TextIO | BoundedLines = sys.stderr) -> None:
    """Write every log line to a stream, as one JSON object per line."""
    eliot.to_file(stream)
