"""How late a process's loop runs: what tells a stall of this process from one of the other side.

A loop that gets no processor, or whose process stands still, answers late and finds others silent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.log import Log
from springrock.metrics import count_nothing

_LOOK_S = 0.5
"""Often enough that a stall of a second is always seen."""

_LATE_S = 0.25
"""A third of the time for an answer of the store: later than that others take it for silence."""

_SAID_EVERY_S = 5.0


class LoopWatch:
    """Looks at how late the loop runs, in a task of its own.

    Args:
        log: The log to write to.
        observe: Called with the seconds by which each look came late.
    """

    def __init__(self, log: Log, *, observe: Callable[[float], None] = count_nothing) -> None:
        self._log = log
        self._observe = observe
        self._said_at = float("-inf")
        self._unsaid = 0
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Begin to look."""
        self._task = gevent.spawn(self._check_loop)

    def stop(self) -> None:
        """Look no more."""
        if self._task is not None:
            self._task.kill()

    def _check_loop(self) -> None:
        while True:
            due_at = monotonic() + _LOOK_S
            gevent.sleep(_LOOK_S)
            self._record(monotonic() - due_at)

    def _record(self, late_s: float) -> None:
        self._observe(max(0.0, late_s))
        if late_s < _LATE_S:
            return
        now = monotonic()
        if now - self._said_at < _SAID_EVERY_S:
            self._unsaid += 1
            return
        self._log.say("The loop was late.", late_ms=round(1000 * late_s), unsaid=self._unsaid)
        self._said_at, self._unsaid = now, 0
