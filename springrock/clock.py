"""Time: durations on the local monotonic clock only."""

from __future__ import annotations

import time

monotonic = time.monotonic
"""Seconds on a clock that never goes back and goes on while the process is paused."""


class Deadline:
    """A point on the local monotonic clock."""

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
