"""Copies of adapters near the boxes that ask for them: which pay, and which are wished for here."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from springrock.clock import monotonic
from springrock.forwarding.distance_cost import DistancePrices
from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import CopyWish
from springrock.placement.popularity import Popularity
from springrock.topology import Distance, Topology

_MIN_LOADS_SAVED = 0.5
"""A copy is worth a load if, within the time that popularity remembers (about 12 s), it saves
half of one: copies that pay stand for several times as long."""

_ASKS_BETWEEN_CLEANUPS = 2_000
"""After so many asks what is not asked for any more is forgotten."""


_REQUEST_VALID_S = 1.0
"""How long a copy is wished for after a box last said so: while it pays each grant says it anew."""


class NearCopies:
    """Counts the bytes that each adapter's requests carry away from other zones and regions.

    Boxes of one region but of different zones save one copy for each zone; those of another region
    one for the region, as that is where the dear bytes are.

    Args:
        zone: The zone whose placer counts.
        topology: Returns the zones of the deployment.
        prices: What bytes cost beside a load.
    """

    def __init__(
        self, zone: str, *, topology: Callable[[], Topology], prices: DistancePrices
    ) -> None:
        self._zone = zone
        self._topology = topology
        self._prices = prices
        self._carried: dict[str, Popularity] = {}
        self._asks_counted = 0

    def record(self, key: AdapterKey, *, home_zone: str, carried_bytes: int) -> float:
        """Count an ask of a box.

        Args:
            key: The adapter.
            home_zone: Where the box stands.
            carried_bytes: What the request and its answer take.

        Returns:
            What a copy near that box saves, in loads, within the time that popularity remembers;
            0 if it does not pay.
        """
        topology = self._topology()
        distance = topology.distance_between(self._zone, home_zone)
        if distance is Distance.OWN_ZONE:
            return 0.0
        region = topology.region_of(home_zone)
        place = region if region and distance is Distance.OTHER_REGION else home_zone
        carried = self._carried.setdefault(place, Popularity())
        carried.record(key, carried_bytes)
        self._clean()
        saved = self._prices.in_loads(distance, carried.of(key))
        return saved if saved >= _MIN_LOADS_SAVED else 0.0

    def clear(self) -> None:
        """Begin anew, as with a lease just taken."""
        self._carried.clear()

    def _clean(self) -> None:
        self._asks_counted += 1
        if self._asks_counted % _ASKS_BETWEEN_CLEANUPS == 0:
            for carried in self._carried.values():
                carried.forget_rare()


class CopyRequests:
    """The copies that boxes wish for in a zone, and what each would save, in loads."""

    def __init__(self) -> None:
        self._requested: dict[AdapterKey, tuple[float, float]] = {}

    def record(self, wishes: Iterable[CopyWish]) -> None:
        """Take what a box wishes for."""
        now = monotonic()
        for wish in wishes:
            self._requested[AdapterKey(wish.model, wish.adapter)] = (
                wish.saves / 100,
                now,
            )

    def current(self) -> dict[AdapterKey, float]:
        """Return what each copy saves that is still wished for."""
        now = monotonic()
        self._requested = {
            key: (saves, at)
            for key, (saves, at) in self._requested.items()
            if now - at < _REQUEST_VALID_S
        }
        return {key: saves for key, (saves, _) in self._requested.items()}

    def clear(self) -> None:
        """Begin anew, as with a lease just taken."""
        self._requested.clear()
