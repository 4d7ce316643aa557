"""The budget of loads from the weight store, for all engines of a service together."""

from __future__ import annotations

from springrock.clock import monotonic


class LoadBudget:
    """A token bucket that starts empty, as a placer before this one may have spent it.

    Args:
        per_s: Loads allowed a second.
        burst: Loads that may be saved up.
    """

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = 0.0
        self._filled_at = monotonic()

    def try_acquire(self) -> bool:
        """Take one load out; return whether there was one."""
        self._fill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self) -> None:
        now = monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._per_s)
        self._filled_at = now
