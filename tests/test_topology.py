"""Zones, their regions and their distances."""

from __future__ import annotations

from springrock.topology import Distance, Topology

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}


def test_a_zone_is_the_own_one_in_the_own_region_or_in_another_one() -> None:
    topology = Topology(home="a-1", zones=tuple(REGIONS), regions=REGIONS)
    found = [topology.distance(zone) for zone in REGIONS]
    assert found == [Distance.OWN_ZONE, Distance.OWN_REGION, Distance.OTHER_REGION]


def test_without_regions_all_zones_are_in_one() -> None:
    assert Topology(home="z-1").distance("z-2") is Distance.OWN_REGION


def test_every_zone_is_known_if_none_are_listed() -> None:
    assert Topology(home="z-1").knows("z-2")
    assert not Topology(home="a-1", zones=tuple(REGIONS), regions=REGIONS).knows("z-2")
