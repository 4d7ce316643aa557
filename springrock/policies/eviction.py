"""Eviction policies: value, least recently used, random."""

from __future__ import annotations

import random
from collections.abc import Sequence

from springrock.policies import Resident, evictions

_UNUSED_LOAD_PROTECTION_S = 5.0
"""How long a loaded adapter that no request has used yet is evicted only if all others are also
protected, so that its load is not wasted."""


class ValueEviction:
    """Unloads the adapter with the lowest decayed request rate.

    Recently loaded adapters that no request has used yet are unloaded only if there are no others.
    """

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Return the adapter to unload; `residents` is not empty."""

        def _retention_key(resident: Resident) -> tuple[bool, float, float]:
            is_protected = (
                resident.uses == 0 and now - resident.loaded_at < _UNUSED_LOAD_PROTECTION_S
            )
            return is_protected, resident.rate, resident.used_at

        return min(residents, key=_retention_key)


class LruEviction:
    """Unloads the least recently used adapter."""

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Return the adapter to unload; `residents` is not empty."""
        return min(residents, key=lambda resident: resident.used_at)


class RandomEviction:
    """Unloads an adapter at random; a baseline for comparisons."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Return the adapter to unload; `residents` is not empty."""
        return self._random.choice(residents)


evictions.register("value")(ValueEviction())
evictions.register("lru")(LruEviction())
evictions.register("random")(RandomEviction())
