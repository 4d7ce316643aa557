"""What the placer tells the boxes."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import keeper as keeper_module
from springrock.placement import placer as placer_module
from springrock.placement.control import EngineControl, EngineState, Order, OrderAnswer
from springrock.placement.lease import PlacerLease
from springrock.placement.messages import Demand, Forecast, Message, Residents, Want
from springrock.placement.placer import Placer
from springrock.placement.residency import Versions
from tests.placement.test_lease import Store

LOG = Log("test", "box")


class SlowEngine:
    """Takes every order and never finishes a load."""

    def __init__(self, *models: str) -> None:
        self._models = frozenset(models)

    def report(self, address: str, *, instance: str) -> EngineState:
        return EngineState(sequence=0, models=self._models)

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        return OrderAnswer.TAKEN


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> list[Message]:
    began_at = monotonic()
    for module in (placer_module, keeper_module):
        monkeypatch.setattr(module, "monotonic", lambda: began_at)
    return []


@pytest.fixture
def placer(told: list[Message]) -> Iterator[Placer]:
    placer = make_placer(SlowEngine("m"), told)
    placer.start()
    yield placer
    placer.stop()


def make_placer(control: EngineControl, told: list[Message]) -> Placer:
    engine = Engine(
        running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
    )
    services = {"s": Service(name="s", engine=engine)}
    configuration = Configuration(version=1, services=services)
    directory = Directory(LOG)
    directory.update(
        ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
    )
    lease = PlacerLease(
        Store(),
        zone="zone-1",
        box="box-1",
        address="127.0.0.1:1",
        incarnation="1",
        lease_s=60.0,
        checks_fence=True,
        log=LOG,
    )
    assert lease.challenge(lease.look())
    return Placer(
        "zone-1",
        configuration=lambda: configuration,
        directory=directory,
        versions=Versions(),
        control=control,
        lease=lease,
        box="box-1",
        ceiling_ratio=1.0,
        ceiling_burst=2.0,
        tell=told.append,
        log=LOG,
        metrics=ForwardingMetrics(),
    )


def wanting(adapter: str) -> Demand:
    return Demand(wants=[Want("m", adapter, 1, 0, 1.0, 500)], uses=[], hits=[])


def wait_for(told: list[Message], kind: type[Message], *, count: int) -> None:
    with gevent.Timeout(10):
        while sum(isinstance(message, kind) for message in told) < count:
            gevent.sleep(0.01)


def test_a_box_that_begins_to_wait_is_told_what_others_were_told(
    placer: Placer, told: list[Message]
) -> None:
    wait_for(told, Residents, count=1)
    placer.take_demand("box-1", wanting("a"))
    wait_for(told, Forecast, count=1)
    placer.take_demand("box-1", wanting("a"))
    placer.take_demand("box-2", wanting("a"))
    wait_for(told, Forecast, count=2)


@pytest.mark.parametrize(("models", "room"), [(("m",), 2), ((), 0)])
def test_an_engine_without_a_base_model_has_no_room(
    told: list[Message], models: tuple[str, ...], room: int
) -> None:
    placer = make_placer(SlowEngine(*models), told)
    placer.start()
    wait_for(told, Residents, count=1)
    assert placer.room() == room
    placer.stop()
