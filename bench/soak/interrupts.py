"""Signals that end the soak, held back while a process is started that must then be ended, too."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class Interrupted(BaseException):
    """The soak was told to stop."""


class Interrupts:
    """Raises `Interrupted` once in the main thread, when a signal comes or as soon as it may."""

    def __init__(self) -> None:
        self._held = False
        self._pending = False
        self._raised = False

    def listen(self) -> None:
        """Take over the signals that end a program."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, self._record)

    @contextmanager
    def held(self) -> Iterator[None]:
        """Hold interrupts back."""
        self._held = True
        try:
            yield
        finally:
            self._held = False
        if self._pending:
            self._raise()

    def _record(self, *_: Any) -> None:
        self._pending = True
        if not self._held:
            self._raise()

    def _raise(self) -> None:
        """Raise once: what is ended after that is not interrupted again."""
        self._pending = False
        if not self._raised:
            self._raised = True
            raise Interrupted()
