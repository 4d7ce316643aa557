"""A request restricted to regions is never sent elsewhere, however its replica is chosen."""

from __future__ import annotations

import random

import pytest

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, Use, UseOutcome
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget, RetryLimits
from springrock.forwarding.choosing import ReplicaChooser
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service, Team
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.eligibility import Bounds
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.keys import Admission
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.log import Log
from springrock.permits.choice import NoPermits
from tests.factories import make_routing_state
from tests.forwarding.test_values import make_request, make_route

KEY = AdapterKey("m", "a")
REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b"}


class ScriptedUse:
    """The use of a replica that a placer granted."""

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.ended = False

    def record_first_event(self) -> None:
        """Do nothing."""

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        self.ended = True


class ScriptedAdapters:
    """A placer that grants one fixed replica, whatever the request allows."""

    def __init__(self, *, grants: str | None = None) -> None:
        self.grants = grants
        self.requests: list[AdapterRequest] = []
        self.uses: list[ScriptedUse] = []
        self.waits = 0

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        return True

    def record_missing(self, instance: str, key: AdapterKey) -> None:
        """Do nothing."""

    def newest(self, key: AdapterKey) -> int:
        return 0

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        self.requests.append(adapter_request)
        return None if self.grants is None else self.use(self.grants, adapter_request.key)

    def await_placer(self, *, until: float) -> bool:
        self.waits += 1
        return False

    def use(self, instance: str, key: AdapterKey) -> ScriptedUse:
        self.uses.append(ScriptedUse(instance))
        return self.uses[-1]


class Box:
    """A box in zone a-1 that knows one replica in each zone."""

    def __init__(self, adapters: ScriptedAdapters, *, leaving: tuple[str, ...] = ()) -> None:
        engine = Engine(
            running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
        )
        configuration = Configuration(version=1, services={"s": Service(name="s", engine=engine)})
        self.adapters = adapters
        self.directory = Directory(Log("test", "box-1"))
        for zone in REGIONS:
            self.directory.update(
                ReplicaRecord(
                    instance=f"i-{zone}",
                    service="s",
                    address="127.0.0.1:1",
                    zone=zone,
                    models=frozenset({"m"}),
                    leaving=zone in leaving,
                )
            )
        self.chooser = ReplicaChooser(
            configuration=lambda: configuration,
            directory=self.directory,
            balancer=Balancer(
                routing_state=lambda: make_routing_state("a-1", regions=REGIONS),
                rng=random.Random(1),
            ),
            adapters=adapters,
            budget_of=lambda service: RetryBudget(lambda: RetryLimits(0.1, 9.0, 10.0)),
            permits=NoPermits(),
        )

    def choose(self, progress: RequestProgress) -> str:
        """Return the zone of the replica that a request is to be sent to."""
        chosen = self.chooser.next_replica(progress, until=monotonic() + 1.0)
        return chosen.replica.record.zone


def make_progress(
    *regions: str, adapter: bool = False, team_regions: frozenset[str] | None = None
) -> RequestProgress:
    more = {"model": KEY.model, "adapter": KEY.adapter} if adapter else {}
    team = Team(name="t", regions=team_regions)
    route = make_route(regions=frozenset(regions) if regions else None, attempts=3)
    request = make_request(deadline_s=5.0, **more)
    return RequestProgress(request, route, "s", Admission(team=team))


@pytest.mark.parametrize("adapter", [False, True])
def test_a_request_goes_to_the_regions_of_its_route_and_its_team_only(adapter: bool) -> None:
    box = Box(ScriptedAdapters())
    for replica in box.directory.of_service("s"):
        replica.running = 0 if REGIONS[replica.record.zone] == "a" else 9
    for _ in range(20):
        assert REGIONS[box.choose(make_progress("b", adapter=adapter))] == "b"
        bound_twice = make_progress("a", "b", adapter=adapter, team_regions=frozenset("b"))
        assert REGIONS[box.choose(bound_twice)] == "b"


@pytest.mark.parametrize("adapter", [False, True])
@pytest.mark.parametrize("leaving", [(), ("a-1", "a-2", "b-1", "b-2")])
def test_a_request_that_no_region_may_serve_is_rejected_without_a_wait(
    adapter: bool, leaving: tuple[str, ...]
) -> None:
    adapters = ScriptedAdapters(grants="i-a-1")
    box = Box(adapters, leaving=leaving)
    for progress in (
        make_progress("c", adapter=adapter),
        make_progress("a", adapter=adapter, team_regions=frozenset("b")),
    ):
        with pytest.raises(NoReplica) as refusal:
            box.choose(progress)
        assert refusal.value.reason == "outside_regions"
        assert refusal.value.status == 503
        assert refusal.value.retry_after_s is not None
    assert adapters.requests == [], "no placer is asked"
    assert adapters.waits == 0, "no placer is waited for"


def test_a_rejection_names_the_obstacle_in_the_allowed_region() -> None:
    box = Box(ScriptedAdapters(), leaving=("b-1", "b-2"))
    with pytest.raises(NoReplica) as refusal:
        box.choose(make_progress("b"))
    assert refusal.value.reason == "leaving"


def test_a_placer_is_sent_the_bounds_and_a_grant_outside_them_is_not_used() -> None:
    adapters = ScriptedAdapters(grants="i-a-1")
    box = Box(adapters)
    assert REGIONS[box.choose(make_progress("b", adapter=True))] == "b"
    assert adapters.requests[0].bounds == Bounds(frozenset("b"))
    granted, without_placer = adapters.uses
    assert granted.ended
    assert not without_placer.ended


def test_a_resumed_stream_stays_within_the_bounds() -> None:
    box = Box(ScriptedAdapters())
    progress = make_progress("b", adapter=True)
    first = box.choose(progress)
    progress.start_attempt(f"i-{first}", record_age_s=0.0).outcome = AttemptOutcome.BROKEN
    progress.record_event("1")
    assert {first, box.choose(progress)} == {"b-1", "b-2"}
    progress.start_attempt("i-b-1", record_age_s=0.0).outcome = AttemptOutcome.BROKEN
    progress.start_attempt("i-b-2", record_age_s=0.0).outcome = AttemptOutcome.BROKEN
    with pytest.raises(NoReplica):
        box.choose(progress)
