"""Copies of adapters in the zones or regions of their callers, which save traffic between zones.

`NearCopies` finds at the serving zone which copies elsewhere are worth a load. `CopyRequests`
collects at the callers' zone the copies that its boxes ask for.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from springrock.clock import monotonic
from springrock.forwarding.distance_cost import DistancePrices
from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import CopyRequest
from springrock.placement.popularity import Popularity
from springrock.topology import Distance, Topology

_MIN_LOADS_SAVED = 0.5
"""Savings, in loads, from which a copy is worthwhile.

The savings are counted over the time that request counts cover, about 12 s. Half a load is enough,
as worthwhile copies stay loaded several times as long.
"""

_ASKS_BETWEEN_CLEANUPS = 2_000
"""Number of asks after which the counts of rarely requested adapters are dropped."""


_REQUEST_VALID_S = 1.0
"""Time for which a request for a copy is valid; each grant renews it while it is worthwhile."""


class NearCopies:
    """Counts the bytes that each adapter's requests carry from other zones and regions.

    Boxes in other zones of this region are counted by zone. Boxes of another region are counted
    together, as the traffic between regions is what costs most.

    Args:
        zone: The zone whose placer counts.
        topology: Returns the zones of the deployment.
        prices: The price of bytes relative to a load.
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
        """Count a request of a box.

        Args:
            key: The adapter.
            home_zone: The zone of the box.
            carried_bytes: Bytes of the request and its answer.

        Returns:
            The loads that a copy near that box saves within the time that request counts cover; 0
            if a copy is not worth a load.
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
        saved = self._prices.price_in_loads(distance, carried.of(key))
        return saved if saved >= _MIN_LOADS_SAVED else 0.0

    def clear(self) -> None:
        """Drop all counts, as when the lease is lost."""
        self._carried.clear()

    def _clean(self) -> None:
        self._asks_counted += 1
        if self._asks_counted % _ASKS_BETWEEN_CLEANUPS == 0:
            for carried in self._carried.values():
                carried.forget_rare()


class CopyRequests:
    """The copies that boxes request in this zone, and the loads that each would save."""

    def __init__(self) -> None:
        self._requested: dict[AdapterKey, tuple[float, float]] = {}

    def record(self, requests: Iterable[CopyRequest]) -> None:
        """Record the copies that a box requests."""
        now = monotonic()
        for request in requests:
            self._requested[AdapterKey(request.model, request.adapter)] = (
                request.saves / 100,
                now,
            )

    def current(self) -> dict[AdapterKey, float]:
        """Return the loads that each requested copy saves; drop expired requests."""
        now = monotonic()
        self._requested = {
            key: (saves, at)
            for key, (saves, at) in self._requested.items()
            if now - at < _REQUEST_VALID_S
        }
        return {key: saves for key, (saves, _) in self._requested.items()}

    def clear(self) -> None:
        """Drop all requests, as when the lease is lost."""
        self._requested.clear()
