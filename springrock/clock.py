"""The clock for all durations and deadlines: one local clock that never jumps."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial


def steady_clock() -> Callable[[], float]:
    """Return the system's monotonic clock that also advances while the machine is suspended.

    Leases, permits and the trust in keys expire for all other boxes during a suspension, so they
    have to expire here as well. ``time.monotonic`` does not advance during a suspension on Linux;
    it is used only where ``CLOCK_BOOTTIME`` is missing.
    """
    boot_clock = getattr(time, "CLOCK_BOOTTIME", None)
    if boot_clock is None:
        return time.monotonic
    return partial(time.clock_gettime, boot_clock)


monotonic = steady_clock()
"""Return the seconds of the steady clock; every decision that depends on time uses this clock.

Timers of the event loop do not count a suspension. They only wake tasks, which check this clock
before they act, so a suspension can only make a task wake late."""


class Deadline:
    """A point in time on the clock `monotonic`.

    Args:
        seconds: Seconds from now until the deadline.
    """

    __slots__ = ("at",)

    def __init__(self, seconds: float) -> None:
        self.at = monotonic() + seconds

    @property
    def left_s(self) -> float:
        """Seconds until the deadline; 0 once it has passed."""
        return max(0.0, self.at - monotonic())

    @property
    def passed(self) -> bool:
        """Whether the deadline has passed."""
        return monotonic() >= self.at
