"""Structured logs: eliot messages whose text is a short sentence after its part's prefix."""

from __future__ import annotations

import os
import sys
import time
from collections import deque
from typing import NamedTuple, TextIO

import eliot

_JOURNAL_LINES = 4_000


class Line(NamedTuple):
    """One line of the log.

    Attributes:
        at: When, in seconds since the epoch.
        text: The sentence with its prefix.
        fields: Values for machines.
    """

    at: float
    text: str
    fields: dict[str, object]


class Journal:
    """The newest lines of one box, so that an operator can ask why."""

    def __init__(self) -> None:
        self._lines: deque[Line] = deque(maxlen=_JOURNAL_LINES)

    def add(self, line: Line) -> None:
        """Keep a line."""
        self._lines.append(line)

    def about(self, field: str, value: str) -> list[Line]:
        """Return the kept lines that have a field of a value, the oldest first."""
        return [line for line in self._lines if line.fields.get(field) == value]


class Log:
    """Writes the lines of one part of one box.

    Args:
        part: The prefix, such as ``router``.
        box: The name of the process in the log.
        journal: Keeps the newest lines in memory as well.
    """

    def __init__(self, part: str, box: str, journal: Journal | None = None) -> None:
        self.part = part
        self.box = box
        self._journal = journal
        self._message_type = f"springrock:{part}"

    def say(self, sentence: str, **fields: object) -> None:
        """Write one line.

        Args:
            sentence: A short sentence without the prefix.
            **fields: Values for machines; nothing secret and no caller's text.
        """
        text = f"{self.part}: {sentence}"
        if self._journal is not None:
            self._journal.add(Line(time.time(), text, fields))
        eliot.log_message(self._message_type, text=text, box=self.box, **fields)


class Condition:
    """Writes a line when something begins and when it ends, not in between.

    Args:
        log: The log to write to.
        begins: The sentence for the beginning.
        ends: The sentence for the end.
    """

    def __init__(self, log: Log, *, begins: str, ends: str) -> None:
        self._log = log
        self._begins = begins
        self._ends = ends
        self._holds = False

    @property
    def holds(self) -> bool:
        """Whether it holds now."""
        return self._holds

    def begin(self, **fields: object) -> None:
        """Note that it holds."""
        if not self._holds:
            self._holds = True
            self._log.say(self._begins, **fields)

    def end(self, **fields: object) -> None:
        """Note that it does not hold."""
        if self._holds:
            self._holds = False
            self._log.say(self._ends, **fields)


class BoundedLines:
    """Writes lines to a file descriptor without ever waiting for its reader.

    What the reader does not take is kept up to a bound; beyond it lines are dropped and counted.

    Args:
        descriptor: An open file descriptor; it is made non-blocking.
        limit_bytes: How much is kept.
    """

    def __init__(self, descriptor: int, *, limit_bytes: int = 1_048_576) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._pending = bytearray()
        self.dropped = 0

    def write(self, line: str | bytes) -> int:
        """Take a whole line; write what the reader takes now."""
        data = line.encode() if isinstance(line, str) else line
        if len(self._pending) + len(data) > self._limit_bytes:
            self.dropped += 1
        else:
            self._pending += data
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except (BlockingIOError, OSError):
                return
            del self._pending[:written]


def log_to(stream: TextIO | BoundedLines = sys.stderr) -> None:
    """Send every log line to a stream as one JSON object a line."""
    eliot.to_file(stream)
