"""A model test of the engine book: orders are lost, answered or executed late, and reports lag."""

from __future__ import annotations

from types import SimpleNamespace
from typing import NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from springrock.forwarding.directory import HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import engine_book as engine_book_module
from springrock.placement import engine_reconciler as reconciler_module
from springrock.placement import popularity as popularity_module
from springrock.placement.control import (
    ControlUnanswered,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from springrock.placement.engine_book import EngineBook
from springrock.placement.engine_reconciler import EngineReconciler
from springrock.placement.planner import CombinedWant, Planner
from springrock.placement.popularity import Popularity

SLOTS = 2
LOAD_S = 0.25
REPORTS_LAG_S = 0.2
ADAPTERS = ("a", "b", "c", "d")
FATES = ("answered", "lost before", "lost after", "late")


class LateOrder(NamedTuple):
    """An order that got no answer, and the time at which it is executed."""

    order: Order
    at: float


class ModelEngine:
    """An engine with two places, a sequence, loads that take time, and reports that lag."""

    def __init__(self, world: LossyWorld) -> None:
        self._world = world
        self._ready_at: dict[AdapterKey, float] = {}
        self._sequence = 0
        self._late: list[LateOrder] = []
        self._history: list[tuple[float, EngineState]] = [(world.now, self._state())]
        self.overbooked = 0
        self.unloaded_while_granted = 0

    def report(self, address: str, *, instance: str) -> EngineState:
        """Return the state as it was one reporting lag ago."""
        self.execute_due()
        seen = [state for at, state in self._history if at <= self._world.now - REPORTS_LAG_S]
        return seen[-1] if seen else self._history[0][1]

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        """Execute an order, or lose it in one of three ways."""
        self.execute_due()
        fate = self._world.next_fate()
        if fate == "late":
            self._late.append(LateOrder(order, self._world.now + 2.0))
        if fate in ("late", "lost before"):
            self._world.now += 0.12
            raise ControlUnanswered("no answer")
        answer = self._execute(order)
        if fate == "lost after":
            self._world.now += 0.12
            raise ControlUnanswered("no answer")
        return answer

    def execute_due(self) -> None:
        """Execute the late orders that are due."""
        due = [late for late in self._late if late.at <= self._world.now]
        self._late = [late for late in self._late if late.at > self._world.now]
        for late in due:
            self._execute(late.order)
        self._record()

    def _execute(self, order: Order) -> OrderAnswer:
        known = self._ready_at.get(order.key)
        if order.kind is OrderKind.LOAD and known is not None:
            return OrderAnswer.DONE if known <= self._world.now else OrderAnswer.ACCEPTED
        if order.expected_sequence not in (None, self._sequence):
            return OrderAnswer.CONFLICT
        self._sequence += 1
        if order.kind is OrderKind.UNLOAD:
            self.unloaded_while_granted += self._world.book.is_ready(order.key, version=0)
            self._ready_at.pop(order.key, None)
            self._record()
            return OrderAnswer.DONE
        self.overbooked += len(self._ready_at) >= SLOTS
        self._ready_at[order.key] = self._world.now + LOAD_S
        self._record()
        return OrderAnswer.ACCEPTED

    def _record(self) -> None:
        self._history.append((self._world.now, self._state()))

    def _state(self) -> EngineState:
        now = self._world.now
        held = {key: HeldAdapter(key.model, key.adapter, 0) for key in self._ready_at}
        return EngineState(
            sequence=self._sequence,
            models=frozenset({"m"}),
            adapters=tuple(held[key] for key, at in self._ready_at.items() if at <= now),
            coming=tuple(held[key] for key, at in self._ready_at.items() if at > now),
        )


class LossyWorld(RuleBasedStateMachine):
    """One reconciler, one engine, and wants for twice as many adapters as there are places."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.fates: list[str] = []
        self.patch = pytest.MonkeyPatch()
        for module in (reconciler_module, engine_book_module, popularity_module):
            self.patch.setattr(module, "monotonic", lambda: self.now)
        self.patch.setattr(reconciler_module, "gevent", SimpleNamespace(sleep=self.pass_time))
        self.engine = ModelEngine(self)
        record = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="z")
        self.book = EngineBook(record, slots=SLOTS)
        self.planner = Planner(Popularity(), lambda key: 0)
        self.reconciler = self.make_reconciler(self.book)

    def make_reconciler(self, book: EngineBook) -> EngineReconciler:
        """Return a reconciler of the engine for a book."""
        return EngineReconciler(
            book,
            control=self.engine,
            lease=SimpleNamespace(may_order=True, fence=1),  # type: ignore[arg-type]
            planner=self.planner,
            used=lambda: set(),
            known_runs=lambda: 0,
            newest=lambda key: 0,
            wanted_model=lambda: None,
            holder="box",
            on_change=lambda book: None,
            log=Log("test", "box"),
            metrics=ForwardingMetrics(),
        )

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, as a pause of the reconciler does."""
        self.now += seconds

    def next_fate(self) -> str:
        """Return the fate of the next order."""
        return self.fates.pop(0) if self.fates else "answered"

    @rule(fates=st.lists(st.sampled_from(FATES), min_size=1, max_size=4))
    def set_fates(self, fates: list[str]) -> None:
        self.fates = fates

    @rule(name=st.sampled_from(ADAPTERS))
    def want(self, name: str) -> None:
        key = AdapterKey("m", name)
        want = CombinedWant(
            key=key, waiting=1, promised=0, worth=1.0, since=self.now, target_at=self.now + 1
        )
        self.book.reachable = True
        self.planner.plan([want], [self.book], used={}, now=self.now)

    @rule(steps=st.integers(min_value=1, max_value=6))
    def reconcile(self, steps: int) -> None:
        """Run some iterations of the reconciler's loop."""
        for _ in range(steps):
            if self.reconciler._stale and not self.reconciler._read_report():
                continue
            if not self.reconciler._order_next() and not self.reconciler._confirm_next():
                self.now += 0.03
                self.reconciler._stale = self.reconciler._stale or self.reconciler._is_report_due()

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.1, 2.5)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.engine.execute_due()

    @invariant()
    def no_place_is_taken_twice(self) -> None:
        assert self.engine.overbooked == 0

    @invariant()
    def nothing_is_unloaded_that_may_be_granted(self) -> None:
        assert self.engine.unloaded_while_granted == 0

    def teardown(self) -> None:
        self.patch.undo()


TestPlacesModel = LossyWorld.TestCase
TestPlacesModel.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
