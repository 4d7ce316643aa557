"""A box sends nothing to a replica for the rest time that the replica's refusal named.

Failure: three of nine engines refused requests and asked for 3 s of rest each time, but each box
sent to them every few tenths of a second, from 0.5 s after a refusal on. Requests were refused two
or three times in a row and then failed, while six engines served.

Boxes treated a refusal as a brief lack of room, for a few hundredths of a second and without ever
excluding the replica, and ignored the time that it named. The logs showed it as repeated attempts
marked "asks for 3.00 s of rest" at one replica within those seconds, with a rest of 0 there.
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

IN_FLIGHT_S = 0.5
"""Requests already in flight may still arrive for this long after a refusal."""

MAX_DURING_REST = 2
"""Maximum number of requests that may reach a replica during its rest."""

RETRY_SPREAD_S = 0.5
"""Refused clients are spread over this long after the rest."""

OBSERVATION_S = 3.5

PLAIN = (("/lookup/x", ""), ("/join/x", ""))
STREAMS = tuple((f"/{route}/x", f"a{n}") for route in ("items", "minutes") for n in range(4))
"""As many adapters as both engines have places: a request barred from one needs a load."""
REQUESTS = (*PLAIN, *STREAMS)


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("rest")) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for path, adapter in REQUESTS:
            deployment.send_until_served("box-1", path, adapter=adapter)
        yield deployment
        assert deployment.violations() == {}


def max_within_a_rest(arrivals: list[float]) -> int:
    """Return the largest number of arrivals within one rest; every arrival starts a rest."""
    return max(
        (
            sum(asked_at + IN_FLIGHT_S < at < asked_at + REST_S for at in arrivals)
            for asked_at in arrivals
        ),
        default=0,
    )


@pytest.mark.parametrize("name", ["rosters-1", "engine-1"])
def test_a_replica_gets_the_rest_that_it_asked_for(deployment: Deployment, name: str) -> None:
    started_at = monotonic()
    deployment.fault(name, refuse=True, asks_rest_s=REST_S)
    with Callers(deployment, ["box-1"], REQUESTS) as callers:
        time.sleep(OBSERVATION_S)
    arrivals = [at for at in deployment.counters(name)["arrivals"] if at > started_at]
    assert arrivals, "the replica got at least one request"
    assert max_within_a_rest(arrivals) <= MAX_DURING_REST
    assert "asks for 3.00 s of rest" in deployment.log("box-1")
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > len(callers.answers) / 2, "the other replicas serve"


def test_a_replica_gets_requests_again_once_its_rest_is_over(deployment: Deployment) -> None:
    deployment.fault("rosters-1", refuse=True, asks_rest_s=0.5)

    def _refusals() -> int:
        return deployment.log("box-1").count("asks for 0.50 s of rest")

    def _is_refused() -> bool:
        deployment.send("box-1", "/lookup/x")
        return _refusals() > 0

    wait_until(_is_refused, what="rosters-1 refuses a request")
    deployment.fault("rosters-1")
    served_before = len(deployment.counters("rosters-1")["runs"])

    def _serves() -> bool:
        deployment.send("box-1", "/lookup/x")
        return len(deployment.counters("rosters-1")["runs"]) > served_before

    wait_until(_serves, what="rosters-1 serves again")


def test_callers_get_a_retry_time_at_once_while_all_replicas_rest(
    deployment: Deployment,
) -> None:
    started_at = monotonic()
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, refuse=True, asks_rest_s=REST_S)

    def _refusal_by_all() -> Answer | None:
        answer = deployment.send("box-1", "/lookup/x")
        return answer if b"backing_off" in answer.body else None

    refused = wait_until(_refusal_by_all, what="both replicas rest")
    assert refused.status == 503
    retry_after_s = float(refused.headers["Retry-After"])
    assert retry_after_s >= started_at + REST_S - monotonic(), (
        "an earlier retry would be refused again"
    )
    assert retry_after_s <= REST_S + RETRY_SPREAD_S
