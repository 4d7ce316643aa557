"""A replica that names a rate limit gets no more requests than that from all boxes together.

Failure: two of nine engines named a limit of about one request a second in all their answers, but
got as many requests as the other engines, even from boxes that had forwarded such answers. The
limit was ignored: limits on the sum over all boxes came only from the configuration (cold starts,
quotas), and what a replica said itself affected at most the box that received it.

The logs showed it as attempts marked "takes 1.50 requests a second" at one replica many times a
second, while placers still granted it.
"""

from __future__ import annotations

import time
from bisect import bisect_left
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from springrock.clock import monotonic
from tests.builds import BEFORE_LIMITS, build_at
from tests.processes import wait_until
from tests.routed.callers import Callers
from tests.routed.deployment import REPLICAS, ZONES, Deployment

LIMIT_PER_S = 1.5
WINDOW_S = 4.0
MAX_PER_WINDOW = LIMIT_PER_S * WINDOW_S * 1.5 + 5
"""Maximum number of requests that may reach the replica in any window, from all boxes."""

LIMIT_EFFECTIVE_S = 1.0
"""By then all boxes have forwarded an answer that names the limit, or were notified of it."""

OBSERVATION_S = 7.0

PLAIN = (("/lookup/x", ""), ("/join/x", ""))
STREAMS = tuple((f"/{route}/x", f"a{n}") for route in ("items", "minutes") for n in range(2))
REQUESTS = (*PLAIN, *STREAMS)


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("limit"), boxes=4) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for path, adapter in REQUESTS:
            deployment.send_until_served("box-1", path, adapter=adapter)
        yield deployment
        assert deployment.violations() == {}


@contextmanager
def limited(deployment: Deployment, *replicas: str) -> Iterator[float]:
    """Let replicas name the limit; yield the time from which it must be respected."""
    for name in replicas:
        deployment.fault(name, limit_per_s=LIMIT_PER_S)
    yield monotonic() + LIMIT_EFFECTIVE_S
    for name in replicas:
        deployment.fault(name)


def max_in_window(arrivals: list[float]) -> int:
    """Return the largest number of requests that arrived within one window."""
    return max(
        (bisect_left(arrivals, at + WINDOW_S) - i for i, at in enumerate(arrivals)), default=0
    )


def arrivals_since(deployment: Deployment, name: str, since: float) -> list[float]:
    """Return the arrival times of requests at a replica after a time."""
    return [at for at in deployment.counters(name)["arrivals"] if at > since]


@pytest.mark.parametrize("name", ["rosters-1", "engine-1"])
def test_a_replica_that_names_a_limit_gets_no_more_but_is_still_used(
    deployment: Deployment, name: str
) -> None:
    with (
        limited(deployment, name) as since,
        Callers(deployment, deployment.clients, REQUESTS) as callers,
    ):
        time.sleep(LIMIT_EFFECTIVE_S + OBSERVATION_S)
        arrivals = arrivals_since(deployment, name, since)
    assert max_in_window(arrivals) <= MAX_PER_WINDOW
    assert len(arrivals) >= LIMIT_PER_S * OBSERVATION_S / 2, (
        "it gets the requests that its limit allows"
    )
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > 0.9 * len(callers.answers), "the other replicas serve"


def test_callers_get_a_retry_time_at_once_when_all_replicas_name_a_limit(
    deployment: Deployment,
) -> None:
    names = ("rosters-1", "rosters-2")
    with (
        limited(deployment, *names) as since,
        Callers(deployment, deployment.clients, REQUESTS) as callers,
    ):
        time.sleep(LIMIT_EFFECTIVE_S + OBSERVATION_S)
        arrivals = {name: arrivals_since(deployment, name, since) for name in names}
    for name in names:
        assert max_in_window(arrivals[name]) <= MAX_PER_WINDOW
        assert len(arrivals[name]) >= LIMIT_PER_S * OBSERVATION_S / 2
    refused = [answer for answer in callers.answers if answer.status != 200]
    assert refused and {answer.status for answer in refused} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    assert any(b"limited" in answer.body for answer in refused)


def test_a_replica_that_no_longer_names_a_limit_is_used_fully(deployment: Deployment) -> None:
    with limited(deployment, "rosters-1"), Callers(deployment, deployment.clients, REQUESTS):
        time.sleep(LIMIT_EFFECTIVE_S)
    with Callers(deployment, deployment.clients, REQUESTS):
        started_at = monotonic()
        wait_until(
            lambda: (
                max_in_window(arrivals_since(deployment, "rosters-1", started_at))
                > 2 * MAX_PER_WINDOW
            ),
            what="rosters-1 is used fully",
        )


def test_the_limit_is_respected_after_the_placer_is_killed(deployment: Deployment) -> None:
    placer, _ = deployment.placer_and_other("zone-1")
    names = ("rosters-1", "engine-1")
    others = [box for box in deployment.clients if box != placer]
    with limited(deployment, *names) as since, Callers(deployment, others, REQUESTS) as callers:
        time.sleep(LIMIT_EFFECTIVE_S + 2.0)
        deployment.processes.kill(placer)
        killed_at = monotonic()
        time.sleep(OBSERVATION_S)
        arrivals = {name: arrivals_since(deployment, name, since) for name in names}
    for name in names:
        assert max_in_window(arrivals[name]) <= MAX_PER_WINDOW
        assert sum(at > killed_at for at in arrivals[name]) >= LIMIT_PER_S * OBSERVATION_S / 3
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > 0.9 * len(callers.answers)


def test_a_box_keeps_to_its_share_under_placers_of_a_build_without_limits(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    build_before_limits = build_at(BEFORE_LIMITS, tmp_path_factory.mktemp("build"))
    builds = {"box-1": build_before_limits, "box-2": build_before_limits}
    folder = tmp_path_factory.mktemp("mixed")
    names = ("rosters-1", "engine-1")
    with Deployment(folder, boxes=2, build_of=builds) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for zone in ZONES:
            deployment.placer_and_other(zone)
        deployment.start_box("box-3")
        wait_until(lambda: deployment.is_ready("box-3"), what="box-3 is ready")
        with (
            limited(deployment, *names) as since,
            Callers(deployment, ["box-3"], REQUESTS) as callers,
        ):
            time.sleep(LIMIT_EFFECTIVE_S + OBSERVATION_S)
            arrivals = {name: arrivals_since(deployment, name, since) for name in names}
        assert all(max_in_window(arrivals[name]) <= MAX_PER_WINDOW for name in names)
        served = sum(answer.status == 200 for answer in callers.answers)
        assert served > 0.9 * len(callers.answers)
        assert deployment.violations() == {}
