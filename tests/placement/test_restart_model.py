"""A model test of the engine book, with an engine that restarts while orders are in transit."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis.stateful import rule

from springrock.forwarding.directory import ReplicaRecord, incarnation_of
from springrock.placement import late_orders as late_orders_module
from springrock.placement.control import ControlUnanswered, EngineState, Order, OrderAnswer
from springrock.placement.engine_book import EngineBook
from springrock.placement.late_orders import LateOrders
from tests.placement.test_places_model import SLOTS, LossyWorld, ModelEngine

DOWN_S = 0.3


class RestartingEngine(ModelEngine):
    """An engine that may restart; orders to its earlier starts may still reach it."""

    def __init__(self, world: LossyWorld) -> None:
        super().__init__(world)
        self.born_ms = 1
        self.down_until = 0.0

    def restart(self) -> None:
        """Drop all state but the orders in transit, and answer nothing for a moment."""
        self.execute_due()
        self.born_ms += 1
        self.down_until = self._world.now + DOWN_S
        self._ready_at.clear()
        self._sequence = 1  # It has executed the load of its base model.
        self._history = [(self._world.now, self._state())]

    def report(self, address: str, *, instance: str) -> EngineState:
        self._check_up()
        state = super().report(address, instance=instance)
        return msgspec.structs.replace(state, born_ms=self.born_ms)

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        self._check_up()
        return super().order(address, instance=instance, order=order)

    def _check_up(self) -> None:
        if self._world.now < self.down_until:
            self._world.now += 0.12
            raise ControlUnanswered("the engine is down")


class RestartingWorld(LossyWorld):
    """One engine that restarts; the placer reads of each start later, from the engine's row."""

    def __init__(self) -> None:
        super().__init__()
        self.patch.setattr(late_orders_module, "monotonic", lambda: self.now)
        self.engine = RestartingEngine(self)
        self.late_orders = LateOrders()
        self.apply_newest_row()

    @rule()
    def apply_newest_row(self) -> None:
        """Apply the row of the engine's newest start, as a placer does."""
        instance = incarnation_of("i-1", self.engine.born_ms)
        if self.book.instance == instance:
            return
        record = ReplicaRecord(
            instance=instance,
            service="s",
            address="127.0.0.1:1",
            zone="z",
            models=frozenset({"m"}),
            born_ms=self.engine.born_ms,
        )
        self.book = EngineBook(record, slots=SLOTS, late_orders=self.late_orders)
        self.reconciler = self.make_reconciler(self.book)

    @rule()
    def restart(self) -> None:
        self.engine.restart()

    @rule()
    def mark_stale(self) -> None:
        """Make the placer read a report, as after a request that reached the new start."""
        self.reconciler.mark_stale()


def test_a_late_load_for_the_earlier_process_finds_its_place_free() -> None:
    world = RestartingWorld()
    try:
        _fill(world, "a", "b")
        world.wait(2.5)
        world.want("c")
        world.set_fates(["answered", "late"])
        world.reconcile(3)
        assert [late.order.expected_sequence for late in world.engine._late] == [3]
        world.restart()
        world.apply_newest_row()
        world.wait(0.3)
        _fill(world, "a", "b")
        world.wait(2.5)
        assert world.engine.overbooked == 0
        world.wait(late_orders_module._ORDER_LIFETIME_S)
        _fill(world, "a", "b")
        assert world.engine._sequence >= 3
        assert len(world.engine._ready_at) == SLOTS
    finally:
        world.teardown()


def _fill(world: RestartingWorld, *names: str) -> None:
    for name in names:
        world.want(name)
        world.reconcile(6)
        world.wait(0.3)
        world.reconcile(6)


TestRestartModel = RestartingWorld.TestCase
TestRestartModel.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)
