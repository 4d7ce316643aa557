"""Tests of the box that holds a zone's lease: one of the zone, and preferably a strong one."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory
from springrock.log import Log
from springrock.placement import election as election_module
from springrock.placement.zone import ZonePlacement
from tests.placement.test_zone import make_zone


def zone_of(*, home: str, strength: float) -> ZonePlacement:
    """Return the placement of zone-2 on a box with a home zone and a strength."""
    zone = make_zone(Directory(Log("directory", "box-1")))
    election = zone._election
    election._settings = election._settings._replace(zone=home, strength=strength)
    return zone


def link(
    zone: ZonePlacement,
    *,
    home: str,
    strength: float,
    since_s: float = 60.0,
    cut_off: bool = False,
) -> None:
    zone.links._links[f"{home}-{strength}"] = SimpleNamespace(  # type: ignore[assignment]
        home_zone=home,
        strength=strength,
        stopping=False,
        cut_off=cut_off,
        since=monotonic() - since_s,
    )


@pytest.mark.parametrize(
    ("home", "own", "other_home", "other", "hands_back"),
    [
        ("zone-1", 2.0, "zone-2", 0.5, True),
        ("zone-1", 0.5, "zone-1", 2.0, False),
        ("zone-2", 0.5, "zone-2", 2.0, True),
        ("zone-2", 0.5, "zone-2", 0.6, False),
        ("zone-2", 0.5, "zone-1", 2.0, False),
        ("zone-2", 1.0, "zone-2", 2.0, False),
    ],
)
def test_the_lease_is_handed_to_a_better_box(
    home: str, own: float, other_home: str, other: float, hands_back: bool
) -> None:
    zone = zone_of(home=home, strength=own)
    assert not zone._election.has_better_box()
    link(zone, home=other_home, strength=other)
    assert zone._election.has_better_box() is hands_back


@pytest.mark.parametrize("home", ["zone-1", "zone-2"])
def test_a_placer_that_reaches_no_replica_leaves_the_lease_to_any_box_that_does(home: str) -> None:
    zone = zone_of(home="zone-2", strength=2.0)
    zone._election._cut_off = lambda: True
    assert not zone._election.has_better_box()
    link(zone, home="zone-2", strength=4.0, cut_off=True)
    assert not zone._election.has_better_box()
    link(zone, home=home, strength=0.5, since_s=0.0)
    assert zone._election.has_better_box()


def test_a_box_that_reaches_no_replica_is_no_better_placer_and_waits_for_others() -> None:
    zone = zone_of(home="zone-1", strength=0.5)
    link(zone, home="zone-2", strength=2.0, cut_off=True)
    assert not zone._election.has_better_box()
    delay_s = zone._election.takeover_delay_s()
    zone._election._cut_off = lambda: True
    assert zone._election.takeover_delay_s() == delay_s + 3.0


def test_the_lease_is_not_handed_to_a_box_that_has_just_linked() -> None:
    zone = zone_of(home="zone-2", strength=0.5)
    link(zone, home="zone-2", strength=2.0, since_s=0.5)
    assert not zone._election.has_better_box()


def test_weak_boxes_and_boxes_of_other_zones_wait_longer_for_a_free_lease() -> None:
    waits = [
        zone_of(home=home, strength=strength)._election.takeover_delay_s()
        for home, strength in (("zone-2", 2.0), ("zone-2", 0.5), ("zone-1", 2.0), ("zone-1", 0.5))
    ]
    assert waits == sorted(waits)
    assert waits[0] == 0.0
    assert len(set(waits)) == 4


def test_a_box_of_half_a_core_waits_for_strong_ones_that_start_with_it() -> None:
    weak = zone_of(home="zone-2", strength=0.5)
    starts_apart_s = 0.3
    assert weak._election.takeover_delay_s() > starts_apart_s + election_module._FIRST_POLL_SPREAD_S
