"""A rate limit on base model loads from the weight store, shared by the engines of a service."""

from __future__ import annotations

from springrock.clock import monotonic


class LoadBudget:
    """A token bucket that starts empty, as the previous placer may have just used its burst.

    Args:
        per_s: Loads allowed per second.
        burst: Maximum number of unused loads that accumulate.
    """

    def __init__(self, *, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = 0.0
        self._filled_at = monotonic()

    def try_acquire(self) -> bool:
        """Consume one load if the bucket holds one; return whether it did."""
        self._fill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self) -> None:
        now = monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._per_s)
        self._filled_at = now
