"""The adapters of one replica: ready, being loaded or being unloaded, and how they are used."""

from __future__ import annotations

import math
from collections.abc import Iterable

from springrock.clock import monotonic
from springrock.policies import Resident

_RATE_HALF_LIFE_S = 60.0
_MAX_TRACKED_RATES = 4_096


class _DecayedCount:
    """A count of events that decays exponentially."""

    __slots__ = ("_at", "_count")

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        self._count = self.value(now) + 1.0
        self._at = now

    def value(self, now: float) -> float:
        return self._count * math.exp2((self._at - now) / _RATE_HALF_LIFE_S)


class Residency:
    """The adapters of one replica.

    Attributes:
        slots: Maximum number of loaded adapters.
        loading: The adapter being loaded, or an empty string.
        unloading: The adapter being unloaded, or an empty string.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.loading = ""
        self.unloading = ""
        self._ready: dict[str, Resident] = {}
        self._rates: dict[str, _DecayedCount] = {}

    def ready(self, adapter: str) -> bool:
        """Whether a request can start on an adapter; the base model (no name) is always ready."""
        return not adapter or (adapter in self._ready and adapter != self.unloading)

    @property
    def ready_adapters(self) -> list[str]:
        """The adapters on which requests can start, sorted."""
        return sorted(adapter for adapter in self._ready if adapter != self.unloading)

    @property
    def free_slots(self) -> int:
        """Number of slots without an adapter."""
        return self.slots - len(self._ready) - (1 if self.loading else 0)

    def record_want(self, adapter: str) -> None:
        """Count a request for an adapter, whether or not it is loaded."""
        if len(self._rates) >= _MAX_TRACKED_RATES:
            self._drop_lowest_rates()
        self._rates.setdefault(adapter, _DecayedCount()).add(monotonic())

    def record_use(self, adapter: str) -> None:
        """Count the start or end of a request on an adapter."""
        resident = self._ready.get(adapter)
        if resident is not None:
            now = monotonic()
            self._ready[adapter] = resident._replace(used_at=now, uses=resident.uses + 1)

    def record_loaded(self, adapter: str) -> None:
        """Record that an adapter was loaded."""
        self.loading = ""
        now = monotonic()
        self._ready[adapter] = Resident(adapter, now, now, 0.0, 0)

    def record_unloaded(self, adapter: str) -> Resident | None:
        """Record that an adapter was unloaded; return its usage, or None if it was not loaded."""
        self.unloading = ""
        return self._ready.pop(adapter, None)

    def replace(self, adapters: Iterable[str]) -> None:
        """Replace the loaded adapters by the engine's list."""
        now = monotonic()
        before = self._ready
        self._ready = {
            adapter: before.get(adapter, Resident(adapter, now, now, 0.0, 0))
            for adapter in adapters
        }

    def residents(self) -> list[Resident]:
        """Return every loaded adapter with its current rate."""
        now = monotonic()
        return [
            resident._replace(rate=self.rate(resident.adapter, now))
            for resident in self._ready.values()
        ]

    def rate(self, adapter: str, now: float) -> float:
        """Return the exponentially decayed count of requests for an adapter."""
        decayed = self._rates.get(adapter)
        return decayed.value(now) if decayed else 0.0

    def _drop_lowest_rates(self) -> None:
        now = monotonic()
        ordered = sorted(self._rates, key=lambda adapter: self._rates[adapter].value(now))
        for adapter in ordered[: _MAX_TRACKED_RATES // 2]:
            del self._rates[adapter]
