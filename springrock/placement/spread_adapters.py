"""Which adapters are asked for so much that each zone does better to serve them itself."""

from __future__ import annotations

from collections.abc import Mapping

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.planner import HOT_COUNT
from springrock.placement.popularity import Popularity

_MIN_COPIES = 2
"""So many copies in one zone say that one engine is too little for an adapter."""

_RETENTION_S = 10.0
"""How long an adapter stays spread after it was last so: about the half-life of popularity."""


class SpreadAdapters:
    """The adapters that are spread over the zones.

    Args:
        popularity: How often adapters are asked for in this zone.
    """

    def __init__(self, popularity: Popularity) -> None:
        self._popularity = popularity
        self._since: dict[AdapterKey, float] = {}

    def evaluate(self, copies: Mapping[AdapterKey, int], *, zones: int) -> tuple[str, ...]:
        """Return the adapters as MODEL/NAME.

        Args:
            copies: How many engines of this zone hold an adapter.
            zones: How many zones have engines.
        """
        now = monotonic()
        for key, count in copies.items():
            # While it is spread each zone sees its part of the requests only.
            hot = HOT_COUNT if key in self._since else HOT_COUNT * zones
            if count >= _MIN_COPIES and self._popularity.of(key) >= hot:
                self._since[key] = now
        self._since = {key: at for key, at in self._since.items() if now - at < _RETENTION_S}
        return tuple(sorted(map(str, self._since)))

    def clear(self) -> None:
        """Begin anew, as with a lease just taken."""
        self._since.clear()
