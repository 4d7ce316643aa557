"""How many adapters are brought from the weight store at once, by how fast they come.

The store serves so many at full speed; beyond that each takes longer, and nothing is gained by
more. That number is not told, and all zones share it, so it is found by trying.
"""

from __future__ import annotations

_INITIAL_LIMIT = 8.0
"""What is tried first: enough for a zone of some engines."""

_MIN_LIMIT = 4.0
_MAX_LIMIT = 40.0
"""More than the engines of one zone have taken in any run."""

_SLOW_FACTOR = 1.5
"""Times the time at full speed; a load that takes longer shared the store's speed with too many."""

_INCREASE_PER_LOAD = 0.1
"""For each load at full speed so many more may be under way."""

_DECREASE_FACTOR = 0.95
"""For each slow one so many times as many."""

_FASTER_LOAD_WEIGHT = 0.2
"""A load that is faster than any before moves the time at full speed by this part of the
difference. One of half the time, as 1 in 80 took on a day with killed placers, otherwise makes all
others look slow: zones that had brought up to 40 at once stood at 4 until the end of the day."""

_FULL_SPEED_GROWTH = 1.002
"""The time at full speed grows a little with each load, as speeds may change for good."""


class LoadConcurrency:
    """Learns from each load how many may be under way.

    Attributes:
        at_once: How many may be.
    """

    def __init__(self) -> None:
        self.at_once = _INITIAL_LIMIT
        self._full_speed_s: float | None = None

    def record(self, seconds: float) -> None:
        """Learn from a load from the weight store that took so long."""
        full_speed_s = seconds if self._full_speed_s is None else self._full_speed_s
        full_speed_s *= _FULL_SPEED_GROWTH
        full_speed_s += _FASTER_LOAD_WEIGHT * min(0.0, seconds - full_speed_s)
        self._full_speed_s = full_speed_s
        if seconds > full_speed_s * _SLOW_FACTOR:
            self.at_once = max(_MIN_LIMIT, self.at_once * _DECREASE_FACTOR)
        else:
            self.at_once = min(_MAX_LIMIT, self.at_once + _INCREASE_PER_LOAD)
