"""Which zone's placer a request is sent to, if placers do not answer or engines are crowded."""

from __future__ import annotations

from collections.abc import Collection

import gevent
import msgspec
import pytest

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, WaitTerms
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service
from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.eligibility import Bounds
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.software_history import SoftwareHistory
from springrock.forwarding.stream_origins import OriginBook
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.terms import SlowStartTerms
from springrock.placement import placement as placement_module
from springrock.placement.errors import PlacerSilent
from springrock.placement.messages import KnownState, TableNews
from springrock.placement.placement import Placement
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import PlacerRow, key_of
from springrock.placement.residency import Versions
from springrock.placement.settings import PlacementSettings
from springrock.placement.wait_estimate import WaitEstimate
from springrock.placement.zone_dependencies import ZoneDependencies
from springrock.quotas.shares import QuotaTerms
from springrock.rows import Row, TableReading
from springrock.store_clock import StoreClock
from tests.factories import make_brittle, make_limits, make_routing_state, make_warmup
from tests.placement.test_lease import Store
from tests.placement.test_placer import SlowEngine

KEY = AdapterKey("m", "a")
ADAPTER_REQUEST = AdapterRequest(
    "r-1", KEY, WaitTerms(worth=1.0, target_at=0.0, until=0.0, retry_within_s=0.0)
)
ZONES = ("zone-1", "zone-2", "zone-3")


class ScriptedZone:
    """A zone whose placer answers, is silent or is unreachable; also acts as its demand book."""

    def __init__(self, name: str, settings: PlacementSettings, around: ZoneDependencies) -> None:
        self.name = name
        self.demand = self
        self.reachable = True
        self.silent = False
        self.room = 1
        self.spread: frozenset[str] = frozenset()
        self.wait_estimate = WaitEstimate()
        self.requested_copies: list[tuple[AdapterKey, int]] = []
        self.asks = 0
        self.notifies_home_zone = False
        self.reported: list[tuple[TableNews, set[str]]] = []
        self.around = around

    def start(self) -> None:
        """Does nothing: there are no tasks."""

    def publish_table(self, updates: TableNews, *, also: Collection[str] = ()) -> None:
        self.reported.append((updates, set(also)))

    def request_copy(self, key: AdapterKey, saves: int) -> None:
        self.requested_copies.append((key, saves))

    def find(self, adapter_request: AdapterRequest) -> str:
        self.asks += 1
        if self.silent:
            raise PlacerSilent("scripted")
        return self.name


class Deployment:
    """A placement among three scripted zones with one engine each."""

    def __init__(self) -> None:
        self.evacuated: tuple[str, ...] = ()
        self.announced: tuple[str, ...] = ()
        engine = Engine(
            running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
        )
        configuration = Configuration(version=1, services={"s": Service(name="s", engine=engine)})
        self.directory = Directory(Log("test", "box-1"))
        self.board = PlacerBoard(age_s=lambda: 0.0)
        self.placement = Placement(
            PlacementSettings("box-1", "zone-1", "127.0.0.1:0", 3.0, True, 1.0, 2.0),
            store=Store(),
            board=self.board,
            configuration=lambda: configuration,
            directory=self.directory,
            versions=Versions(),
            routing_state=lambda: make_routing_state(
                evacuated=self.evacuated, announced=self.announced
            ),
            control=SlowEngine("m"),
            quota_terms=lambda: QuotaTerms(8.0, 0.1, 0.0, 1),
            slow_start_terms=lambda: SlowStartTerms(1.0, 0.0),
            warmup=make_warmup(lambda: configuration),
            limits=make_limits(),
            brittle=make_brittle(self.directory),
            state_for=lambda hello: KnownState([]),
            cut_off=lambda: False,
            log_of=lambda part: Log(part, "box-1"),
            metrics=ForwardingMetrics(),
            origins=OriginBook(),
            software_history=SoftwareHistory(age_s=lambda: 0.0),
            clock=StoreClock(),
        )
        for zone in ZONES:
            self.record(zone)
            self.placement._zone(zone)

    def record(self, zone: str, *adapters: str) -> None:
        """Set the adapters that the engine of a zone reports."""
        held = tuple(HeldAdapter("m", adapter, 1) for adapter in adapters)
        self.directory.update(
            ReplicaRecord(
                instance=f"i-{zone}",
                service="s",
                address="127.0.0.1:1",
                zone=zone,
                models=frozenset({"m"}),
                adapters=held,
            )
        )

    @property
    def zones(self) -> dict[str, ScriptedZone]:
        return self.placement._zones  # type: ignore[return-value]

    def find(self, **changes: object) -> str | None:
        """Return the zone whose placer granted the request; None if none did."""
        return self.placement.find(ADAPTER_REQUEST._replace(**changes))  # type: ignore[arg-type, return-value]


@pytest.fixture
def deployment(monkeypatch: pytest.MonkeyPatch) -> Deployment:
    monkeypatch.setattr(placement_module, "ZonePlacement", ScriptedZone)
    return Deployment()


def test_an_adapter_that_no_engine_holds_is_always_requested_in_the_own_zone(
    deployment: Deployment,
) -> None:
    assert [deployment.find() for _ in range(4)] == ["zone-1"] * 4


def test_an_adapter_that_would_evict_one_in_higher_demand_is_requested_in_one_other_zone(
    deployment: Deployment,
) -> None:
    deployment.zones["zone-1"].wait_estimate = WaitEstimate(pressure=3.0)
    first = deployment.find()
    assert first in ("zone-2", "zone-3")
    assert [deployment.find() for _ in range(3)] == [first] * 3


def test_a_spread_adapter_is_requested_of_its_holder_if_the_own_zone_may_not_serve_it(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    regions = {"zone-1": "a", "zone-2": "b", "zone-3": "b"}
    routing_state = make_routing_state("zone-1", regions=regions)
    monkeypatch.setattr(deployment.placement, "_routing_state", lambda: routing_state)
    bounds = Bounds(frozenset("b"))
    for holder in ("zone-2", "zone-3"):
        for zone in ZONES[1:]:
            deployment.record(zone, *([KEY.adapter] if zone == holder else []))
        deployment.zones[holder].spread = frozenset({str(KEY)})
        assert deployment.find(bounds=bounds) == holder
    assert deployment.find(bounds=Bounds(frozenset("c"))) is None


@pytest.mark.parametrize(
    ("holder", "requesting_zones"),
    [("zone-1", set()), ("zone-2", {"zone-1"}), ("zone-3", {"zone-1"})],
)
def test_a_worthwhile_copy_is_requested_in_the_own_zone(
    deployment: Deployment, holder: str, requesting_zones: set[str]
) -> None:
    deployment.zones[holder].around.on_copy_worthwhile(holder, KEY, 130)
    assert {
        name for name, zone in deployment.zones.items() if zone.requested_copies
    } == requesting_zones


def test_all_boxes_of_a_region_request_a_copy_in_the_same_zone(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    regions = {"zone-1": "a", "zone-2": "a", "zone-3": "b"}
    keys = [AdapterKey("m", f"a{number}") for number in range(8)]
    requested_copies = []
    for home in ("zone-1", "zone-2"):
        routing_state = make_routing_state(home, regions=regions)
        monkeypatch.setattr(
            deployment.placement,
            "_routing_state",
            lambda routing_state=routing_state: routing_state,
        )
        for key in keys:
            deployment.zones["zone-3"].around.on_copy_worthwhile("zone-3", key, 130)
        requested_copies.append(
            {name: list(deployment.zones[name].requested_copies) for name in ZONES}
        )
        for zone in deployment.zones.values():
            zone.requested_copies.clear()
    assert requested_copies[0] == requested_copies[1]
    assert requested_copies[0]["zone-3"] == []
    assert requested_copies[0]["zone-1"] and requested_copies[0]["zone-2"], (
        "the adapters are divided among the region's zones"
    )


def test_a_failed_request_goes_to_the_zone_that_may_run_it_again(
    deployment: Deployment,
) -> None:
    first = deployment.find()
    holder = next(zone for zone in ZONES if zone != first)
    deployment.record(holder, KEY.adapter)
    tried = frozenset({f"i-{holder}"})
    assert deployment.find(avoid=tried, failed_at=tried) == holder
    assert deployment.find(avoid=tried) != holder, (
        "the engine did not hold the adapter, or was not reached"
    )


def test_a_request_to_a_silent_placer_is_retried_in_the_next_zone(deployment: Deployment) -> None:
    first = deployment.find()
    assert first is not None
    deployment.zones[first].silent = True
    assert deployment.find() not in (None, first)
    assert deployment.zones[first].asks == 2


def test_each_zone_with_a_silent_placer_is_asked_once(deployment: Deployment) -> None:
    for zone in deployment.zones.values():
        zone.silent = True
    deployment.record("zone-1", KEY.adapter)
    assert deployment.find() is None
    assert [zone.asks for zone in deployment.zones.values()] == [1, 1, 1]


def test_no_zone_is_asked_without_a_reachable_placer(deployment: Deployment) -> None:
    for zone in deployment.zones.values():
        zone.reachable = False
    assert deployment.find() is None
    assert sum(zone.asks for zone in deployment.zones.values()) == 0


def test_the_own_zone_is_asked_if_it_holds_the_adapter_else_one_that_does(
    deployment: Deployment,
) -> None:
    first = deployment.find()
    others = [zone for zone in ZONES if zone not in ("zone-1", first)]
    deployment.record(others[0], KEY.adapter)
    assert deployment.find() == others[0]
    deployment.record("zone-1", KEY.adapter)
    assert deployment.find() == "zone-1"


def test_a_zone_whose_holders_were_all_tried_is_avoided(deployment: Deployment) -> None:
    first = deployment.find()
    assert first is not None
    deployment.record(first, KEY.adapter)
    assert deployment.find() == first
    assert deployment.find(avoid=frozenset({f"i-{first}"})) not in (None, first)


def test_a_spread_adapter_is_requested_in_the_own_zone(deployment: Deployment) -> None:
    first = deployment.find()
    away = next(zone for zone in ZONES if zone not in ("zone-1", first))
    deployment.record(away, KEY.adapter)
    deployment.zones[away].spread = frozenset({str(KEY)})
    assert deployment.find() == "zone-1"


READING = TableReading("op", 3, 4, [Row("config", b"{}", 4)])


def record_lease(deployment: Deployment, zone: str, box: str) -> None:
    """Record on the board that a box is the placer of a zone."""
    row = PlacerRow(box=box, incarnation="1", address="127.0.0.1:1", fence=1)
    deployment.board.change(Row(key_of(zone), msgspec.json.encode(row), 1))


def test_a_placer_s_reading_is_sent_to_its_zone_and_to_the_other_placers(
    deployment: Deployment,
) -> None:
    record_lease(deployment, "zone-2", "box-2")
    record_lease(deployment, "zone-3", "box-3")
    deployment.placement.publish_reading(READING, is_own=True)
    deployment.placement.publish_reading(READING, is_own=False)
    (own, to_placers), (passed_on, to_none) = deployment.zones["zone-1"].reported
    assert own == passed_on
    assert to_placers == {"box-2", "box-3"}
    assert to_none == set()


@pytest.mark.parametrize(
    ("home", "teller", "places", "relies"),
    [
        ("zone-2", "zone-2", False, True),
        ("zone-2", "zone-1", False, False),
        ("zone-2", "zone-1", True, True),
        ("zone-2", "zone-3", True, False),
    ],
)
def test_a_box_relies_on_its_own_placer_and_a_placer_on_that_of_an_earlier_zone(
    deployment: Deployment, home: str, teller: str, places: bool, relies: bool
) -> None:
    placement = deployment.placement
    placement._settings = placement._settings._replace(zone=home)
    deployment.zones[home].notifies_home_zone = places
    readings: list[tuple[TableReading, bool]] = []
    placement.on_reading = lambda reading, relied_on, teller: readings.append((reading, relied_on))
    deployment.placement.publish_reading(READING, is_own=True)
    ((updates, _),) = deployment.zones[home].reported
    deployment.zones[teller].around.on_table_news(teller, updates)
    assert readings == [(READING, relies)]


def test_only_the_loss_of_the_own_zone_s_placer_ends_its_readings(deployment: Deployment) -> None:
    alone: list[str] = []
    deployment.placement.on_reader_lost = lambda: alone.append("alone")
    for zone in ("zone-3", "zone-2"):
        deployment.zones[zone].around.on_placer_lost(zone)
    assert alone == []
    deployment.zones["zone-1"].around.on_placer_lost("zone-1")
    assert alone == ["alone"]


def test_an_adapter_that_an_engine_has_evicted_is_requested_in_its_zone(
    deployment: Deployment,
) -> None:
    first = deployment.find()
    other = next(zone for zone in ZONES if zone != first)
    deployment.record(other, KEY.adapter)
    assert deployment.find() == other
    deployment.record(other)
    assert deployment.find() == other


def test_a_request_waits_for_a_placer_that_is_likely_to_be_linked_soon(
    deployment: Deployment,
) -> None:
    for zone in deployment.zones.values():
        zone.reachable = False
    waiter = gevent.spawn(deployment.placement.await_placer, until=monotonic() + 60.0)
    gevent.sleep(0.05)
    assert not waiter.ready()
    deployment.zones["zone-2"].reachable = True
    deployment.zones["zone-2"].around.on_placer_contact()
    assert waiter.get(timeout=10)
    assert not deployment.placement.await_placer(until=monotonic() + 60.0), (
        "it is reachable already"
    )


def test_a_link_whose_loss_is_being_handled_does_not_count_as_reachable(
    deployment: Deployment,
) -> None:
    """Otherwise the request would retry without a pause, and the loss would never be handled."""
    deployment.zones["zone-1"].around.on_placer_contact()
    for zone in deployment.zones.values():
        zone.reachable = False
    assert not deployment.placement.await_placer(until=monotonic() + 0.05)


def test_a_request_does_not_wait_if_no_placer_was_linked_for_long(
    deployment: Deployment,
) -> None:
    for zone in deployment.zones.values():
        zone.reachable = False
    deployment.placement._unreachable_since = monotonic() - 60.0
    with gevent.Timeout(0.5):
        assert not deployment.placement.await_placer(until=monotonic() + 60.0)
    deployment.zones["zone-1"].around.on_placer_lost("zone-1")
    with gevent.Timeout(0.5):
        assert not deployment.placement.await_placer(until=monotonic() + 0.05)


def test_no_loads_are_requested_in_a_zone_whose_evacuation_is_announced(
    deployment: Deployment,
) -> None:
    first = deployment.find()
    assert first is not None
    deployment.announced = (first,)
    second = deployment.find()
    assert second not in (None, first)
    deployment.record(first, KEY.adapter)
    assert deployment.find() == first, "its adapters are still served"
    deployment.evacuated = (first,)
    assert deployment.find() == second


def test_a_spread_adapter_is_requested_elsewhere_while_the_own_zone_is_evacuated(
    deployment: Deployment,
) -> None:
    first = deployment.find()
    away = next(zone for zone in ZONES if zone not in ("zone-1", first))
    deployment.record(away, KEY.adapter)
    deployment.zones[away].spread = frozenset({str(KEY)})
    deployment.announced = ("zone-1",)
    assert deployment.find() == away


def test_no_placer_is_asked_if_all_zones_are_evacuated(deployment: Deployment) -> None:
    deployment.evacuated = ZONES
    assert deployment.find() is None
    assert sum(zone.asks for zone in deployment.zones.values()) == 0


@pytest.mark.parametrize(("software", "joined"), [("v1", True), ("", False)])
def test_without_engines_zones_have_placers_that_keep_origins_if_replicas_name_versions(
    deployment: Deployment, software: str, joined: bool
) -> None:
    record = ReplicaRecord(
        instance="i-4", service="plain", address="127.0.0.1:1", zone="zone-4", software=software
    )
    deployment.directory.update(record)
    deployment.placement._placer_links()
    assert "zone-4" not in deployment.zones, "the placers of the other zones keep them"
    deployment.zones.clear()
    deployment.placement._placer_links()
    assert ("zone-4" in deployment.zones) == joined
