"""Tests of the placer with an engine that restarts under the same id."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from springrock.forwarding.directory import ReplicaRecord, incarnation_of
from springrock.forwarding.message import AdapterKey
from springrock.placement.control import EngineState
from springrock.placement.messages import Demand, Ended, Grant, Use
from springrock.placement.placer import Placer
from tests.placement.test_placer import SentMessage, SlowEngine, demand_for, make_placer

KEY = AdapterKey("m", "x")


class RestartingEngine(SlowEngine):
    """Reports its start time; after a restart it holds no adapters."""

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
def engine() -> RestartingEngine:
    return RestartingEngine()


@pytest.fixture
def sent_messages() -> list[SentMessage]:
    return []


@pytest.fixture
def placer(engine: RestartingEngine, sent_messages: list[SentMessage]) -> Iterator[Placer]:
    placer = make_placer(engine, sent_messages)
    placer._directory.update(record_of(1))
    placer.start()
    wait_for_holders(placer, ["i-1@1"])
    yield placer
    placer.stop()


def wait_for_holders(placer: Placer, holders: list[str]) -> None:
    with gevent.Timeout(10):
        while placer.requests.holders(KEY) != holders:
            gevent.sleep(0.01)


def test_adapters_of_the_earlier_process_are_not_granted(
    placer: Placer, engine: RestartingEngine, sent_messages: list[SentMessage]
) -> None:
    placer.apply_demand("box-1", demand_for("x", number=1))
    assert sent_messages == [("box-1", Grant(1, "i-1@1"))]
    engine.restart()
    placer._directory.update(record_of(2))
    assert list(placer._reconcilers) == ["i-1@2"]
    assert placer.requests.holders(KEY) == []
    dispatcher = placer.requests.dispatcher("s")
    assert "i-1@1" not in dispatcher.waits()
    placer.apply_demand("box-1", demand_for("x", number=2))
    assert not any(message == Grant(2, "i-1@2") for _, message in sent_messages)
    engine.adapters = ("x",)
    wait_for_holders(placer, ["i-1@2"])
    assert ("box-1", Grant(2, "i-1@2")) in sent_messages


def test_a_restart_that_only_the_engines_report_shows_stops_its_grants(
    placer: Placer, engine: RestartingEngine
) -> None:
    engine.restart()
    placer._reconcilers["i-1@1"].mark_stale()
    wait_for_holders(placer, [])
    assert placer.room() == 0


def test_an_engine_whose_record_is_not_understood_is_neither_granted_nor_given_adapters(
    placer: Placer,
) -> None:
    placer._directory.record_not_understood("i-1")
    assert placer.requests.holders(KEY) == []
    assert placer.room() == 0
    placer._directory.update(record_of(1))
    assert placer.requests.holders(KEY) == ["i-1@1"]


def test_a_use_of_the_earlier_process_counts_for_the_current_one(
    placer: Placer, engine: RestartingEngine
) -> None:
    """Guards against unloading an adapter under a request that a box sent to the earlier start.

    A box that does not know of the restart yet names the earlier start, and the engine runs the
    request. The placer took the adapter for unused and unloaded it. It happened when a box was
    granted the new start 40 ms before it read of it.
    """
    engine.restart()
    placer._directory.update(record_of(2))
    dispatcher = placer.requests.dispatcher("s")
    placer.apply_demand("box-2", Demand(uses=[Use(7, "i-1@1", *KEY)]))
    assert dispatcher.used == {("i-1@2", KEY): 1}
    placer.apply_demand("box-2", Demand(ended=[Ended(7)]))
    assert not dispatcher.used


def test_a_use_of_an_unknown_engine_counts_for_no_other(placer: Placer) -> None:
    placer.apply_demand("box-2", Demand(uses=[Use(7, "i-9@1", *KEY), Use(8, "i-8", *KEY)]))
    assert not placer.requests.dispatcher("s").used
