"""What one replica holds: adapters that are ready, loading or being unloaded, and their use."""

from __future__ import annotations

import math
from collections.abc import Iterable

from springrock.clock import monotonic
from springrock.policies import Resident

_RATE_HALF_LIFE_S = 60.0
_REMEMBERED_RATES = 4_096


class _Decayed:
    """A count of events that halves every half-life."""

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
        slots: How many adapters it can hold.
        loading: The adapter being loaded, or empty.
        unloading: The adapter being unloaded, or empty.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.loading = ""
        self.unloading = ""
        self._ready: dict[str, Resident] = {}
        self._rates: dict[str, _Decayed] = {}

    def ready(self, adapter: str) -> bool:
        """Whether a request can begin on an adapter; the base model always is."""
        return not adapter or (adapter in self._ready and adapter != self.unloading)

    @property
    def ready_adapters(self) -> list[str]:
        """The adapters on which requests can begin, sorted."""
        return sorted(adapter for adapter in self._ready if adapter != self.unloading)

    @property
    def free_slots(self) -> int:
        """How many slots hold nothing."""
        return self.slots - len(self._ready) - (1 if self.loading else 0)

    def record_want(self, adapter: str) -> None:
        """Count a request for an adapter, loaded or not."""
        if len(self._rates) >= _REMEMBERED_RATES:
            self._forget_rare()
        self._rates.setdefault(adapter, _Decayed()).add(monotonic())

    def record_use(self, adapter: str) -> None:
        """Count that a request begins or ends on an adapter."""
        resident = self._ready.get(adapter)
        if resident is not None:
            now = monotonic()
            self._ready[adapter] = resident._replace(used_at=now, uses=resident.uses + 1)

    def loaded(self, adapter: str) -> None:
        """Note that an adapter is ready."""
        self.loading = ""
        now = monotonic()
        self._ready[adapter] = Resident(adapter, now, now, 0.0, 0)

    def unloaded(self, adapter: str) -> Resident | None:
        """Note that an adapter is gone; return how it was used."""
        self.unloading = ""
        return self._ready.pop(adapter, None)

    def replace(self, adapters: Iterable[str]) -> None:
        """Take over the exact list that the engine gave."""
        now = monotonic()
        held = self._ready
        self._ready = {
            adapter: held.get(adapter, Resident(adapter, now, now, 0.0, 0)) for adapter in adapters
        }

    def residents(self) -> list[Resident]:
        """Return every ready adapter with its present rate."""
        now = monotonic()
        return [
            resident._replace(rate=self.rate(resident.adapter, now))
            for resident in self._ready.values()
        ]

    def rate(self, adapter: str, now: float) -> float:
        """Return the decayed count of requests for an adapter."""
        decayed = self._rates.get(adapter)
        return decayed.value(now) if decayed else 0.0

    def _forget_rare(self) -> None:
        now = monotonic()
        ordered = sorted(self._rates, key=lambda adapter: self._rates[adapter].value(now))
        for adapter in ordered[: _REMEMBERED_RATES // 2]:
            del self._rates[adapter]
