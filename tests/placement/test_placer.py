"""Tests of the placer: its messages to the boxes and its orders to the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service
from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.eligibility import RoutingState
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import engine_reconciler as reconciler_module
from springrock.placement import placer as placer_module
from springrock.placement.control import (
    ControlUnanswered,
    EngineControl,
    EngineState,
    Order,
    OrderAnswer,
)
from springrock.placement.handover_messages import AskedFor
from springrock.placement.lease import PlacerLease
from springrock.placement.messages import (
    Ask,
    CopyRequest,
    Demand,
    Ended,
    ExpectedRetry,
    Forecast,
    Grant,
    Message,
    Outcome,
    decode,
    encode,
)
from springrock.placement.placer import Placer
from springrock.placement.residency import Versions
from tests.factories import make_routing_state
from tests.placement.test_lease import ReadRows, Store

LOG = Log("test", "box")


SentMessage = tuple[str, Message]
"""A box and a message that was sent to it."""


class SlowEngine:
    """Accepts every order and never finishes a load."""

    def __init__(self, *models: str, adapters: tuple[str, ...] = ()) -> None:
        self._models = frozenset(models)
        self.adapters = adapters
        self.reports = 0

    def report(self, address: str, *, instance: str) -> EngineState:
        self.reports += 1
        held = tuple(HeldAdapter("m", name, 1) for name in self.adapters)
        return EngineState(sequence=0, models=self._models, adapters=held)

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        return OrderAnswer.ACCEPTED


@pytest.fixture
def sent_messages(monkeypatch: pytest.MonkeyPatch) -> list[SentMessage]:
    began_at = monotonic()
    for module in (placer_module, reconciler_module):
        monkeypatch.setattr(module, "monotonic", lambda: began_at)
    return []


@pytest.fixture
def placer(sent_messages: list[SentMessage]) -> Iterator[Placer]:
    placer = make_placer(SlowEngine("m"), sent_messages)
    placer.start()
    yield placer
    placer.stop()


@pytest.fixture
def placer_with_x(sent_messages: list[SentMessage]) -> Iterator[Placer]:
    """A placer whose engine has reported that it holds the adapter x."""
    placer = start_holding(SlowEngine("m", adapters=("x",)), sent_messages)
    yield placer
    placer.stop()


class ScriptedPermits:
    """Permits of a fixed number."""

    def __init__(self, left: int = 0) -> None:
        self.left = left

    def room_in_s(self, record: ReplicaRecord, *, cold: bool) -> float:
        return 0.0 if self.left > 0 else 1.0

    def grant(
        self, box: str, number: int, request: str, record: ReplicaRecord, *, cold: bool
    ) -> bool:
        self.left -= 1
        return True


def make_placer(
    control: EngineControl,
    sent_messages: list[SentMessage],
    *,
    routing_state: Callable[[], RoutingState] = make_routing_state,
    permits: ScriptedPermits | None = None,
    home_zone_of: Callable[[str], str | None] = lambda box: None,
) -> Placer:
    engine = Engine(
        running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
    )
    services = {"s": Service(name="s", engine=engine)}
    configuration = Configuration(version=1, services=services)
    directory = Directory(LOG)
    directory.update(
        ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
    )
    store = Store()
    lease = PlacerLease(
        store,
        zone="zone-1",
        box="box-1",
        address="127.0.0.1:1",
        incarnation="1",
        lease_s=60.0,
        checks_fence=True,
        rows=ReadRows(store),
        log=LOG,
    )
    assert lease.challenge(lease.known_row())
    return Placer(
        "zone-1",
        configuration=lambda: configuration,
        directory=directory,
        versions=Versions(),
        routing_state=routing_state,
        control=control,
        lease=lease,
        permits=permits or ScriptedPermits(),
        box="box-1",
        ceiling_ratio=1.0,
        ceiling_burst=2.0,
        send=lambda box, message: sent_messages.append((box, message)),
        log=LOG,
        metrics=ForwardingMetrics(),
        home_zone_of=home_zone_of,
    )


def start_holding(
    control: EngineControl,
    sent_messages: list[SentMessage],
    *,
    routing_state: Callable[[], RoutingState] = make_routing_state,
    permits: ScriptedPermits | None = None,
    home_zone_of: Callable[[str], str | None] = lambda box: None,
) -> Placer:
    """Start a placer and wait until its engine has reported that it holds the adapter x."""
    placer = make_placer(
        control,
        sent_messages,
        routing_state=routing_state,
        permits=permits,
        home_zone_of=home_zone_of,
    )
    placer.start()
    with gevent.Timeout(10):
        while not placer.requests.holders(AdapterKey("m", "x")):
            gevent.sleep(0.01)
    return placer


def demand_for(adapter: str, *, number: int = 1) -> Demand:
    return Demand(asks=[Ask(number, "r", "m", adapter, 1.0, 500)])


def wait_for(
    sent_messages: list[SentMessage], kind: type[Message], *, count: int
) -> list[SentMessage]:
    with gevent.Timeout(10):
        while sum(isinstance(message, kind) for _, message in sent_messages) < count:
            gevent.sleep(0.01)
    return [(box, message) for box, message in sent_messages if isinstance(message, kind)]


def test_each_box_that_waits_is_sent_a_forecast(
    placer: Placer, sent_messages: list[SentMessage]
) -> None:
    placer.apply_demand("box-1", demand_for("a"))
    assert [box for box, _ in wait_for(sent_messages, Forecast, count=1)] == ["box-1"]
    placer.apply_demand("box-2", demand_for("a"))
    assert [box for box, _ in wait_for(sent_messages, Forecast, count=2)] == ["box-1", "box-2"]


def test_changed_adapters_of_an_engine_are_drained_once(placer_with_x: Placer) -> None:
    [engine] = placer_with_x.residents_snapshot().engines
    changed = placer_with_x.drain_changed()
    assert changed is not None
    assert changed.engines == [engine]
    assert [held.adapter for held in engine.adapters] == ["x"]
    assert placer_with_x.drain_changed() is None


def test_a_box_that_asks_again_is_sent_another_forecast(
    placer: Placer, sent_messages: list[SentMessage]
) -> None:
    placer.apply_demand("box-1", demand_for("a", number=1))
    wait_for(sent_messages, Forecast, count=1)
    placer.apply_demand("box-1", Demand(ended=[Ended(1)]))
    placer.apply_demand("box-1", demand_for("a", number=2))
    wait_for(sent_messages, Forecast, count=2)


def test_a_request_for_what_an_engine_holds_is_granted_at_once(
    placer_with_x: Placer, sent_messages: list[SentMessage]
) -> None:
    placer_with_x.apply_demand("box-1", demand_for("x", number=7))
    assert sent_messages == [("box-1", Grant(7, "i-1"))]


def test_an_engine_that_was_tried_is_not_granted_again(
    placer_with_x: Placer, sent_messages: list[SentMessage]
) -> None:
    again = Ask(8, "r", "m", "x", 1.0, 500, tried=["i-1"])
    placer_with_x.apply_demand("box-1", Demand(asks=[again]))
    wait_for(sent_messages, Forecast, count=1)
    assert not any(isinstance(message, Grant) for _, message in sent_messages)


@pytest.mark.parametrize(("region", "granted"), [("a", True), ("b", False)])
@pytest.mark.parametrize("failed", [False, True])
def test_an_engine_is_granted_only_where_the_request_may_be_served(
    sent_messages: list[SentMessage], region: str, granted: bool, failed: bool
) -> None:
    placer = start_holding(
        SlowEngine("m", adapters=("x",)),
        sent_messages,
        routing_state=lambda: make_routing_state("zone-1", regions={"zone-1": "a", "zone-2": "b"}),
    )
    tried = ["i-1"] if failed else []
    ask = Ask(8, "r", "m", "x", 1.0, 500, tried=tried, failed_at=tried, regions=[region])
    sent = decode(encode(Demand(asks=[ask])))
    assert isinstance(sent, Demand)
    placer.apply_demand("box-2", sent)
    placer.stop()
    assert any(isinstance(message, Grant) for _, message in sent_messages) is granted


def test_a_copy_that_boxes_of_this_zone_request_is_loaded_and_kept(
    placer: Placer, sent_messages: list[SentMessage]
) -> None:
    placer.apply_demand("box-1", Demand(copies=[CopyRequest("m", "far", 300)]))
    with gevent.Timeout(10):
        while AdapterKey("m", "far") not in placer._reconcilers["i-1"].book.assigned:
            gevent.sleep(0.01)
    assert 2.0 < placer._popularity.of(AdapterKey("m", "far")) <= 3.0
    assert sent_messages == [], "no request waits for it"


def test_grants_to_a_box_of_another_zone_state_the_savings_of_a_copy_there(
    sent_messages: list[SentMessage],
) -> None:
    homes = {"box-2": "zone-2", "box-3": "zone-3", "box-1": "zone-1"}
    placer = start_holding(SlowEngine("m", adapters=("x",)), sent_messages, home_zone_of=homes.get)
    long_prompt = [("p", 10_000)]
    for number in range(4):
        for box in ("box-1", "box-2", "box-4"):
            ask = Ask(number, "r", "m", "x", 1.0, 500, long_prompt)
            placer.apply_demand(box, Demand(asks=[ask]))
    bound = Ask(9, "r", "m", "x", 1.0, 500, long_prompt, regions=["nowhere"])
    placer.apply_demand("box-3", Demand(asks=[bound]))
    placer.stop()
    grants = [(box, message.saves) for box, message in sent_messages if isinstance(message, Grant)]
    saved = [saves for box, saves in grants if box == "box-2"]
    assert saved == sorted(saved)
    assert saved[0] > 100, "42 KB cost more than a load"
    assert {saves for box, saves in grants if box != "box-2"} == {0}


def fail_at_once(placer: Placer, sent_messages: list[SentMessage], *, times: int) -> None:
    """Make requests for the adapter x fail at its only engine, one after the other."""
    for number in range(100, 100 + times):
        placer.apply_demand("box-1", demand_for("x", number=number))
        placer.apply_demand("box-1", Demand(ended=[Ended(number, Outcome.FAILED)]))
    sent_messages.clear()


def test_an_engine_that_failed_a_request_gets_it_again_where_a_load_would_cost_more(
    placer_with_x: Placer, sent_messages: list[SentMessage]
) -> None:
    fail_at_once(placer_with_x, sent_messages, times=1)
    again = Ask(8, "r", "m", "x", 1.0, 500, tried=["i-1"], failed_at=["i-1"])
    placer_with_x.apply_demand("box-1", Demand(asks=[again]))
    assert sent_messages == [("box-1", Grant(8, "i-1"))]


def test_an_engine_that_fails_far_more_than_others_does_not_get_a_request_again(
    placer_with_x: Placer, sent_messages: list[SentMessage]
) -> None:
    fail_at_once(placer_with_x, sent_messages, times=10)
    again = Ask(8, "r", "m", "x", 4.0, 500, tried=["i-1"], failed_at=["i-1"])
    placer_with_x.apply_demand("box-1", Demand(asks=[again]))
    wait_for(sent_messages, Forecast, count=1)
    assert not any(isinstance(message, Grant) for _, message in sent_messages)


class CrashingEngine(SlowEngine):
    """Answers until it crashes."""

    crashed = False

    def report(self, address: str, *, instance: str) -> EngineState:
        if self.crashed:
            raise ControlUnanswered("crashed")
        return super().report(address, instance=instance)


def test_an_engine_that_a_box_could_not_reach_is_probed_and_not_granted_if_it_has_ended(
    sent_messages: list[SentMessage],
) -> None:
    control = CrashingEngine("m", adapters=("x",))
    placer = start_holding(control, sent_messages)
    with gevent.Timeout(10):
        placer.apply_demand("box-1", demand_for("x"))
        control.crashed = True
        placer.apply_demand("box-1", Demand(ended=[Ended(1, Outcome.UNREACHABLE)]))
        while placer.requests.holders(AdapterKey("m", "x")):
            gevent.sleep(0.01)
    placer.apply_demand("box-2", demand_for("x"))
    assert [box for box, message in sent_messages if isinstance(message, Grant)] == ["box-1"]
    placer.stop()


def test_the_report_of_an_engine_that_lacks_the_adapter_is_read(
    sent_messages: list[SentMessage],
) -> None:
    control = SlowEngine("m", adapters=("x",))
    placer = start_holding(control, sent_messages)
    with gevent.Timeout(10):
        placer.apply_demand("box-1", demand_for("x"))
        reports_before = control.reports
        placer.apply_demand("box-1", Demand(ended=[Ended(1, Outcome.LACKING)]))
        placer.apply_demand("box-2", demand_for("x"))
        assert [box for box, message in sent_messages if isinstance(message, Grant)] == ["box-1"]
        while control.reports == reports_before:
            gevent.sleep(0.01)
    placer.stop()


def test_an_adapter_in_use_does_not_count_as_room(
    placer_with_x: Placer, sent_messages: list[SentMessage]
) -> None:
    with gevent.Timeout(10):
        while placer_with_x.room() != 1:
            gevent.sleep(0.01)
    placer_with_x.apply_demand("box-1", demand_for("x"))
    placer_with_x.apply_demand("box-1", demand_for("x", number=2))
    placer_with_x.apply_demand("box-1", Demand(ended=[Ended(1)]))
    used = placer_with_x.requests.dispatcher("s").used
    assert used == {("i-1", AdapterKey("m", "x")): 1}
    placer_with_x.forget_box("box-1")
    assert not used


def test_the_report_of_an_engine_that_a_silent_box_uses_is_read(
    sent_messages: list[SentMessage],
) -> None:
    """Only the engine then knows whether the box's requests still run."""
    control = SlowEngine("m", adapters=("x",))
    placer = start_holding(control, sent_messages)
    placer.apply_demand("box-1", demand_for("x"))
    reports_before = control.reports
    placer.record_silent("box-2")
    gevent.sleep(0.2)
    assert control.reports == reports_before, "it runs no request of that box"
    # Sooner than the report that is read every 5 s.
    with gevent.Timeout(2):
        placer.record_silent("box-1")
        while control.reports == reports_before:
            gevent.sleep(0.01)
    placer.stop()


def test_the_adapter_of_a_client_that_was_asked_to_retry_is_loaded(
    placer: Placer, sent_messages: list[SentMessage]
) -> None:
    placer.apply_demand("box-1", Demand(expected_retries=[ExpectedRetry("m", "a", 1.0, 300)]))
    with gevent.Timeout(10):
        while not any(reconciler.book.places for reconciler in placer._reconcilers.values()):
            gevent.sleep(0.01)


@pytest.mark.parametrize(("models", "room"), [(("m",), 2), ((), 0)])
def test_an_engine_without_a_base_model_has_no_room(
    sent_messages: list[SentMessage], models: tuple[str, ...], room: int
) -> None:
    placer = make_placer(SlowEngine(*models), sent_messages)
    placer.start()
    with gevent.Timeout(10):
        while any(reconciler.book.sequence is None for reconciler in placer._reconcilers.values()):
            gevent.sleep(0.01)
    assert placer.room() == room
    placer.stop()


@pytest.mark.parametrize("wanted", ["ask", "promise"])
def test_a_place_that_a_request_frees_is_assigned_at_once(
    monkeypatch: pytest.MonkeyPatch, sent_messages: list[SentMessage], wanted: str
) -> None:
    monkeypatch.setattr(placer_module, "_PLAN_INTERVAL_S", 60.0)
    placer = start_holding(SlowEngine("m", adapters=("x", "y")), sent_messages)
    for number, adapter in enumerate(("x", "y")):
        placer.apply_demand("box-1", demand_for(adapter, number=number))
    updates = (
        demand_for("a", number=5)
        if wanted == "ask"
        else Demand(expected_retries=[ExpectedRetry("m", "a", 1.0, 60_000)])
    )
    placer.apply_demand("box-1", updates)
    [reconciler] = placer._reconcilers.values()
    gevent.sleep(0.1)
    assert not reconciler.book.assigned, "both places are used"
    for place in reconciler.book.places.values():
        place.since -= 10
    placer.apply_demand("box-1", Demand(ended=[Ended(0)]))
    with gevent.Timeout(10):
        while AdapterKey("m", "a") not in (*reconciler.book.assigned, *reconciler.book.places):
            gevent.sleep(0.01)
    placer.stop()


def test_an_expected_retry_is_planned_again_until_there_is_a_place(
    sent_messages: list[SentMessage],
) -> None:
    placer = start_holding(SlowEngine("m", adapters=("x", "y")), sent_messages)
    [reconciler] = placer._reconcilers.values()
    for place in reconciler.book.places.values():
        place.since += 10
    placer.apply_demand("box-1", Demand(expected_retries=[ExpectedRetry("m", "a", 1.0, 60_000)]))
    gevent.sleep(0.1)
    assert not reconciler.book.assigned, "a newly loaded adapter is kept for a while"
    for place in reconciler.book.places.values():
        place.since -= 20
    with gevent.Timeout(10):
        while AdapterKey("m", "a") not in (*reconciler.book.assigned, *reconciler.book.places):
            gevent.sleep(0.01)
    placer.stop()


def test_a_waiting_request_is_granted_an_unreachable_engine_once_it_answers_again(
    sent_messages: list[SentMessage],
) -> None:
    control = CrashingEngine("m", adapters=("x", "y"))
    placer = start_holding(control, sent_messages)
    control.crashed = True
    placer.apply_demand("box-1", demand_for("x"))
    placer.apply_demand("box-1", Demand(ended=[Ended(1, Outcome.UNREACHABLE)]))
    with gevent.Timeout(10):
        while placer.requests.holders(AdapterKey("m", "x")):
            gevent.sleep(0.01)
        placer.apply_demand("box-2", demand_for("x", number=2))
        control.crashed = False
        while ("box-2", Grant(2, "i-1")) not in sent_messages:
            gevent.sleep(0.01)
    placer.stop()


class OrderedEngine(SlowEngine):
    """Records the adapters that it was ordered to load."""

    def __init__(self, *models: str, adapters: tuple[str, ...] = ()) -> None:
        super().__init__(*models, adapters=adapters)
        self.ordered: list[str] = []

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        self.ordered.append(order.key.adapter)
        return super().order(address, instance=instance, order=order)


def test_an_evacuated_zone_is_granted_until_its_cut_and_loads_no_adapters(
    sent_messages: list[SentMessage],
) -> None:
    worlds = [make_routing_state(announced=("zone-1",))]
    control = OrderedEngine("m", adapters=("x",))
    placer = start_holding(control, sent_messages, routing_state=lambda: worlds[-1])
    assert placer.room() == 0
    placer.apply_demand("box-1", demand_for("a", number=1))
    placer.apply_demand("box-1", demand_for("x", number=2))
    assert sent_messages == [("box-1", Grant(2, "i-1"))]
    worlds.append(make_routing_state(evacuated=("zone-1",)))
    placer.apply_demand("box-1", demand_for("x", number=3))
    gevent.sleep(0.2)
    assert sent_messages == [("box-1", Grant(2, "i-1"))], "neither a grant nor a forecast"
    assert control.ordered == []
    worlds.append(make_routing_state())
    placer.apply_demand("box-1", demand_for("b", number=4))
    assert placer.room() > 0
    assert ("box-1", Grant(3, "i-1")) in wait_for(sent_messages, Grant, count=2)
    placer.stop()


def test_popular_adapters_of_an_evacuated_zone_are_loaded_before_a_request_waits(
    sent_messages: list[SentMessage],
) -> None:
    control = OrderedEngine("m")
    placer = make_placer(control, sent_messages)
    placer.start()
    placer.prefetch.add("zone-2", [AskedFor("m", "a", 3.0), AskedFor("m", "b", 1.0)])
    with gevent.Timeout(10):
        while set(control.ordered) != {"a", "b"}:
            gevent.sleep(0.01)
    assert control.ordered[0] == "a"
    assert sent_messages == []
    placer.stop()
    assert not placer.prefetch.pending


def test_a_cold_engine_is_granted_as_far_as_there_are_permits(
    sent_messages: list[SentMessage],
) -> None:
    cold: list[str] = []
    permits = ScriptedPermits()
    placer = start_holding(
        SlowEngine("m", adapters=("x",)),
        sent_messages,
        routing_state=lambda: make_routing_state(is_cold=lambda record: record.instance in cold),
        permits=permits,
    )
    try:
        placer.apply_demand("box-2", demand_for("x", number=1))
        cold.append("i-1")
        placer.apply_demand("box-2", demand_for("x", number=2))
        assert [message for _, message in sent_messages if isinstance(message, Grant)] == [
            Grant(1, "i-1")
        ]
        permits.left = 1
        placer.requests.grant_all()
        placer.apply_demand("box-2", demand_for("x", number=3))
        grants = [message for _, message in sent_messages if isinstance(message, Grant)]
        assert grants == [Grant(1, "i-1"), Grant(2, "i-1", permitted=True)]
    finally:
        placer.stop()


def test_a_cold_engine_is_given_adapters_meanwhile(sent_messages: list[SentMessage]) -> None:
    placer = make_placer(
        SlowEngine("m"),
        sent_messages,
        routing_state=lambda: make_routing_state(is_cold=lambda record: True),
    )
    placer.start()
    try:
        placer.apply_demand("box-1", demand_for("a"))
        wait_for(sent_messages, Forecast, count=1)
    finally:
        placer.stop()


def test_a_request_whose_adapter_is_held_only_by_full_engines_is_sent_to_another_zone(
    sent_messages: list[SentMessage],
) -> None:
    limited: list[str] = []
    permits = ScriptedPermits()
    placer = start_holding(
        SlowEngine("m", adapters=("x",)),
        sent_messages,
        routing_state=lambda: make_routing_state(
            is_limited=lambda record: record.instance in limited
        ),
        permits=permits,
    )
    try:
        limited.append("i-1")
        placer.apply_demand("box-2", demand_for("x", number=1))
        [(_, forecast), *_] = wait_for(sent_messages, Forecast, count=1)
        assert isinstance(forecast, Forecast) and forecast.elsewhere
        permits.left = 1
        placer.apply_demand("box-3", demand_for("x", number=2))
        grants = [(box, m) for box, m in sent_messages if isinstance(m, Grant)]
        assert len(grants) == 1 and grants[0][1].permitted
    finally:
        placer.stop()
