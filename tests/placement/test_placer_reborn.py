"""What a placer makes of an engine that starts again under its id."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from springrock.forwarding.directory import ReplicaRecord, incarnation_of
from springrock.forwarding.message import AdapterKey
from springrock.placement.control import EngineState
from springrock.placement.messages import Demand, Grant, Over, Use
from springrock.placement.placer import Placer
from tests.placement.test_placer import SlowEngine, Told, asking, make_placer

KEY = AdapterKey("m", "x")


class RebornEngine(SlowEngine):
    """Tells its start; a new one holds no adapters."""

    def __init__(self) -> None:
        super().__init__("m", adapters=("x",))
        self.born_ms = 1

    def restart(self) -> None:
        self.born_ms += 1
        self.adapters = ()

    def report(self, address: str, *, instance: str) -> EngineState:
        assert instance == "i-1"
        state = super().report(address, instance=instance)
        return msgspec.structs.replace(state, born_ms=self.born_ms)


def record_of(born_ms: int) -> ReplicaRecord:
    return ReplicaRecord(
        instance=incarnation_of("i-1", born_ms),
        service="s",
        address="127.0.0.1:1",
        zone="zone-1",
        models=frozenset({"m"}),
        born_ms=born_ms,
    )


@pytest.fixture
def engine() -> RebornEngine:
    return RebornEngine()


@pytest.fixture
def reported() -> list[Told]:
    return []


@pytest.fixture
def placer(engine: RebornEngine, reported: list[Told]) -> Iterator[Placer]:
    placer = make_placer(engine, reported)
    placer._directory.update(record_of(1))
    placer.start()
    wait_for_holders(placer, ["i-1@1"])
    yield placer
    placer.stop()


def wait_for_holders(placer: Placer, holders: list[str]) -> None:
    with gevent.Timeout(10):
        while placer.requests.holders(KEY) != holders:
            gevent.sleep(0.01)


def test_nothing_of_the_earlier_start_is_granted(
    placer: Placer, engine: RebornEngine, reported: list[Told]
) -> None:
    placer.apply_demand("box-1", asking("x", number=1))
    assert reported == [("box-1", Grant(1, "i-1@1"))]
    engine.restart()
    placer._directory.update(record_of(2))
    assert list(placer._reconcilers) == ["i-1@2"]
    assert placer.requests.holders(KEY) == []
    dispatcher = placer.requests.dispatcher("s")
    assert "i-1@1" not in dispatcher.waits()
    placer.apply_demand("box-1", asking("x", number=2))
    assert not any(message == Grant(2, "i-1@2") for _, message in reported)
    engine.adapters = ("x",)
    wait_for_holders(placer, ["i-1@2"])
    assert ("box-1", Grant(2, "i-1@2")) in reported


def test_a_new_start_that_only_the_engine_tells_is_granted_nothing(
    placer: Placer, engine: RebornEngine
) -> None:
    engine.restart()
    placer._reconcilers["i-1@1"].mark_stale()
    wait_for_holders(placer, [])
    assert placer.room() == 0


def test_an_engine_that_is_not_understood_is_neither_granted_nor_given_adapters(
    placer: Placer,
) -> None:
    placer._directory.record_not_understood("i-1")
    assert placer.requests.holders(KEY) == []
    assert placer.room() == 0
    placer._directory.update(record_of(1))
    assert placer.requests.holders(KEY) == ["i-1@1"]


def test_what_a_box_sends_to_the_earlier_start_counts_where_it_runs(
    placer: Placer, engine: RebornEngine
) -> None:
    """A box that has yet to read of the new start names the one before; the engine runs it.

    The placer took the adapter for unused and ordered it away under that run: seen once, where a
    box was granted the new start 40 ms before it read of it.
    """
    engine.restart()
    placer._directory.update(record_of(2))
    dispatcher = placer.requests.dispatcher("s")
    placer.apply_demand("box-2", Demand(uses=[Use(7, "i-1@1", *KEY)]))
    assert dispatcher.used == {("i-1@2", KEY): 1}
    placer.apply_demand("box-2", Demand(over=[Over(7)]))
    assert not dispatcher.used


def test_what_runs_at_an_engine_that_nobody_knows_counts_for_no_other(placer: Placer) -> None:
    placer.apply_demand("box-2", Demand(uses=[Use(7, "i-9@1", *KEY), Use(8, "i-8", *KEY)]))
    assert not placer.requests.dispatcher("s").used
