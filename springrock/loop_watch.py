"""Measures how late a process's event loop runs, to tell its own stalls from others'.

A process that gets no processor time, or is suspended, answers late and also finds that others do
not answer in time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.log import Log
from springrock.metrics import ignore_count

_CHECK_INTERVAL_S = 0.5
"""Short enough that every stall of a second is detected."""

_MAX_DELAY_S = 0.25
"""Longer delays are logged. This is a third of the time-out for answers of the store."""

_LOG_INTERVAL_S = 5.0


class LoopWatch:
    """Measures the delay of the event loop, in its own task.

    Args:
        log: The log to write to.
        observe: Called with the delay of each check, in seconds.
    """

    def __init__(self, log: Log, *, observe: Callable[[float], None] = ignore_count) -> None:
        self._log = log
        self._observe = observe
        self._logged_at = float("-inf")
        self._suppressed = 0
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Start the checks."""
        self._task = gevent.spawn(self._check_loop)

    def stop(self) -> None:
        """Stop the checks."""
        if self._task is not None:
            self._task.kill()

    def _check_loop(self) -> None:
        while True:
            due_at = monotonic() + _CHECK_INTERVAL_S
            gevent.sleep(_CHECK_INTERVAL_S)
            self._record(monotonic() - due_at)

    def _record(self, late_s: float) -> None:
        self._observe(max(0.0, late_s))
        if late_s < _MAX_DELAY_S:
            return
        now = monotonic()
        if now - self._logged_at < _LOG_INTERVAL_S:
            self._suppressed += 1
            return
        self._log.info(
            "The loop was late.", late_ms=round(1000 * late_s), suppressed=self._suppressed
        )
        self._logged_at, self._suppressed = now, 0
