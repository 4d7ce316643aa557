"""A replica that names a limit gets no more requests than that from all boxes together.

What users saw: two of nine engines said in all their answers that they take about one request a
second; they went on getting as many as the other engines, from boxes that had passed it on.

Order of events: an engine that is in need answers a request and names its limit; the boxes that
passed such answers on, and their zones' placers, go on choosing it by what runs there.

Cause: the limit was read by no part. What binds the sum over all boxes came from the configuration
alone (a cold start, a quota); what a replica says itself bound at most the box that heard it.

Evidence: with the limit in the logs, each box's attempts show "takes 1.50 requests a second" at one
replica many times a second, and the placers' lines go on granting it.
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
BOUND = LIMIT_PER_S * WINDOW_S * 1.5 + 5
"""So many requests may reach it in any window, whoever sends them."""

KNOWN_AFTER_S = 1.0
"""By then all boxes have passed on an answer that names the limit, or been told of it."""

WATCHED_S = 7.0

PLAIN = (("/lookup/x", ""), ("/join/x", ""))
STREAMS = tuple((f"/{route}/x", f"a{n}") for route in ("items", "minutes") for n in range(2))
WISHES = (*PLAIN, *STREAMS)


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("limit"), boxes=4) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for path, adapter in WISHES:
            deployment.served("box-1", path, adapter=adapter)
        yield deployment
        assert deployment.violations() == {}


@contextmanager
def limited(deployment: Deployment, *replicas: str) -> Iterator[float]:
    """Let replicas name the limit; yield the time from which on it holds."""
    for name in replicas:
        deployment.fault(name, limit_per_s=LIMIT_PER_S)
    yield monotonic() + KNOWN_AFTER_S
    for name in replicas:
        deployment.fault(name)


def most_in_a_window(arrivals: list[float]) -> int:
    """The most requests that came within one window."""
    return max(
        (bisect_left(arrivals, at + WINDOW_S) - i for i, at in enumerate(arrivals)), default=0
    )


def arrivals_since(deployment: Deployment, name: str, since: float) -> list[float]:
    """When a replica got requests, from a time on."""
    return [at for at in deployment.counters(name)["arrivals"] if at > since]


@pytest.mark.parametrize("name", ["rosters-1", "engine-1"])
def test_a_replica_that_names_a_limit_gets_no_more_and_is_not_forsaken(
    deployment: Deployment, name: str
) -> None:
    with (
        limited(deployment, name) as since,
        Callers(deployment, deployment.clients, WISHES) as callers,
    ):
        time.sleep(KNOWN_AFTER_S + WATCHED_S)
        arrivals = arrivals_since(deployment, name, since)
    assert most_in_a_window(arrivals) <= BOUND
    assert len(arrivals) >= LIMIT_PER_S * WATCHED_S / 2, "it bears some, and gets them"
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > 0.9 * len(callers.answers), "the other replicas serve"


def test_where_all_name_a_limit_callers_are_told_at_once_when_to_come_back(
    deployment: Deployment,
) -> None:
    names = ("rosters-1", "rosters-2")
    with (
        limited(deployment, *names) as since,
        Callers(deployment, deployment.clients, WISHES) as callers,
    ):
        time.sleep(KNOWN_AFTER_S + WATCHED_S)
        arrivals = {name: arrivals_since(deployment, name, since) for name in names}
    for name in names:
        assert most_in_a_window(arrivals[name]) <= BOUND
        assert len(arrivals[name]) >= LIMIT_PER_S * WATCHED_S / 2
    refused = [answer for answer in callers.answers if answer.status != 200]
    assert refused and {answer.status for answer in refused} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    assert any(b"limited" in answer.body for answer in refused)


def test_a_replica_that_names_its_limit_no_more_gets_all_it_can(deployment: Deployment) -> None:
    with limited(deployment, "rosters-1"), Callers(deployment, deployment.clients, WISHES):
        time.sleep(KNOWN_AFTER_S)
    with Callers(deployment, deployment.clients, WISHES):
        began_at = monotonic()
        wait_until(
            lambda: most_in_a_window(arrivals_since(deployment, "rosters-1", began_at)) > 2 * BOUND,
            what="rosters-1 is used fully",
        )


def test_a_placer_that_is_killed_is_followed_by_one_that_counts_on(deployment: Deployment) -> None:
    placer, _ = deployment.placer_and_other("zone-1")
    names = ("rosters-1", "engine-1")
    others = [box for box in deployment.clients if box != placer]
    with limited(deployment, *names) as since, Callers(deployment, others, WISHES) as callers:
        time.sleep(KNOWN_AFTER_S + 2.0)
        deployment.processes.kill(placer)
        killed_at = monotonic()
        time.sleep(WATCHED_S)
        arrivals = {name: arrivals_since(deployment, name, since) for name in names}
    for name in names:
        assert most_in_a_window(arrivals[name]) <= BOUND
        assert sum(at > killed_at for at in arrivals[name]) >= LIMIT_PER_S * WATCHED_S / 3
    served = sum(answer.status == 200 for answer in callers.answers)
    assert served > 0.9 * len(callers.answers)


def test_beside_placers_that_know_no_limits_a_box_keeps_to_its_share(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    earlier = build_at(BEFORE_LIMITS, tmp_path_factory.mktemp("build"))
    builds = {"box-1": earlier, "box-2": earlier}
    folder = tmp_path_factory.mktemp("mixed")
    names = ("rosters-1", "engine-1")
    with Deployment(folder, boxes=2, build_of=builds) as mixed:
        mixed.configure()
        mixed.wait_ready(replicas=REPLICAS)
        for zone in ZONES:
            mixed.placer_and_other(zone)
        mixed.start_box("box-3")
        wait_until(lambda: mixed.is_ready("box-3"), what="box-3 is ready")
        with limited(mixed, *names) as since, Callers(mixed, ["box-3"], WISHES) as callers:
            time.sleep(KNOWN_AFTER_S + WATCHED_S)
            arrivals = {name: arrivals_since(mixed, name, since) for name in names}
        assert all(most_in_a_window(arrivals[name]) <= BOUND for name in names)
        served = sum(answer.status == 200 for answer in callers.answers)
        assert served > 0.9 * len(callers.answers)
        assert mixed.violations() == {}
