"""An adaptive limit on concurrent loads of adapters from the weight store.

The store serves a certain number of loads at full speed. Beyond that each load takes longer and
the throughput does not rise. The store does not publish that number and all zones share it, so
each zone finds its part by additive increase and multiplicative decrease.
"""

from __future__ import annotations

_INITIAL_LIMIT = 8.0
"""Enough for a zone with a few engines."""

_MIN_LIMIT = 4.0
_MAX_LIMIT = 40.0
"""More loads than one zone has ever run at once."""

_SLOW_FACTOR = 1.5
"""Multiple of the full-speed duration above which a load counts as slowed down by other loads."""

_INCREASE_PER_LOAD = 0.1
"""Added to the limit after each load at full speed."""

_DECREASE_FACTOR = 0.95
"""Multiplies the limit after each slow load."""

_FASTER_LOAD_WEIGHT = 0.2
"""Fraction of the difference by which a faster load lowers the full-speed duration.

If a single fast load replaced the duration, all others would count as slow. When 1 load in 80 took
half the time, after placers were killed, limits of up to 40 fell to 4 and stayed there.
"""

_FULL_SPEED_GROWTH = 1.002
"""Multiplies the full-speed duration at each load, so that it adapts to a lasting slowdown."""


class LoadConcurrency:
    """Adjusts the number of concurrent loads by the duration of each load.

    Attributes:
        limit: The current limit on concurrent loads.
    """

    def __init__(self) -> None:
        self.limit = _INITIAL_LIMIT
        self._full_speed_s: float | None = None

    def record(self, seconds: float) -> None:
        """Adjust the limit by the duration of a load from the weight store, in seconds."""
        full_speed_s = seconds if self._full_speed_s is None else self._full_speed_s
        full_speed_s *= _FULL_SPEED_GROWTH
        full_speed_s += _FASTER_LOAD_WEIGHT * min(0.0, seconds - full_speed_s)
        self._full_speed_s = full_speed_s
        if seconds > full_speed_s * _SLOW_FACTOR:
            self.limit = max(_MIN_LIMIT, self.limit * _DECREASE_FACTOR)
        else:
            self.limit = min(_MAX_LIMIT, self.limit + _INCREASE_PER_LOAD)
