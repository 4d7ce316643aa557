"""What was asked for in an evacuated zone is divided among those that remain, and brought."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import handover as handover_module
from springrock.placement.demand import DemandBook
from springrock.placement.handover import HandoverCoordinator, PrefetchWants, handover_of
from springrock.placement.handover_messages import AskedFor, Handover
from springrock.placement.messages import decode, encode
from springrock.placement.popularity import Popularity
from springrock.placement.residency import Residency, Versions
from springrock.placement.zone_choice import ZoneView
from tests.placement.test_planner import make_engine, make_planner, want
from tests.worlds import make_world

LOG = Log("test", "box-1")
ZONES = ("zone-1", "zone-2", "zone-3")
ADAPTERS = tuple(f"a{number}" for number in range(12))


def nothing_is_here(key: AdapterKey) -> bool:
    return False


def key(name: str) -> AdapterKey:
    return AdapterKey("m", name)


def asked(*names: str) -> list[AskedFor]:
    """Return adapters as asked for, the first the most."""
    return [AskedFor("m", name, float(len(names) - at)) for at, name in enumerate(names)]


def make_wants(popularity: Popularity, *, zone: str = "zone-2") -> PrefetchWants:
    return PrefetchWants(
        zone,
        popularity=popularity,
        log=LOG,
        metrics=ForwardingMetrics(),
        on_update=lambda: None,
    )


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handover_module, "_HANDOVER_INTERVAL_S", 0.02)
    monkeypatch.setattr(handover_module, "_HANDOVER_TIMEOUT_S", 0.05)


# What is told.


def test_a_placer_tells_what_was_asked_for_the_most_first_and_a_bounded_number() -> None:
    popularity = Popularity()
    for number in range(600):
        popularity.record(key(f"n{number}"), 1 + number)
    popularity.record(key("rare"), 0)
    reported = handover_of(popularity)
    assert len(reported.adapters) == 400
    assert reported.adapters[0].key == key("n599")
    counts = [item.request_count for item in reported.adapters]
    assert counts == sorted(counts, reverse=True)
    assert decode(encode(reported)) == reported


# What one zone brings.


def test_adapters_are_brought_in_the_order_in_which_they_were_asked_for() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", asked("a", "b", "c", "d"))
    now = monotonic()
    wants = prefetch.wants(nothing_is_here, now)
    assert [want.key.adapter for want in wants] == ["a", "b", "c", "d"]
    assert not any(want.waiting or want.promised for want in wants)
    engines = [make_engine("i-1", slots=4)]
    planner = make_planner(popularity)
    planner.loads.at_once = 2.0
    plan = planner.plan(wants, engines, used={}, now=now)
    assert [item.key.adapter for item in plan.assignments] == ["a", "b"]


def test_what_somebody_waits_for_goes_first() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", asked("a"))
    now = monotonic()
    planner = make_planner(popularity)
    planner.loads.at_once = 1.0
    wants = [*prefetch.wants(nothing_is_here, now), want("waited", worth=3.0)]
    plan = planner.plan(wants, [make_engine("i-1")], used={}, now=now)
    assert [item.key.adapter for item in plan.assignments] == ["waited"]


def test_only_what_is_asked_for_far_less_gives_way() -> None:
    popularity = Popularity()
    for name, count in (("x", 4), ("y", 0)):
        popularity.record(key(name), count)
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", [AskedFor("m", "a", 5.0), AskedFor("m", "b", 1.0)])
    now = monotonic()
    engine = make_engine("i-1", "x", "y")
    plan = make_planner(popularity).plan(
        prefetch.wants(nothing_is_here, now), [engine], used={}, now=now
    )
    assert [item.key.adapter for item in plan.assignments] == ["a"]


def test_what_stands_is_done_and_what_is_told_again_is_not_brought_again() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked("a", "b"))
    assert [want.key.adapter for want in prefetch.wants({key("a")}.__contains__, monotonic())] == [
        "b"
    ]
    prefetch.add("zone-1", asked("a", "b", "c"))
    assert [want.key.adapter for want in prefetch.wants(nothing_is_here, monotonic())] == ["b", "c"]
    assert prefetch.wants({key("b"), key("c")}.__contains__, monotonic()) == []
    assert not prefetch.pending


def test_a_placer_that_tells_late_puts_in_order_what_its_engines_held() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", [AskedFor("m", name, 0.0) for name in ("a", "b", "c")])
    prefetch.add("zone-1", asked("c", "a"))
    wants = prefetch.wants(nothing_is_here, monotonic())
    assert [want.key.adapter for want in wants] == ["c", "a", "b"]
    assert popularity.of(key("c")) > popularity.of(key("a")) > 0


def test_a_plan_is_given_no_more_than_can_be_under_way() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked(*(f"n{number}" for number in range(300))))
    wants = prefetch.wants(nothing_is_here, monotonic())
    assert [want.key.adapter for want in wants] == [f"n{number}" for number in range(40)]
    here = {want.key for want in wants}
    wants = prefetch.wants(here.__contains__, monotonic())
    assert wants[0].key.adapter == "n40"


def test_nothing_is_brought_for_a_zone_that_was_taken_back_or_told_long_ago() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked("a"))
    prefetch.add("zone-3", asked("b"))
    prefetch.drop("zone-1")
    assert [want.key.adapter for want in prefetch.wants(nothing_is_here, monotonic())] == ["b"]
    assert prefetch.wants(nothing_is_here, monotonic() + 60) == []
    assert not prefetch.pending


# How it is divided among zones.


class ScriptedZone:
    """A zone that this box places or not."""

    def __init__(self, name: str, *, placing: bool) -> None:
        self.placing = placing
        self.demand = DemandBook(has_placer=lambda: True)
        self.prefetch = make_wants(Popularity(), zone=name)
        self.reported: list[Collection[str]] = []

    def send_handover(self, boxes: Collection[str]) -> None:
        self.reported.append(boxes)

    @property
    def brings(self) -> set[str]:
        return {want.key.adapter for want in self.prefetch.wants(nothing_is_here, monotonic())}


class Box(NamedTuple):
    """One box with its zones and what it knows."""

    zones: dict[str, ScriptedZone]
    directory: Directory
    coordinator: HandoverCoordinator
    announced: set[str]
    evacuated: set[str]


def make_box(*placed: str, regions: dict[str, str] | None = None) -> Box:
    zones = {name: ScriptedZone(name, placing=name in placed) for name in ZONES}
    directory = Directory(LOG)
    announced: set[str] = set()
    evacuated: set[str] = set()
    # Told of the engines in any order, with any room.
    views = [ZoneView(name, 1, True, True, room) for room, name in enumerate(ZONES)]
    coordinator = HandoverCoordinator(
        zones=lambda: zones,
        views=lambda: list(reversed(views)),
        placers=lambda: {"box-1", "box-2"},
        residency=Residency(directory, Versions()),
        world=lambda: make_world(
            regions=regions, announced=tuple(announced), evacuated=tuple(evacuated)
        ),
        log=LOG,
    )
    return Box(zones, directory, coordinator, announced, evacuated)


def has_linked_box(directory: Directory, zone: str, *names: str) -> None:
    """Let the engine of a zone say what it holds."""
    held = tuple(HeldAdapter("m", name, 1) for name in names)
    directory.update(
        ReplicaRecord(
            instance=f"i-{zone}", service="s", address="127.0.0.1:1", zone=zone, adapters=held
        )
    )


def test_the_zones_that_remain_divide_what_was_asked_for() -> None:
    boxes = {name: make_box(name) for name in ("zone-2", "zone-3")}
    brings = {}
    for name, box in boxes.items():
        box.announced.add("zone-1")
        box.coordinator.apply("zone-1", Handover(asked(*ADAPTERS)))
        brings[name] = box.zones[name].brings
        assert not any(other.brings for zone, other in box.zones.items() if zone != name)
    assert brings["zone-2"] | brings["zone-3"] == set(ADAPTERS)
    assert not brings["zone-2"] & brings["zone-3"]
    assert all(brings.values())


def test_what_stands_in_a_zone_that_remains_is_not_brought() -> None:
    box = make_box("zone-2", "zone-3")
    has_linked_box(box.directory, "zone-1", *ADAPTERS)
    has_linked_box(box.directory, "zone-3", "a0", "a1")
    box.coordinator.apply("zone-1", Handover(asked(*ADAPTERS)))
    assert box.zones["zone-2"].brings | box.zones["zone-3"].brings == set(ADAPTERS) - {"a0", "a1"}


def test_nothing_is_brought_to_another_zone_that_is_evacuated() -> None:
    box = make_box("zone-2", "zone-3")
    box.announced.update(("zone-1", "zone-2"))
    box.coordinator.apply("zone-1", Handover(asked(*ADAPTERS)))
    assert box.zones["zone-2"].brings == set()
    assert box.zones["zone-3"].brings == set(ADAPTERS)


def test_what_was_asked_for_stays_in_its_region() -> None:
    regions = {"zone-1": "a", "zone-2": "b", "zone-3": "a"}
    box = make_box("zone-2", "zone-3", regions=regions)
    box.coordinator.apply("zone-1", Handover(asked(*ADAPTERS)))
    assert box.zones["zone-3"].brings == set(ADAPTERS)
    box.announced.add("zone-3")
    box.coordinator.apply("zone-1", Handover(asked("more")))
    assert box.zones["zone-2"].brings == {"more"}, "none remains in the region"


@pytest.fixture
def placing_box(quick: None) -> Iterator[Box]:
    box = make_box("zone-1")
    yield box
    box.announced.clear()


def wait_for(condition: object) -> None:
    with gevent.Timeout(10):
        while not condition():  # type: ignore[operator]
            gevent.sleep(0.005)


def test_the_placer_of_the_zone_tells_until_the_cut(placing_box: Box) -> None:
    zone = placing_box.zones["zone-1"]
    placing_box.announced.add("zone-1")
    placing_box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: len(zone.reported) >= 3)
    assert zone.reported[0] == {"box-1", "box-2"}
    placing_box.evacuated.add("zone-1")
    gevent.sleep(0.05)
    reported = len(zone.reported)
    gevent.sleep(0.1)
    assert len(zone.reported) == reported


def test_a_zone_that_is_cut_when_its_placer_learns_of_it_is_told_all_the_same(
    placing_box: Box,
) -> None:
    placing_box.announced.add("zone-1")
    placing_box.evacuated.add("zone-1")
    placing_box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: placing_box.zones["zone-1"].reported)


def test_where_no_placer_tells_what_the_engines_held_is_brought(quick: None) -> None:
    box = make_box("zone-2", "zone-3")
    has_linked_box(box.directory, "zone-1", "a0", "a1")
    box.announced.add("zone-1")
    box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: box.zones["zone-2"].prefetch.pending or box.zones["zone-3"].prefetch.pending)
    assert box.zones["zone-2"].brings | box.zones["zone-3"].brings == {"a0", "a1"}
    box.announced.clear()
    box.coordinator.handle_change("zone-1", False)
    assert not box.zones["zone-2"].prefetch.pending and not box.zones["zone-3"].prefetch.pending


def test_a_placer_that_tells_before_this_box_knows_of_the_evacuation_is_heard(
    quick: None,
) -> None:
    box = make_box("zone-2", "zone-3")
    has_linked_box(box.directory, "zone-1", "held", "asked")
    box.coordinator.apply("zone-1", Handover(asked("asked")))
    box.announced.add("zone-1")
    box.coordinator.handle_change("zone-1", True)
    gevent.sleep(0.15)
    assert box.zones["zone-2"].brings | box.zones["zone-3"].brings == {"asked"}
