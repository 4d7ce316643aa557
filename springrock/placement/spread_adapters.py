"""Finds the adapters that are popular enough for every zone to load and serve its own copies."""

from __future__ import annotations

from collections.abc import Mapping

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.planner import HOT_COUNT
from springrock.placement.popularity import Popularity

_MIN_COPIES = 2
"""Number of copies in one zone that shows that one engine is not enough for an adapter."""

_RETENTION_S = 10.0
"""Time for which an adapter stays spread after it last met the conditions.

It is about the half-life of popularity, so that the set does not change at each evaluation.
"""


class SpreadAdapters:
    """The spread adapters: those that each zone serves itself.

    Args:
        popularity: Decayed request counts of the adapters in this zone.
    """

    def __init__(self, popularity: Popularity) -> None:
        self._popularity = popularity
        self._since: dict[AdapterKey, float] = {}

    def evaluate(self, copies: Mapping[AdapterKey, int], *, zones: int) -> tuple[str, ...]:
        """Return the spread adapters as MODEL/NAME, sorted.

        Args:
            copies: Number of engines of this zone that hold each adapter.
            zones: Number of zones that have engines.
        """
        now = monotonic()
        for key, count in copies.items():
            # While an adapter is spread, each zone receives only its share of the requests.
            threshold = HOT_COUNT if key in self._since else HOT_COUNT * zones
            if count >= _MIN_COPIES and self._popularity.of(key) >= threshold:
                self._since[key] = now
        self._since = {key: at for key, at in self._since.items() if now - at < _RETENTION_S}
        return tuple(sorted(map(str, self._since)))

    def clear(self) -> None:
        """Drop all adapters, as when the lease is lost."""
        self._since.clear()
