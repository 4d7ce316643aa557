"""Prefetch of the adapters requested in an evacuated zone, divided among the remaining zones."""

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
from tests.factories import make_routing_state
from tests.placement.test_planner import make_engine, make_planner, want

LOG = Log("test", "box-1")
ZONES = ("zone-1", "zone-2", "zone-3")
ADAPTERS = tuple(f"a{number}" for number in range(12))


def is_nowhere(key: AdapterKey) -> bool:
    return False


def key(name: str) -> AdapterKey:
    return AdapterKey("m", name)


def asked_for(*names: str) -> list[AskedFor]:
    """Return adapters with descending request counts."""
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
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handover_module, "_HANDOVER_INTERVAL_S", 0.02)
    monkeypatch.setattr(handover_module, "_HANDOVER_TIMEOUT_S", 0.05)


# The handover message.


def test_a_handover_names_a_bounded_number_of_adapters_the_most_requested_first() -> None:
    popularity = Popularity()
    for number in range(600):
        popularity.record(key(f"n{number}"), 1 + number)
    popularity.record(key("rare"), 0)
    sent_to = handover_of(popularity)
    assert len(sent_to.adapters) == 400
    assert sent_to.adapters[0].key == key("n599")
    counts = [item.request_count for item in sent_to.adapters]
    assert counts == sorted(counts, reverse=True)
    assert decode(encode(sent_to)) == sent_to


# The prefetch of one zone.


def test_adapters_are_prefetched_in_the_order_of_their_request_counts() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", asked_for("a", "b", "c", "d"))
    now = monotonic()
    wants = prefetch.wants(is_nowhere, now)
    assert [want.key.adapter for want in wants] == ["a", "b", "c", "d"]
    assert not any(want.waiting or want.promised for want in wants)
    engines = [make_engine("i-1", slots=4)]
    planner = make_planner(popularity)
    planner.load_concurrency.limit = 2.0
    plan = planner.plan(wants, engines, used={}, now=now)
    assert [item.key.adapter for item in plan.assignments] == ["a", "b"]


def test_adapters_with_waiting_requests_come_before_prefetched_ones() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", asked_for("a"))
    now = monotonic()
    planner = make_planner(popularity)
    planner.load_concurrency.limit = 1.0
    wants = [*prefetch.wants(is_nowhere, now), want("waited", worth=3.0)]
    plan = planner.plan(wants, [make_engine("i-1")], used={}, now=now)
    assert [item.key.adapter for item in plan.assignments] == ["waited"]


def test_a_prefetch_evicts_only_adapters_that_are_requested_far_less() -> None:
    popularity = Popularity()
    for name, count in (("x", 4), ("y", 0)):
        popularity.record(key(name), count)
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", [AskedFor("m", "a", 5.0), AskedFor("m", "b", 1.0)])
    now = monotonic()
    engine = make_engine("i-1", "x", "y")
    plan = make_planner(popularity).plan(
        prefetch.wants(is_nowhere, now), [engine], used={}, now=now
    )
    assert [item.key.adapter for item in plan.assignments] == ["a"]


def test_adapters_already_in_the_zone_are_not_prefetched_again() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked_for("a", "b"))
    assert [want.key.adapter for want in prefetch.wants({key("a")}.__contains__, monotonic())] == [
        "b"
    ]
    prefetch.add("zone-1", asked_for("a", "b", "c"))
    assert [want.key.adapter for want in prefetch.wants(is_nowhere, monotonic())] == ["b", "c"]
    assert prefetch.wants({key("b"), key("c")}.__contains__, monotonic()) == []
    assert not prefetch.pending


def test_a_late_handover_orders_the_adapters_that_the_engines_held() -> None:
    popularity = Popularity()
    prefetch = make_wants(popularity)
    prefetch.add("zone-1", [AskedFor("m", name, 0.0) for name in ("a", "b", "c")])
    prefetch.add("zone-1", asked_for("c", "a"))
    wants = prefetch.wants(is_nowhere, monotonic())
    assert [want.key.adapter for want in wants] == ["c", "a", "b"]
    assert popularity.of(key("c")) > popularity.of(key("a")) > 0


def test_a_plan_gets_a_bounded_number_of_prefetches() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked_for(*(f"n{number}" for number in range(300))))
    wants = prefetch.wants(is_nowhere, monotonic())
    assert [want.key.adapter for want in wants] == [f"n{number}" for number in range(40)]
    here = {want.key for want in wants}
    wants = prefetch.wants(here.__contains__, monotonic())
    assert wants[0].key.adapter == "n40"


def test_a_prefetch_ends_when_the_evacuation_is_withdrawn_or_after_a_time() -> None:
    prefetch = make_wants(Popularity())
    prefetch.add("zone-1", asked_for("a"))
    prefetch.add("zone-3", asked_for("b"))
    prefetch.drop("zone-1")
    assert [want.key.adapter for want in prefetch.wants(is_nowhere, monotonic())] == ["b"]
    assert prefetch.wants(is_nowhere, monotonic() + 60) == []
    assert not prefetch.pending


# The division among zones.


class ScriptedZone:
    """A zone that this box may be the placer of."""

    def __init__(self, name: str, *, placing: bool) -> None:
        self.placing = placing
        self.demand = DemandBook(has_placer=lambda: True)
        self.prefetch = make_wants(Popularity(), zone=name)
        self.sent_to: list[Collection[str]] = []

    def send_handover(self, boxes: Collection[str]) -> None:
        self.sent_to.append(boxes)

    @property
    def prefetched(self) -> set[str]:
        return {want.key.adapter for want in self.prefetch.wants(is_nowhere, monotonic())}


class Box(NamedTuple):
    """One box with its zones, and the replicas and evacuations it knows."""

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
    # The division must not depend on the order of zones nor on their room.
    views = [ZoneView(name, 1, True, True, room) for room, name in enumerate(ZONES)]
    coordinator = HandoverCoordinator(
        zones=lambda: zones,
        views=lambda: list(reversed(views)),
        placers=lambda: {"box-1", "box-2"},
        residency=Residency(directory, Versions()),
        routing_state=lambda: make_routing_state(
            regions=regions, announced=tuple(announced), evacuated=tuple(evacuated)
        ),
        log=LOG,
    )
    return Box(zones, directory, coordinator, announced, evacuated)


def add_replica_with(directory: Directory, zone: str, *names: str) -> None:
    """Add a replica of a zone that holds adapters to the directory."""
    held = tuple(HeldAdapter("m", name, 1) for name in names)
    directory.update(
        ReplicaRecord(
            instance=f"i-{zone}", service="s", address="127.0.0.1:1", zone=zone, adapters=held
        )
    )


def test_the_remaining_zones_divide_the_adapters() -> None:
    boxes = {name: make_box(name) for name in ("zone-2", "zone-3")}
    prefetched = {}
    for name, box in boxes.items():
        box.announced.add("zone-1")
        box.coordinator.apply("zone-1", Handover(asked_for(*ADAPTERS)))
        prefetched[name] = box.zones[name].prefetched
        assert not any(other.prefetched for zone, other in box.zones.items() if zone != name)
    assert prefetched["zone-2"] | prefetched["zone-3"] == set(ADAPTERS)
    assert not prefetched["zone-2"] & prefetched["zone-3"]
    assert all(prefetched.values())


def test_adapters_held_in_a_remaining_zone_are_not_prefetched() -> None:
    box = make_box("zone-2", "zone-3")
    add_replica_with(box.directory, "zone-1", *ADAPTERS)
    add_replica_with(box.directory, "zone-3", "a0", "a1")
    box.coordinator.apply("zone-1", Handover(asked_for(*ADAPTERS)))
    assert box.zones["zone-2"].prefetched | box.zones["zone-3"].prefetched == set(ADAPTERS) - {
        "a0",
        "a1",
    }


def test_nothing_is_prefetched_into_another_evacuated_zone() -> None:
    box = make_box("zone-2", "zone-3")
    box.announced.update(("zone-1", "zone-2"))
    box.coordinator.apply("zone-1", Handover(asked_for(*ADAPTERS)))
    assert box.zones["zone-2"].prefetched == set()
    assert box.zones["zone-3"].prefetched == set(ADAPTERS)


def test_adapters_are_prefetched_within_their_region_if_it_has_a_remaining_zone() -> None:
    regions = {"zone-1": "a", "zone-2": "b", "zone-3": "a"}
    box = make_box("zone-2", "zone-3", regions=regions)
    box.coordinator.apply("zone-1", Handover(asked_for(*ADAPTERS)))
    assert box.zones["zone-3"].prefetched == set(ADAPTERS)
    box.announced.add("zone-3")
    box.coordinator.apply("zone-1", Handover(asked_for("more")))
    assert box.zones["zone-2"].prefetched == {"more"}, "no zone remains in the region"


@pytest.fixture
def placing_box(short_intervals: None) -> Iterator[Box]:
    box = make_box("zone-1")
    yield box
    box.announced.clear()


def wait_for(condition: object) -> None:
    with gevent.Timeout(10):
        while not condition():  # type: ignore[operator]
            gevent.sleep(0.005)


def test_the_placer_of_the_zone_sends_the_handover_until_the_cut(placing_box: Box) -> None:
    zone = placing_box.zones["zone-1"]
    placing_box.announced.add("zone-1")
    placing_box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: len(zone.sent_to) >= 3)
    assert zone.sent_to[0] == {"box-1", "box-2"}
    placing_box.evacuated.add("zone-1")
    gevent.sleep(0.05)
    sent_to = len(zone.sent_to)
    gevent.sleep(0.1)
    assert len(zone.sent_to) == sent_to


def test_a_zone_already_cut_when_its_placer_learns_of_it_is_handed_over_too(
    placing_box: Box,
) -> None:
    placing_box.announced.add("zone-1")
    placing_box.evacuated.add("zone-1")
    placing_box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: placing_box.zones["zone-1"].sent_to)


def test_without_a_handover_the_adapters_that_the_engines_held_are_prefetched(
    short_intervals: None,
) -> None:
    box = make_box("zone-2", "zone-3")
    add_replica_with(box.directory, "zone-1", "a0", "a1")
    box.announced.add("zone-1")
    box.coordinator.handle_change("zone-1", True)
    wait_for(lambda: box.zones["zone-2"].prefetch.pending or box.zones["zone-3"].prefetch.pending)
    assert box.zones["zone-2"].prefetched | box.zones["zone-3"].prefetched == {"a0", "a1"}
    box.announced.clear()
    box.coordinator.handle_change("zone-1", False)
    assert not box.zones["zone-2"].prefetch.pending and not box.zones["zone-3"].prefetch.pending


def test_a_handover_before_this_box_knows_of_the_evacuation_is_applied(
    short_intervals: None,
) -> None:
    box = make_box("zone-2", "zone-3")
    add_replica_with(box.directory, "zone-1", "held", "asked")
    box.coordinator.apply("zone-1", Handover(asked_for("asked")))
    box.announced.add("zone-1")
    box.coordinator.handle_change("zone-1", True)
    gevent.sleep(0.15)
    assert box.zones["zone-2"].prefetched | box.zones["zone-3"].prefetched == {"asked"}
