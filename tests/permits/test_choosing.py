"""Which replica is chosen for a request when some are cold, and when its permit expires."""

from __future__ import annotations

import random

import pytest

from springrock.clock import monotonic
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget, RetryLimits
from springrock.forwarding.choosing import ChosenReplica, ReplicaChooser
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.request_progress import RequestProgress
from springrock.log import Log
from springrock.permits.permits import Permit
from tests.factories import make_routing_state
from tests.forwarding.test_choosing import ScriptedAdapters, ScriptedUse
from tests.forwarding.test_values import make_request, make_route

REFUSED = Permit(None, 0.7)


class ScriptedPermits:
    """Answers all asks with the same permit, and records them."""

    def __init__(self, permit: Permit) -> None:
        self.permit = permit
        self.asked: list[tuple[str, bool, int]] = []

    def ask(
        self, record: ReplicaRecord, *, request: str, reserve_retry: bool, grant: int = 0
    ) -> Permit:
        self.asked.append((record.instance, reserve_retry, grant))
        return self.permit


class Setup:
    """A chooser over replicas of a plain and of an engine service, some of them cold."""

    def __init__(self, *instances: str, permit: Permit = REFUSED) -> None:
        self.cold: set[str] = set()
        self.permits = ScriptedPermits(permit)
        self.adapters = ScriptedAdapters(waits=0)
        self.directory = Directory(Log("test", "box-1"))
        engine = Engine(
            running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
        )
        services = {"s": Service(name="s", engine=engine), "plain": Service(name="plain")}
        for instance in instances:
            for service in ("s", "plain"):
                self.directory.update(
                    ReplicaRecord(
                        instance=instance if service == "s" else f"plain-{instance}",
                        service=service,
                        address="127.0.0.1:1",
                        zone="zone-1",
                    )
                )
        self.chooser = ReplicaChooser(
            configuration=lambda: Configuration(version=1, services=services),
            directory=self.directory,
            balancer=Balancer(
                routing_state=lambda: make_routing_state(
                    is_cold=lambda record: record.instance in self.cold
                ),
                rng=random.Random(1),
            ),
            adapters=self.adapters,
            budget_of=lambda service: RetryBudget(lambda: RetryLimits(0.1, 1.0, 10.0)),
            permits=self.permits,
        )

    def choose(self, service: str = "plain") -> ChosenReplica:
        adapter = "a" if service == "s" else ""
        request = make_request(model="m" if adapter else "", adapter=adapter, deadline_s=5.0)
        self.progress = RequestProgress(request, make_route(), service)
        return self.chooser.next_replica(self.progress, until=monotonic() + 1.0)

    def set_running(self, instance: str, running: int) -> None:
        replica = self.directory.find(instance)
        assert replica is not None
        replica.running = running


def test_an_idle_warm_replica_is_chosen_without_asking() -> None:
    setup = Setup("1", "2", permit=Permit(monotonic() + 9))
    setup.cold = {"plain-1"}
    assert setup.choose().replica.instance == "plain-2"
    assert setup.permits.asked == []


def test_a_cold_replica_is_chosen_when_the_warm_ones_are_busy() -> None:
    setup = Setup("1", "2", permit=Permit(monotonic() + 9))
    setup.cold = {"plain-1"}
    setup.set_running("plain-2", 1)
    chosen = setup.choose()
    assert (chosen.replica.instance, chosen.permitted) == ("plain-1", True)
    assert setup.permits.asked == [("plain-1", False, 0)]


def test_without_a_permit_the_busy_warm_replica_is_chosen() -> None:
    setup = Setup("1", "2")
    setup.cold = {"plain-1"}
    setup.set_running("plain-2", 5)
    assert setup.choose().replica.instance == "plain-2"


def test_if_all_are_cold_and_no_permit_is_granted_the_refusal_has_a_retry_delay() -> None:
    setup = Setup("1")
    setup.cold = {"plain-1"}
    with pytest.raises(NoReplica) as refusal:
        setup.choose()
    assert (refusal.value.reason, refusal.value.retry_after_s) == ("cold", 0.7)
    assert setup.permits.asked == [("plain-1", True, 0)]


def test_a_permit_that_expired_before_the_send_is_not_used() -> None:
    setup = Setup("1", permit=Permit(monotonic() - 0.01))
    setup.cold = {"plain-1"}
    with pytest.raises(NoReplica) as refusal:
        setup.choose()
    assert refusal.value.reason == "cold"


def test_nothing_is_sent_to_a_replica_that_turned_cold_while_connecting() -> None:
    setup = Setup("1")
    chosen = setup.choose()
    assert setup.chooser.may_send(setup.progress, chosen)
    setup.cold = {"plain-1"}
    assert not setup.chooser.may_send(setup.progress, chosen)


def test_a_grant_with_a_valid_permit_is_used_without_asking(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    setup = Setup("i-1")
    setup.cold = {"i-1"}
    monkeypatch.setattr(ScriptedUse, "permit_until", monotonic() + 5)
    assert setup.choose("s").permitted
    assert setup.permits.asked == []


@pytest.mark.parametrize("left_s", [None, 0.01, -1.0])
def test_a_grant_without_a_valid_permit_asks_for_one_with_its_number(
    monkeypatch: pytest.MonkeyPatch, left_s: float | None
) -> None:
    setup = Setup("i-1", permit=Permit(monotonic() + 9))
    setup.cold = {"i-1"}
    until = None if left_s is None else monotonic() + left_s
    monkeypatch.setattr(ScriptedUse, "permit_until", until)
    assert setup.choose("s").permitted
    assert setup.permits.asked == [("i-1", False, 1)]


def test_a_warm_engine_that_is_granted_needs_no_permit() -> None:
    setup = Setup("i-1")
    chosen = setup.choose("s")
    assert (chosen.replica.instance, chosen.permit_until) == ("i-1", None)
    assert setup.permits.asked == []


def test_a_granted_engine_without_a_permit_is_refused_as_cold() -> None:
    setup = Setup("i-1")
    setup.cold = {"i-1"}
    with pytest.raises(NoReplica) as refusal:
        setup.choose("s")
    assert refusal.value.reason == "cold"
