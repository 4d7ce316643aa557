"""How long it takes until one more place on the engines is given up, while places are short."""

from __future__ import annotations

_HALF_LIFE_S = 3.0
_INITIAL_INTERVAL_S = 0.15
"""What is reckoned before anything was seen."""

_INITIAL_PLACES = 4
"""How many places' worth of seeing outweigh that."""

_MAX_INTERVAL_S = 1.5


class PlaceInterval:
    """Measures the seconds per place over the recent time in which adapters waited for one."""

    def __init__(self) -> None:
        self._shortage_s = _INITIAL_INTERVAL_S * _INITIAL_PLACES
        self._given = float(_INITIAL_PLACES)
        self._recorded_at: float | None = None
        self._is_short = False

    @property
    def estimate_s(self) -> float:
        """Seconds until one more place is given up, about."""
        return min(_MAX_INTERVAL_S, self._shortage_s / self._given)

    def record(self, *, given: int, is_short: bool, now: float) -> None:
        """Take what one plan did.

        Args:
            given: How many places were given to adapters.
            is_short: Whether adapters are left without one.
            now: The time on the local monotonic clock.
        """
        if self._is_short and self._recorded_at is not None:
            passed_s = now - self._recorded_at
            kept = 0.5 ** (passed_s / _HALF_LIFE_S)
            self._shortage_s = self._shortage_s * kept + passed_s
            self._given = self._given * kept + given
        self._is_short = is_short
        self._recorded_at = now
