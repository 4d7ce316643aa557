"""The eviction pressure and the waiting time at the engines of a zone, published to all boxes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

_MAX_PRESSURE = 1_000.0
"""Published instead of an infinite pressure, where no adapter can be evicted; above any real
popularity."""

_MAX_WAIT_S = 60.0


class WaitEstimate(NamedTuple):
    """The medians over the engines of a zone, so that a single slow engine does not count.

    Attributes:
        pressure: Popularity of the adapter that would be evicted next; 0 with a free place.
        wait_s: Seconds that a first event would wait, without reading its own prompt.
    """

    pressure: float = 0.0
    wait_s: float = 0.0

    @classmethod
    def from_engines(cls, *, pressures: Iterable[float], waits_s: Iterable[float]) -> WaitEstimate:
        """Return the estimate from the pressure and the wait of each engine."""
        return cls(min(_MAX_PRESSURE, _median(pressures)), min(_MAX_WAIT_S, _median(waits_s)))


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
