"""A replica that asks for rest with its refusal gets it from that box, whoever chooses replicas.

What users saw: three of nine engines turned requests away and asked for 3 s of rest each time; each
box went on sending to them every few tenths of a second. Requests were turned away two and three
times in a row and ended refused, while six engines served.

Order of events: an engine turns a box's request away and names the time; the box's next requests
are granted the same engine, 0.5 s later and again and again, and are turned away as well.

Cause: a refusal was taken for a moment's lack of room, believed for a few hundredths of a second
and never binding. The time that the replica named was read by no part.

Evidence: with what answers say in the logs, a box's attempts show "asks for 3.00 s of rest" at one
replica again and again within those seconds, while its rest there stands at 0.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.callers import Callers
from tests.routed.deployment import REPLICAS, Answer, Deployment

REST_S = 3.0

UNDER_WAY_S = 0.5
"""So long after a refusal what was under way may yet arrive."""

STRAY = 2
"""So many may reach a replica within its rest all the same."""

SPREAD_S = 0.5
"""Over so long after a rest those come back whom it turned away."""

WATCHED_S = 3.5

PLAIN = (("/lookup/x", ""), ("/join/x", ""))
STREAMS = tuple((f"/{route}/x", f"a{n}") for route in ("items", "minutes") for n in range(4))
"""As many adapters as both engines have places: who cannot go to one engine needs a load."""
WISHES = (*PLAIN, *STREAMS)


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("rest")) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for path, adapter in WISHES:
            deployment.served("box-1", path, adapter=adapter)
        yield deployment
        assert deployment.violations() == {}


def most_within_a_rest(arrivals: list[float]) -> int:
    """The most requests that came within one rest; each of them was turned away and began one."""
    return max(
        (
            sum(asked_at + UNDER_WAY_S < at < asked_at + REST_S for at in arrivals)
            for asked_at in arrivals
        ),
        default=0,
    )


@pytest.mark.parametrize("name", ["rosters-1", "engine-1"])
def test_a_replica_that_asked_for_rest_gets_it(deployment: Deployment, name: str) -> None:
    began_at = monotonic()
    deployment.fault(name, refuse=True, asks_rest_s=REST_S)
    with Callers(deployment, ["box-1"], WISHES) as callers:
        time.sleep(WATCHED_S)
    arrivals = [at for at in deployment.counters(name)["arrivals"] if at > began_at]
    assert arrivals, "it was tried at all"
    assert most_within_a_rest(arrivals) <= STRAY
    assert "asks for 3.00 s of rest" in deployment.log("box-1")
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > len(callers.answers) / 2, "the other replicas serve"


def test_a_replica_gets_requests_again_once_its_rest_is_over(deployment: Deployment) -> None:
    deployment.fault("rosters-1", refuse=True, asks_rest_s=0.5)

    def _refusals() -> int:
        return deployment.log("box-1").count("asks for 0.50 s of rest")

    def _turned_away() -> bool:
        deployment.send("box-1", "/lookup/x")
        return _refusals() > 0

    wait_until(_turned_away, what="rosters-1 turns a request away")
    deployment.fault("rosters-1")
    served_before = len(deployment.counters("rosters-1")["runs"])

    def _serves() -> bool:
        deployment.send("box-1", "/lookup/x")
        return len(deployment.counters("rosters-1")["runs"]) > served_before

    wait_until(_serves, what="rosters-1 serves again")


def test_who_can_go_nowhere_for_a_rest_is_told_at_once_and_when_to_come_back(
    deployment: Deployment,
) -> None:
    began_at = monotonic()
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, refuse=True, asks_rest_s=REST_S)

    def _all_rest() -> Answer | None:
        answer = deployment.send("box-1", "/lookup/x")
        return answer if b"backing_off" in answer.body else None

    refused = wait_until(_all_rest, what="both replicas rest")
    assert refused.status == 503
    back_in_s = float(refused.headers["Retry-After"])
    assert back_in_s >= began_at + REST_S - monotonic(), "sooner it would be turned away again"
    assert back_in_s <= REST_S + SPREAD_S
