"""Signals that end the soak, deferred while it starts a process, so that none is left running."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class Interrupted(BaseException):
    """A signal asked the soak to stop."""


class Interrupts:
    """Raises `Interrupted` once in the main thread, on a signal or when its deferral ends."""

    def __init__(self) -> None:
        self._deferring = False
        self._pending = False
        self._raised = False

    def listen(self) -> None:
        """Install the handlers of SIGINT and SIGTERM."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, self._handle_signal)

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Defer interrupts within the context."""
        self._deferring = True
        try:
            yield
        finally:
            self._deferring = False
        if self._pending:
            self._raise()

    def _handle_signal(self, *_: Any) -> None:
        self._pending = True
        if not self._deferring:
            self._raise()

    def _raise(self) -> None:
        """Raise the first time only, so that the clean-up after it is not interrupted."""
        self._pending = False
        if not self._raised:
            self._raised = True
            raise Interrupted()
