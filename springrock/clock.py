"""Time: durations on one local steady clock only."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial


def steady_clock() -> Callable[[], float]:
    """Return the system's clock that never goes back and counts all time that passes.

    It goes on while the process is stopped, and while the machine is suspended: what was granted
    until then, a lease, a key's trust, a permit, lapses for everybody else meanwhile. The usual
    monotonic clock of Linux stands still in a suspension; it is taken where there is no other.
    """
    boot_clock = getattr(time, "CLOCK_BOOTTIME", None)
    if boot_clock is None:
        return time.monotonic
    return partial(time.clock_gettime, boot_clock)


monotonic = steady_clock()
"""Seconds on that clock; the only one that decisions go by.

Timers of the event loop do not count a suspension. They only wake tasks, which look at this clock
before they act, so that a task wakes late at most."""


class Deadline:
    """A point on the local steady clock."""

    __slots__ = ("at",)

    def __init__(self, seconds: float) -> None:
        self.at = monotonic() + seconds

    @property
    def left_s(self) -> float:
        """Seconds left, 0 once passed."""
        return max(0.0, self.at - monotonic())

    @property
    def passed(self) -> bool:
        """Whether the point is behind."""
        return monotonic() >= self.at
