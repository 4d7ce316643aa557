"""How many adapters are brought from the weight store at once, by how fast they come.

The store serves so many at full speed; beyond that each takes longer, and nothing is gained by
more. That number is not told, and all zones share it, so it is found by trying.
"""

from __future__ import annotations

_FIRST = 8.0
"""What is tried first: enough for a zone of some engines."""

_FEWEST = 4.0
_MOST = 40.0
"""More than the engines of one zone have taken in any run."""

_SLOWER = 1.5
"""Times the time at full speed; a load that takes longer shared the store's speed with too many."""

_MORE = 0.1
"""For each load at full speed so many more may be under way."""

_FEWER = 0.95
"""For each slow one so many times as many."""

_TRUST_FASTER = 0.2
"""A load that is faster than any before moves the time at full speed by this part of the
difference. One of half the time, as 1 in 80 took on a day with killed placers, otherwise makes all
others look slow: zones that had brought up to 40 at once stood at 4 until the end of the day."""

_FORGET_FASTER = 1.002
"""The time at full speed grows a little with each load, as speeds may change for good."""


class LoadPace:
    """Learns from each load how many may be under way.

    Attributes:
        at_once: How many may be.
    """

    def __init__(self) -> None:
        self.at_once = _FIRST
        self._full_speed_s: float | None = None

    def record(self, seconds: float) -> None:
        """Learn from a load from the weight store that took so long."""
        full_speed_s = seconds if self._full_speed_s is None else self._full_speed_s
        full_speed_s *= _FORGET_FASTER
        full_speed_s += _TRUST_FASTER * min(0.0, seconds - full_speed_s)
        self._full_speed_s = full_speed_s
        if seconds > full_speed_s * _SLOWER:
            self.at_once = max(_FEWEST, self.at_once * _FEWER)
        else:
            self.at_once = min(_MOST, self.at_once + _MORE)
