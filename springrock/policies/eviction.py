"""Eviction policies: value, least recently used, random."""

from __future__ import annotations

import random
from collections.abc import Sequence

from springrock.policies import Resident, evictions

_PAYBACK_S = 5.0
"""A fresh load is protected this long, so that it can pay for itself."""


class ValueEviction:
    """Unloads the adapter with the lowest decayed request rate; spares fresh loads if it can."""

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Choose one of at least one resident."""

        def _badness(resident: Resident) -> tuple[bool, float, float]:
            unpaid = resident.uses == 0 and now - resident.loaded_at < _PAYBACK_S
            return unpaid, resident.rate, resident.used_at

        return min(residents, key=_badness)


class LruEviction:
    """Unloads the adapter that was not used for the longest time."""

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Choose one of at least one resident."""
        return min(residents, key=lambda resident: resident.used_at)


class RandomEviction:
    """Unloads any adapter; a baseline."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Choose one of at least one resident."""
        return self._random.choice(residents)


evictions.register("value")(ValueEviction())
evictions.register("lru")(LruEviction())
evictions.register("random")(RandomEviction())
