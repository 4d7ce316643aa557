"""The settings of a box that placement uses."""

from __future__ import annotations

from typing import NamedTuple

from springrock.forwarding.distance_cost import DEFAULT_PRICES, DistancePrices


class PlacementSettings(NamedTuple):
    """The settings of a box that placement uses.

    Attributes:
        box: The name of this box.
        zone: Its availability zone.
        address: The address at which this box accepts links of other boxes.
        lease_s: Duration of a placer's lease.
        checks_fence: Whether engines refuse orders with an older fence.
        ceiling_ratio: Factor by which loads of models may exceed the stated rate.
        ceiling_burst: Burst of model loads that the rate limit allows.
        strength: The processor cores of this box.
        prices: The cost of bytes sent between zones, in loads.
        clients_address: Where this box accepts requests that other boxes pass on.
    """

    box: str
    zone: str
    address: str
    lease_s: float
    checks_fence: bool
    ceiling_ratio: float
    ceiling_burst: float
    strength: float = 1.0
    prices: DistancePrices = DEFAULT_PRICES
    clients_address: str = ""
