"""Tests of the reconciler with an engine that answers late, not at all, or out of sequence."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec
import pytest
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.directory import HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import engine_reconciler as reconciler_module
from springrock.placement.control import (
    ControlUnanswered,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from springrock.placement.engine_book import EngineBook
from springrock.placement.engine_reconciler import EngineReconciler
from springrock.placement.planner import Planner
from springrock.placement.popularity import Popularity

SLOTS = 2
WITHIN_S = 10.0


def key(name: str) -> AdapterKey:
    return AdapterKey("m", name)


class Lease:
    """A lease that is held until `record_lost` is called."""

    fence = 5
    may_order = True

    def record_lost(self, *, reason: str) -> None:
        self.may_order = False


class Engine:
    """An engine in memory; orders can be lost before or after they are executed."""

    def __init__(self) -> None:
        self.sequence = 0
        self.adapters: set[str] = set()
        self.coming: set[str] = set()
        self.models = frozenset({"m"})
        self.running = 0
        self.newest_fence = 0
        self.silent = False
        self.lose_order = False
        self.lose_answer = False
        self.most_places = 0
        self.orders: list[Order] = []

    def report(self, address: str, *, instance: str) -> EngineState:
        if self.silent:
            raise ControlUnanswered("silent")
        return EngineState(
            sequence=self.sequence,
            models=self.models,
            adapters=tuple(HeldAdapter("m", name, 1) for name in self.adapters),
            coming=tuple(HeldAdapter("m", name, 1) for name in self.coming),
            running=self.running,
        )

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        self.orders.append(order)
        if self.silent:
            raise ControlUnanswered("silent")
        if self.lose_order:
            self.lose_order = False
            raise ControlUnanswered("lost before")
        answer = self._execute(order)
        if self.lose_answer:
            self.lose_answer = False
            raise ControlUnanswered("lost after")
        return answer

    def _execute(self, order: Order) -> OrderAnswer:
        if order.fence < self.newest_fence:
            return OrderAnswer.OLDER_FENCE
        if order.expected_sequence != self.sequence:
            return OrderAnswer.CONFLICT
        name = order.key.adapter
        if order.kind is OrderKind.LOAD:
            if name in self.adapters:
                return OrderAnswer.DONE
            if name in self.coming:
                return OrderAnswer.ACCEPTED
            self.coming.add(name)
            gevent.spawn_later(0.05, self._arrive, name)
        else:
            self.adapters.discard(name)
        self.sequence += 1
        self.most_places = max(self.most_places, len(self.adapters) + len(self.coming))
        return OrderAnswer.ACCEPTED if order.kind is OrderKind.LOAD else OrderAnswer.DONE

    def _arrive(self, name: str) -> None:
        self.coming.discard(name)
        self.adapters.add(name)


def make_reconciler(
    engine: Engine,
    lease: Lease,
    published: list[set[str]],
    *,
    newest: int = 0,
    used: set[tuple[str, AdapterKey]] | None = None,
    takes_orders: Callable[[], bool] = lambda: True,
    known_runs: Callable[[], int] = lambda: 0,
) -> EngineReconciler:
    record = ReplicaRecord(
        instance="i-1",
        service="s",
        address="127.0.0.1:1",
        zone="z",
        models=frozenset({"m"}),
    )
    return EngineReconciler(
        EngineBook(record, slots=SLOTS),
        control=engine,
        lease=lease,  # type: ignore[arg-type]
        planner=Planner(Popularity(), lambda key: newest),
        used=lambda: set(used or ()),
        known_runs=known_runs,
        newest=lambda key: newest,
        wanted_model=lambda: "m",
        holder="box",
        on_change=lambda book: published.append({held.adapter for held in book.ready()}),
        log=Log("placer", "test"),
        metrics=ForwardingMetrics(),
        takes_orders=takes_orders,
    )


EVICTABLE_AFTER_S = 0.5
"""By then an adapter has been held for long enough to be unloaded for another one."""


def wait_for(condition: Callable[[], bool], what: str) -> None:
    with gevent.Timeout(WITHIN_S, AssertionError(f"not reached in time: {what}")):
        while not condition():
            gevent.sleep(0.01)


def assign(reconciler: EngineReconciler, name: str) -> None:
    reconciler.book.assigned[key(name)] = monotonic()
    reconciler.wake()


def test_an_assigned_adapter_is_loaded_and_published() -> None:
    engine, published = Engine(), []
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: bool(published) and published[-1] == {"a"}, "a is published as ready")
    assert key("a") not in reconciler.book.assigned
    reconciler.stop()


@pytest.mark.parametrize("fault", ["lose_order", "lose_answer"])
def test_an_order_without_answer_never_takes_two_places(fault: str) -> None:
    engine, published = Engine(), []
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    wait_for(lambda: reconciler.book.sequence is not None, "a report of the engine is read")
    setattr(engine, fault, True)
    for name in ("a", "b"):
        assign(reconciler, name)
    wait_for(lambda: engine.adapters == {"a", "b"}, "both are loaded")
    assert engine.most_places <= SLOTS
    reconciler.stop()


def test_a_full_engine_evicts_an_adapter_first() -> None:
    engine, published = Engine(), []
    engine.adapters = {"x", "y"}
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: "a" in engine.adapters, "a is loaded")
    assert engine.most_places <= SLOTS
    assert [order.kind for order in engine.orders][:2] == [OrderKind.UNLOAD, OrderKind.LOAD]
    reconciler.stop()


def test_an_engine_that_was_silent_evicts_nothing_for_an_earlier_assignment() -> None:
    """The planner has assigned the adapter to an engine that answers meanwhile."""
    engine, published = Engine(), []
    engine.adapters = {"x", "y"}
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    wait_for(lambda: published == [{"x", "y"}], "a report of the engine is read")
    engine.silent = True
    reconciler.mark_stale()
    assign(reconciler, "a")
    wait_for(lambda: not reconciler.book.reachable, "the engine is known to be silent")
    assert reconciler.book.places.keys() == {key("x"), key("y")}
    engine.silent = False
    wait_for(lambda: reconciler.book.reachable, "the engine answers again")
    gevent.sleep(0.2)
    assert engine.orders == []
    assign(reconciler, "a")
    wait_for(lambda: "a" in engine.adapters, "a is loaded once it is assigned again")
    reconciler.stop()


def test_an_engine_that_was_silent_during_a_load_holds_the_adapter_afterwards() -> None:
    engine, published = Engine(), []
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    wait_for(lambda: reconciler.book.sequence is not None, "a report of the engine is read")
    assign(reconciler, "a")
    wait_for(lambda: bool(engine.orders), "the load is ordered")
    engine.silent = True
    reconciler.mark_stale()
    wait_for(lambda: not reconciler.book.reachable, "the engine is known to be silent")
    assert key("a") in reconciler.book.assigned, "else the planner would order a second load"
    engine.silent = False
    wait_for(lambda: published[-1] == {"a"}, "a is published as ready")
    assert reconciler.book.assigned == {}
    reconciler.stop()


def test_a_new_placer_unloads_nothing_while_requests_run_that_no_box_has_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Boxes also send requests without a grant, and connect to a new placer only later."""
    monkeypatch.setattr(reconciler_module, "_RUNS_REPORT_TIMEOUT_S", 60.0)
    engine, published, known = Engine(), [], [0]
    engine.adapters, engine.running = {"x", "y"}, 2
    reconciler = make_reconciler(engine, Lease(), published, known_runs=lambda: known[0])
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: bool(published), "the engine's report is read")
    gevent.sleep(EVICTABLE_AFTER_S)
    assert engine.orders == []
    known[0] = 2
    wait_for(lambda: "a" in engine.adapters, "a is loaded once all running requests are reported")
    reconciler.stop()


def test_a_new_placer_waits_for_reported_requests_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reconciler_module, "_RUNS_REPORT_TIMEOUT_S", 0.1)
    engine, published = Engine(), []
    engine.adapters, engine.running = {"x", "y"}, 2
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: "a" in engine.adapters, "a is loaded, as no box reported the running requests")
    reconciler.stop()


def start_full_engine(
    engine: Engine, published: list[set[str]], known: list[int]
) -> EngineReconciler:
    """Start the reconciler of a full engine long ago, whose requests a box then runs unseen."""
    engine.adapters = {"x", "y"}
    reconciler = make_reconciler(engine, Lease(), published, known_runs=lambda: known[0])
    reconciler.start()
    wait_for(lambda: bool(published), "the engine's report is read")
    engine.running = 1
    return reconciler


def test_nothing_is_unloaded_under_the_requests_of_a_box_that_fell_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A box that was paused reports its requests again once it runs, and they run meanwhile."""
    monkeypatch.setattr(reconciler_module, "_RUNS_REPORT_TIMEOUT_S", 0.0)
    monkeypatch.setattr(reconciler_module, "_SILENT_BOX_TIMEOUT_S", 60.0)
    engine, known = Engine(), [0]
    reconciler = start_full_engine(engine, [], known)
    reconciler.await_silent_box()
    assign(reconciler, "a")
    gevent.sleep(EVICTABLE_AFTER_S)
    assert engine.orders == []
    known[0] = 1
    wait_for(lambda: "a" in engine.adapters, "a is loaded once all running requests are reported")
    reconciler.stop()


def test_a_box_that_fell_silent_is_waited_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reconciler_module, "_SILENT_BOX_TIMEOUT_S", 0.1)
    engine = Engine()
    reconciler = start_full_engine(engine, [], [0])
    reconciler.await_silent_box()
    assign(reconciler, "a")
    wait_for(lambda: "a" in engine.adapters, "a is loaded, as the box has not come back")
    reconciler.stop()


def test_no_order_is_sent_after_a_newer_fence_was_seen() -> None:
    engine, lease, published = Engine(), Lease(), []
    reconciler = make_reconciler(engine, lease, published)
    reconciler.start()
    wait_for(lambda: reconciler.book.sequence is not None, "a report of the engine is read")
    engine.newest_fence = 6
    assign(reconciler, "a")
    wait_for(lambda: not lease.may_order, "the lease is lost")
    given = len(engine.orders)
    assign(reconciler, "b")
    gevent.sleep(0.2)
    assert len(engine.orders) == given
    reconciler.stop()


def test_an_engine_that_restarted_empty_loads_its_model_first() -> None:
    engine, published = Engine(), []
    engine.models = frozenset()
    reconciler = make_reconciler(engine, Lease(), published)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: bool(engine.orders), "an order is given")
    assert engine.orders[0].key == AdapterKey("m", "")
    engine.models = frozenset({"m"})
    wait_for(lambda: "a" in engine.adapters, "the adapter is loaded afterwards")
    reconciler.stop()


def test_an_older_version_is_replaced_by_the_newer_one() -> None:
    engine, published = Engine(), []
    engine.adapters = {"a", "b"}
    reconciler = make_reconciler(engine, Lease(), published, newest=2)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: len(engine.orders) >= 2, "two orders are given")
    assert [(order.kind, order.key.adapter) for order in engine.orders[:2]] == [
        (OrderKind.UNLOAD, "a"),
        (OrderKind.LOAD, "a"),
    ]
    assert engine.orders[1].version == 2
    reconciler.stop()


def test_an_older_version_in_use_is_not_unloaded() -> None:
    engine, published = Engine(), []
    engine.adapters = {"a", "b"}
    used = {("i-1", key("a"))}
    reconciler = make_reconciler(engine, Lease(), published, newest=2, used=used)
    reconciler.start()
    assign(reconciler, "a")
    gevent.sleep(0.3)
    assert engine.orders == []
    used.clear()
    reconciler.wake()
    wait_for(lambda: len(engine.orders) >= 2, "two orders are given")
    assert engine.orders[0].kind is OrderKind.UNLOAD
    reconciler.stop()


def test_no_order_is_sent_if_the_lease_ended_while_a_report_was_read() -> None:
    engine, lease = Engine(), Lease()
    reconciler = make_reconciler(engine, lease, [])
    reconciler._read_report()
    reconciler.book.assigned[key("a")] = monotonic()
    lease.may_order = False
    assert not reconciler._order_next()
    assert not engine.coming
    assert not engine.adapters


class CountingEngine(Engine):
    """An engine whose loads never finish, and which counts its reports."""

    reports = 0

    def report(self, address: str, *, instance: str) -> EngineState:
        self.reports += 1
        return super().report(address, instance=instance)

    def _arrive(self, name: str) -> None:
        """Do nothing: the load never finishes."""


def test_while_an_adapter_loads_the_order_is_repeated_and_few_reports_are_read() -> None:
    """Guards against frequent reports, each of which costs as much as many orders.

    There were 10 reports for 40 orders before, and 5 for 100 after.
    """
    engine = CountingEngine()
    reconciler = make_reconciler(engine, Lease(), [])
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: len(engine.orders) >= 40, "the order was repeated often")
    assert engine.reports * 10 <= len(engine.orders)
    reconciler.stop()


class RestartingEngine(Engine):
    """An engine that reports its start time, and may have restarted under the same id."""

    born_ms: int | None = 1

    def __init__(self) -> None:
        super().__init__()
        self.addressed: set[str] = set()

    def report(self, address: str, *, instance: str) -> EngineState:
        self.addressed.add(instance)
        state = super().report(address, instance=instance)
        return msgspec.structs.replace(state, born_ms=self.born_ms)

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        self.addressed.add(instance)
        return super().order(address, instance=instance, order=order)


def set_start(reconciler: EngineReconciler) -> None:
    reconciler.book.record = msgspec.structs.replace(
        reconciler.book.record, instance="i-1@1", born_ms=1
    )


@pytest.mark.parametrize("born_ms", [2, None])
def test_a_report_of_a_restarted_engine_is_rejected(born_ms: int | None) -> None:
    engine, published = RestartingEngine(), []
    engine.adapters = {"a"}
    reconciler = make_reconciler(engine, Lease(), published)
    set_start(reconciler)
    reconciler.start()
    wait_for(lambda: reconciler.book.reachable, "a report of the engine is read")
    engine.born_ms, engine.adapters = born_ms, {"b"}
    reconciler.mark_stale()
    wait_for(lambda: not reconciler.book.reachable, "the engine counts as unreachable")
    assert [held.adapter for held in reconciler.book.ready()] == ["a"]
    assign(reconciler, "c")
    gevent.sleep(0.2)
    assert engine.orders == []
    engine.born_ms = 1
    wait_for(
        lambda: reconciler.book.reachable and "c" in engine.adapters,
        "the expected start answers again",
    )
    reconciler.stop()


def test_an_engine_is_addressed_by_its_id_without_its_start() -> None:
    engine = RestartingEngine()
    reconciler = make_reconciler(engine, Lease(), [])
    set_start(reconciler)
    reconciler.start()
    assign(reconciler, "a")
    wait_for(lambda: "a" in engine.adapters, "the adapter is loaded")
    assert engine.addressed == {"i-1"}
    reconciler.stop()


def test_an_engine_whose_record_is_not_understood_gets_no_orders() -> None:
    engine = Engine()
    reconciler = make_reconciler(engine, Lease(), [])
    reconciler.apply_record(msgspec.structs.replace(reconciler.book.record, understood=False))
    reconciler.start()
    wait_for(lambda: reconciler.book.reachable, "a report of the engine is read")
    assign(reconciler, "a")
    gevent.sleep(0.2)
    assert engine.orders == []
    reconciler.apply_record(msgspec.structs.replace(reconciler.book.record, understood=True))
    reconciler.wake()
    wait_for(lambda: "a" in engine.adapters, "the adapter is loaded")
    reconciler.stop()


def test_the_reports_of_an_engine_without_orders_are_still_read() -> None:
    engine, published = Engine(), []
    orders_from: list[bool] = []
    reconciler = make_reconciler(engine, Lease(), published, takes_orders=lambda: bool(orders_from))
    reconciler.start()
    assign(reconciler, "a")
    engine.adapters = {"x"}
    wait_for(
        lambda: bool(published) and published[-1] == {"x"},
        "the engine's adapters are published",
    )
    gevent.sleep(0.1)
    assert engine.orders == []
    orders_from.append(True)
    wait_for(lambda: bool(published) and published[-1] == {"x", "a"}, "a is loaded")
    reconciler.stop()


class SlowUnloads(Engine):
    """An engine that answers an unload only once `answer_allowed` is set, and may reject it."""

    def __init__(self, refused: OrderAnswer | None) -> None:
        super().__init__()
        self.refused = refused
        self.answer_allowed = Event()

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        if order.kind is not OrderKind.UNLOAD:
            return super().order(address, instance=instance, order=order)
        self.answer_allowed.wait()
        refused, self.refused = self.refused, None
        if refused is not None:
            return refused
        return super().order(address, instance=instance, order=order)


@pytest.mark.parametrize("refused", [None, OrderAnswer.CONFLICT])
def test_an_adapter_that_is_being_unloaded_is_not_granted(
    refused: OrderAnswer | None,
) -> None:
    engine = SlowUnloads(refused)
    engine.adapters = {"x", "y"}
    reconciler = make_reconciler(engine, Lease(), [])
    book = reconciler.book
    reconciler.start()
    wait_for(lambda: len(book.ready()) == SLOTS, "a report of the engine is read")
    for place in book.places.values():
        place.since -= 10.0
    assign(reconciler, "a")
    wait_for(lambda: len(book.ready()) == SLOTS - 1, "one adapter counts as unloading")
    assert not engine.answer_allowed.is_set()
    engine.answer_allowed.set()
    wait_for(lambda: "a" in engine.adapters, "the adapter is loaded")
    assert engine.most_places <= SLOTS
    reconciler.stop()


def test_an_adapter_whose_unload_was_rejected_is_granted_again() -> None:
    book = EngineBook(
        ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="z"), slots=SLOTS
    )
    book.loaded(key("x"))
    book.unload_started(key("x"))
    assert not book.is_ready(key("x"), version=0)
    book.unload_failed(key("x"))
    assert book.is_ready(key("x"), version=0)


def test_an_adapter_whose_unload_got_no_answer_is_not_granted_and_the_order_is_repeated() -> None:
    book = EngineBook(
        ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="z"), slots=SLOTS
    )
    book.loaded(key("x"))
    book.unload_started(key("x"))
    book.unload_unanswered(key("x"))
    assert not book.is_ready(key("x"), version=0)
    assert book.unanswered_unloads == [key("x")]
    report = EngineState(sequence=1, models=frozenset("m"), adapters=(HeldAdapter("m", "x", 1),))
    book.apply_report(report)
    assert not book.is_ready(key("x"), version=0), "the order may still be executed"
    book.unload_executed(key("x"))
    assert book.unanswered_unloads == []
