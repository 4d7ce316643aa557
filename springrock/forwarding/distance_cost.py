"""The cost of sending a request to another zone or region: transferred bytes and latency."""

from __future__ import annotations

from typing import NamedTuple

from springrock.topology import Distance

_BYTES_PER_MB = 1_000_000
_MIN_LOAD_PRICE = 1e-9
"""Replaces a load price of 0, which would be divided by."""

_BYTES_PER_TOKEN = 4
"""Approximate length of a prompt token on the wire."""

_MIN_TARGET_S = 0.001

_OVERHEAD_BYTES = 2_000
"""Approximate bytes of a request and its answer without the prompt: headers and events."""


class DistancePrices(NamedTuple):
    """Prices relative to each other; the unit is arbitrary.

    Attributes:
        zone_mb: Price of a megabyte between two zones of a region.
        region_mb: Price of a megabyte between two regions.
        adapter_load: Price of loading an adapter from the weight store.
    """

    zone_mb: float = 1.0
    region_mb: float = 2.0
    adapter_load: float = 0.03

    def price_in_loads(self, distance: Distance, transferred_bytes: float) -> float:
        """Return the price of bytes over a distance, in multiples of an adapter load's price."""
        if distance is Distance.OWN_ZONE:
            return 0.0
        price = self.region_mb if distance is Distance.OTHER_REGION else self.zone_mb
        return price * transferred_bytes / _BYTES_PER_MB / max(_MIN_LOAD_PRICE, self.adapter_load)


DEFAULT_PRICES = DistancePrices()

_OTHER_ZONE_COST = 0.25
"""Cost of another zone, on the scale of a replica's utilization: a replica of another zone is
chosen once the utilization of the own zone's replica is higher by more than a quarter."""

_MAX_SIZE_WEIGHT = 4.0
"""Upper bound of a request's size weight; utilization still matters for long ones."""


class RequestSize(NamedTuple):
    """The size of a request and its target latency.

    Attributes:
        body_bytes: Length of the body.
        target_s: Target latency of the answer, in seconds.
    """

    body_bytes: int = 0
    target_s: float = 0.4

    @property
    def weight(self) -> float:
        """The cost of the request's bytes relative to a request of typical size."""
        return min(_MAX_SIZE_WEIGHT, 1 + self.body_bytes / _OVERHEAD_BYTES)


TYPICAL_SIZE = RequestSize()


class DistanceCosts(NamedTuple):
    """Costs of distances, on the scale of a replica's utilization.

    Attributes:
        own_region: Cost of another zone of the own region.
        other_region: Cost of another region, without its latency.
        region_round_trip_s: Round-trip time to another region; its cost is the fraction of the
            target latency that it takes.
    """

    own_region: float = _OTHER_ZONE_COST
    other_region: float = 3 * _OTHER_ZONE_COST
    region_round_trip_s: float = 0.0

    @classmethod
    def from_prices(cls, prices: DistancePrices, *, region_round_trip_s: float) -> DistanceCosts:
        """Build from the prices of bytes; another region always costs more than another zone."""
        region_price_ratio = prices.region_mb / prices.zone_mb if prices.zone_mb else 1.0
        other_region = _OTHER_ZONE_COST * (1 + max(1.0, region_price_ratio))
        return cls(_OTHER_ZONE_COST, other_region, region_round_trip_s)

    def of(self, distance: Distance, size: RequestSize = TYPICAL_SIZE) -> float:
        """Return the cost of sending a request over a distance."""
        if distance is Distance.OWN_ZONE:
            return 0.0
        if distance is Distance.OWN_REGION:
            return self.own_region * size.weight
        latency_cost = self.region_round_trip_s / max(_MIN_TARGET_S, size.target_s)
        return self.other_region * size.weight + latency_cost


DEFAULT_COSTS = DistanceCosts()


def estimate_request_bytes(tokens: int) -> int:
    """Estimate the bytes on the wire of a request with a prompt and its answer together."""
    return _OVERHEAD_BYTES + _BYTES_PER_TOKEN * tokens
