"""Request counts of adapters with exponential decay."""

from __future__ import annotations

import math

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey

_HALF_LIFE_S = 8.0
_MIN_COUNT = 0.01
_DECAY = math.log(2) / _HALF_LIFE_S


class Popularity:
    """Decayed request counts by adapter; the popularity of an adapter is its count."""

    def __init__(self) -> None:
        self._counts: dict[AdapterKey, tuple[float, float]] = {}

    def record(self, key: AdapterKey, count: float) -> None:
        """Add to an adapter's count: a number of requests, bytes, or an equivalent."""
        self._counts[key] = (self.of(key) + count, monotonic())

    def raise_to(self, key: AdapterKey, count: float) -> None:
        """Raise an adapter's count to the one that it had in the zone that served it before."""
        self._counts[key] = (max(self.of(key), count), monotonic())

    def ranked(self, *, min_count: float) -> list[tuple[AdapterKey, float]]:
        """Return the adapters whose count is at least `min_count`, the most popular first."""
        counts = {key: self.of(key) for key in self._counts}
        ranked = sorted(counts.items(), key=lambda item: -item[1])
        return [(key, count) for key, count in ranked if count >= min_count]

    def above(self, count: float) -> list[AdapterKey]:
        """Return the adapters with a higher count; drop rarely requested ones."""
        counts = self.forget_rare()
        return [key for key, current in counts.items() if current > count]

    def forget_rare(self) -> dict[AdapterKey, float]:
        """Drop the adapters with a negligible count; return all current counts."""
        counts = {key: self.of(key) for key in self._counts}
        self._counts = {
            key: counted for key, counted in self._counts.items() if counts[key] >= _MIN_COUNT
        }
        return counts

    def of(self, key: AdapterKey) -> float:
        """Return the decayed count of an adapter."""
        count, at = self._counts.get(key, (0.0, 0.0))
        return count * math.exp(-_DECAY * (monotonic() - at)) if count else 0.0
