"""What it costs to send a request away: bytes between zones and regions, and the way there."""

from __future__ import annotations

from typing import NamedTuple

from springrock.topology import Distance

_BYTES_PER_MB = 1_000_000
_MIN_LOAD_PRICE = 1e-9
"""Loads that cost nothing are reckoned as next to nothing."""

_BYTES_PER_TOKEN = 4
"""What a token of a prompt takes on the wire, about."""

_MIN_TARGET_S = 0.001

_OVERHEAD_BYTES = 2_000
"""What a request and its answer take beside the prompt: headers, and the events of a stream."""


class DistancePrices(NamedTuple):
    """Prices beside each other, in any one unit.

    Attributes:
        zone_mb: Of a megabyte between two zones of a region.
        region_mb: Of a megabyte between two regions.
        adapter_load: Of an adapter brought from the weight store.
    """

    zone_mb: float = 1.0
    region_mb: float = 2.0
    adapter_load: float = 0.03

    def in_loads(self, distance: Distance, transferred_bytes: float) -> float:
        """Return what bytes cost over a distance, in loads of an adapter."""
        if distance is Distance.OWN_ZONE:
            return 0.0
        price = self.region_mb if distance is Distance.OTHER_REGION else self.zone_mb
        return price * transferred_bytes / _BYTES_PER_MB / max(_MIN_LOAD_PRICE, self.adapter_load)


USUAL_PRICES = DistancePrices()

_OTHER_ZONE_COST = 0.25
"""What the way to another zone counts beside the part of a replica's places that are taken: a
replica of the own zone is left when a quarter more of its places are."""

_MAX_SIZE_WEIGHT = 4.0
"""How many times a usual request a long one counts at most: its places matter as well."""


class RequestSize(NamedTuple):
    """What a request takes along, and how long its answer may take.

    Attributes:
        body_bytes: The length of its body.
        target_s: In what time it is to be answered.
    """

    body_bytes: int = 0
    target_s: float = 0.4

    @property
    def weight(self) -> float:
        """What its bytes count beside those of a usual request."""
        return min(_MAX_SIZE_WEIGHT, 1 + self.body_bytes / _OVERHEAD_BYTES)


TYPICAL_SIZE = RequestSize()


class DistanceCosts(NamedTuple):
    """What ways count beside the part of a replica's places that are taken.

    Attributes:
        own_region: To another zone of the own region.
        other_region: To another region.
        region_round_trip_s: The way to another region and back; it counts as the part that it is
            of the time to the target.
    """

    own_region: float = _OTHER_ZONE_COST
    other_region: float = 3 * _OTHER_ZONE_COST
    region_round_trip_s: float = 0.0

    @classmethod
    def from_prices(cls, prices: DistancePrices, *, region_round_trip_s: float) -> DistanceCosts:
        """Build from what bytes cost; another region counts more than another zone in any case."""
        region_price_ratio = prices.region_mb / prices.zone_mb if prices.zone_mb else 1.0
        other_region = _OTHER_ZONE_COST * (1 + max(1.0, region_price_ratio))
        return cls(_OTHER_ZONE_COST, other_region, region_round_trip_s)

    def of(self, distance: Distance, size: RequestSize = TYPICAL_SIZE) -> float:
        """Return what the way of a request over a distance counts."""
        if distance is Distance.OWN_ZONE:
            return 0.0
        if distance is Distance.OWN_REGION:
            return self.own_region * size.weight
        latency_cost = self.region_round_trip_s / max(_MIN_TARGET_S, size.target_s)
        return self.other_region * size.weight + latency_cost


DEFAULT_COSTS = DistanceCosts()


def bytes_of_prompt(tokens: int) -> int:
    """Return about what a request with a prompt and its answer take on the wire together."""
    return _OVERHEAD_BYTES + _BYTES_PER_TOKEN * tokens
