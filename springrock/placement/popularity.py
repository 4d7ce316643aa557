"""How often adapters are asked for, decayed with time."""

from __future__ import annotations

import math

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey

_HALF_LIFE_S = 8.0
_MIN_COUNT = 0.01
_DECAY = math.log(2) / _HALF_LIFE_S


class Popularity:
    """Decayed counts of requests, by adapter."""

    def __init__(self) -> None:
        self._counts: dict[AdapterKey, tuple[float, float]] = {}

    def record(self, key: AdapterKey, count: float) -> None:
        """Count requests, or what counts as much."""
        self._counts[key] = (self.of(key) + count, monotonic())

    def raise_to(self, key: AdapterKey, count: float) -> None:
        """Count an adapter as asked for at least so often, as it was where it stood before."""
        self._counts[key] = (max(self.of(key), count), monotonic())

    def ranked(self, *, least: float) -> list[tuple[AdapterKey, float]]:
        """Return the adapters that were asked for so often at least, the most asked for first."""
        now_of = {key: self.of(key) for key in self._counts}
        ranked = sorted(now_of.items(), key=lambda item: -item[1])
        return [(key, asked) for key, asked in ranked if asked >= least]

    def above(self, count: float) -> list[AdapterKey]:
        """Return the adapters that were asked for more often, decayed; forget the rare ones."""
        now_of = self.forget_rare()
        return [key for key, now in now_of.items() if now > count]

    def forget_rare(self) -> dict[AdapterKey, float]:
        """Forget what is hardly asked for any more; return the decayed counts as they are now."""
        now_of = {key: self.of(key) for key in self._counts}
        self._counts = {
            key: counted for key, counted in self._counts.items() if now_of[key] >= _MIN_COUNT
        }
        return now_of

    def of(self, key: AdapterKey) -> float:
        """Return the decayed count of an adapter."""
        count, at = self._counts.get(key, (0.0, 0.0))
        return count * math.exp(-_DECAY * (monotonic() - at)) if count else 0.0
