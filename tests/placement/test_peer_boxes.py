"""The boxes that a box without a path to replicas may pass requests on to."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springrock.placement import peer_boxes as peer_boxes_module
from springrock.placement.peer_boxes import PeerBoxes
from springrock.topology import Distance

OWN = "own:1"


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(peer_boxes_module, "monotonic", lambda: clock.now)
    yield clock


def make_peers() -> PeerBoxes:
    distances = {"zone-1": Distance.OWN_ZONE}
    return PeerBoxes(OWN, distance=lambda zone: distances.get(zone, Distance.OWN_REGION))


def test_boxes_of_the_nearest_zone_are_picked_and_never_the_own_one(clock: Clock) -> None:
    peers = make_peers()
    assert not peers.any_usable
    peers.record("zone-2", ["far:1"])
    assert peers.pick() == "far:1"
    peers.record("zone-1", [OWN])
    assert peers.pick() == "far:1"
    peers.record("zone-1", [OWN, "near:1"])
    assert {peers.pick() for _ in range(20)} == {"near:1"}


def test_a_box_that_failed_is_left_out_for_a_time(clock: Clock) -> None:
    peers = make_peers()
    peers.record("zone-1", ["near:1"])
    peers.record_failed("near:1")
    assert not peers.any_usable
    clock.now += 2.5
    assert peers.pick() == "near:1"


def test_what_no_placer_has_confirmed_lately_does_not_count(clock: Clock) -> None:
    peers = make_peers()
    peers.record("zone-1", ["near:1"])
    clock.now += 3.5
    assert not peers.any_usable


def test_a_heartbeat_of_an_earlier_build_names_none(clock: Clock) -> None:
    peers = make_peers()
    peers.record("zone-1", ())
    assert not peers.any_usable
