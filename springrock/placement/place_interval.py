"""Estimates how often a place becomes free on the engines while places are short."""

from __future__ import annotations

_HALF_LIFE_S = 3.0
_INITIAL_INTERVAL_S = 0.15
"""Estimate before anything was measured."""

_INITIAL_PLACES = 4
"""Weight of the initial estimate, as a number of freed places."""

_MAX_INTERVAL_S = 1.5


class PlaceInterval:
    """Measures the mean seconds per freed place, over recent periods in which adapters waited."""

    def __init__(self) -> None:
        self._shortage_s = _INITIAL_INTERVAL_S * _INITIAL_PLACES
        self._given = float(_INITIAL_PLACES)
        self._recorded_at: float | None = None
        self._is_short = False

    @property
    def estimate_s(self) -> float:
        """Estimated seconds until the next place becomes free."""
        return min(_MAX_INTERVAL_S, self._shortage_s / self._given)

    def record(self, *, assigned: int, is_short: bool, now: float) -> None:
        """Record the result of one plan.

        Args:
            assigned: Number of places that were assigned to adapters.
            is_short: Whether wanted adapters were left without a place.
            now: The time on the local monotonic clock.
        """
        if self._is_short and self._recorded_at is not None:
            passed_s = now - self._recorded_at
            decay = 0.5 ** (passed_s / _HALF_LIFE_S)
            self._shortage_s = self._shortage_s * decay + passed_s
            self._given = self._given * decay + assigned
        self._is_short = is_short
        self._recorded_at = now
