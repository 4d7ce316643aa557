"""Tests of near copies: which are worth a load, and how long a request for one is valid."""

from __future__ import annotations

import pytest

from springrock.forwarding.distance_cost import DistancePrices
from springrock.forwarding.message import AdapterKey
from springrock.placement import near_copies as near_copies_module
from springrock.placement import popularity as popularity_module
from springrock.placement.messages import CopyRequest
from springrock.placement.near_copies import CopyRequests, NearCopies
from springrock.topology import Topology

KEY, OTHER = AdapterKey("m", "a"), AdapterKey("m", "b")
REGIONS = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}
PRICES = DistancePrices(zone_mb=1.0, region_mb=4.0, adapter_load=0.02)


class Clock:
    """A clock that tests move."""

    now = 1000.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (popularity_module, near_copies_module):
        monkeypatch.setattr(module, "monotonic", lambda: clock.now)
    return clock


def make_near_copies(zone: str = "a-1", prices: DistancePrices = PRICES) -> NearCopies:
    topology = Topology(home=zone, zones=tuple(REGIONS), regions=REGIONS)
    return NearCopies(zone, topology=lambda: topology, prices=prices)


def test_a_copy_is_worthwhile_once_the_traffic_of_one_zone_costs_half_a_load(clock: Clock) -> None:
    copies = make_near_copies()
    assert copies.record(KEY, home_zone="a-2", carried_bytes=5_000) == 0.0
    assert copies.record(KEY, home_zone="a-3", carried_bytes=5_000) == 0.0, (
        "each zone is counted by itself"
    )
    assert copies.record(OTHER, home_zone="a-2", carried_bytes=5_000) == 0.0
    assert copies.record(KEY, home_zone="a-2", carried_bytes=5_000) == pytest.approx(0.5)
    clock.now += 8.0
    assert copies.record(KEY, home_zone="a-2", carried_bytes=7_000) == pytest.approx(0.6)


def test_the_zones_of_another_region_are_counted_together_at_the_price_between_regions(
    clock: Clock,
) -> None:
    copies = make_near_copies()
    assert copies.record(KEY, home_zone="b-1", carried_bytes=2_000) == 0.0
    assert copies.record(KEY, home_zone="b-2", carried_bytes=2_000) == pytest.approx(0.8)


def test_the_own_zone_needs_no_copy(clock: Clock) -> None:
    assert make_near_copies().record(KEY, home_zone="a-1", carried_bytes=9_000_000) == 0.0


def test_loads_without_a_price_make_every_copy_worthwhile(clock: Clock) -> None:
    copies = make_near_copies(prices=DistancePrices(adapter_load=0.0))
    assert copies.record(KEY, home_zone="a-2", carried_bytes=1) > 1.0


def test_traffic_without_a_price_leads_to_no_copies(clock: Clock) -> None:
    copies = make_near_copies(prices=DistancePrices(zone_mb=0.0, region_mb=0.0))
    assert copies.record(KEY, home_zone="a-2", carried_bytes=9_000_000) == 0.0


def test_a_request_for_a_copy_is_valid_for_a_second_after_it_was_last_sent(clock: Clock) -> None:
    requests = CopyRequests()
    requests.record([CopyRequest("m", "a", 120), CopyRequest("m", "b", 60)])
    clock.now += 0.7
    requests.record([CopyRequest("m", "b", 90)])
    assert requests.current() == {KEY: 1.2, OTHER: 0.9}
    clock.now += 0.7
    assert requests.current() == {OTHER: 0.9}
    requests.clear()
    assert requests.current() == {}
