"""Cold replicas with separate processes: what they get in any second, from all boxes together."""

from __future__ import annotations

import threading
import time
from bisect import bisect_left
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.deployment import MODEL, REPLICAS, ZONES, Answer, Deployment

PER_S = 4
BOUND = 8
"""PER_S x 1.5 + 2, as the settings below say."""

COLD_S = 5.0
SETTINGS = {"slow_start": {"overage": 1.5, "slack": 2.0}}
CLIENTS = 3
"""At each box at once: the warm replicas are busy, so that a cold one is of use."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    slow_start = {"coldStartS": COLD_S, "coldPerS": PER_S}
    with Deployment(tmp_path, boxes=3, more_settings=SETTINGS, slow_start=slow_start) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for box in deployment.clients:
            deployment.served(box, "/lookup/x")
        deployment.placer_and_other("zone-1")
        yield deployment
        assert deployment.violations() == {}


@contextmanager
def pressing(
    deployment: Deployment, path: str = "/lookup/x", *, adapter: str = ""
) -> Iterator[list[Answer]]:
    """Send at all boxes that run, one request after the other from each client."""
    answers: list[Answer] = []
    ended = threading.Event()

    def _press(box: str) -> None:
        while not ended.is_set() and deployment.processes.runs(box):
            try:
                answer = deployment.send(box, path, adapter=adapter)
            except OSError:
                continue
            answers.append(answer)
            if answer.status != 200:
                time.sleep(0.02)

    clients = [
        threading.Thread(target=_press, args=(box,))
        for box in deployment.clients
        for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    try:
        yield answers
    finally:
        ended.set()
        for client in clients:
            client.join()


def most_in_a_second(arrivals: list[float]) -> int:
    return max((bisect_left(arrivals, at + 1.0) - i for i, at in enumerate(arrivals)), default=0)


def arrivals_while_cold(deployment: Deployment, name: str) -> list[float]:
    """Wait until a replica that started cold is warm; return when it got requests until then."""
    wait_until(lambda: deployment.counters(name)["cold_left_s"] == 0, what=f"{name} is warm")
    counters = deployment.counters(name)
    arrivals: list[float] = counters["arrivals"]
    return [at for at in arrivals if at < counters["warm_at"]]


def start_cold(deployment: Deployment, name: str, service: str, **more: object) -> None:
    deployment.start_replica(name, service, ZONES[0], cold_s=COLD_S, **more)
    wait_until(lambda: deployment.answers(name), what=f"{name} runs")


def test_a_replica_that_comes_cold_gets_no_more_than_it_bears_and_all_of_it_when_warm(
    deployment: Deployment,
) -> None:
    with pressing(deployment) as answers:
        start_cold(deployment, "rosters-3", "rosters")
        cold = arrivals_while_cold(deployment, "rosters-3")
        wait_until(
            lambda: most_in_a_second(deployment.counters("rosters-3")["arrivals"]) > 2 * BOUND,
            what="the warm replica is used fully",
        )
    assert 0 < most_in_a_second(cold) <= BOUND
    assert len(cold) >= 0.5 * PER_S * (COLD_S - 1)
    assert {answer.status for answer in answers} == {200}


def test_where_all_are_cold_callers_are_told_when_to_come_back(deployment: Deployment) -> None:
    for number in (1, 2):
        deployment.fault(f"rosters-{number}", leaving=True)
    wait_until(
        lambda: all(
            deployment.metric(box, "springrock_forwarding_replicas") == 2
            for box in deployment.clients
        ),
        what="only engines are left",
    )
    with pressing(deployment) as answers:
        start_cold(deployment, "rosters-3", "rosters")
        cold = arrivals_while_cold(deployment, "rosters-3")
    assert 0 < most_in_a_second(cold) <= BOUND
    assert len(cold) >= 0.7 * PER_S * (COLD_S - 1)
    refused = [answer for answer in answers if answer.status != 200]
    assert refused
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    assert any('"reason":"cold"' in deployment.log(box) for box in deployment.clients)


def test_a_placer_that_is_killed_meanwhile_is_followed_by_one_that_begins_with_nothing(
    deployment: Deployment,
) -> None:
    placer, _ = deployment.placer_and_other("zone-1")
    with pressing(deployment):
        start_cold(deployment, "rosters-3", "rosters")
        wait_until(lambda: deployment.counters("rosters-3")["arrivals"], what="it gets requests")
        deployment.processes.kill(placer)
        del deployment.clients[placer]
        killed_at = monotonic()
        cold = arrivals_while_cold(deployment, "rosters-3")
    assert most_in_a_second(cold) <= BOUND
    assert any(at > killed_at + 0.5 for at in cold), "another placer counts"


def test_a_cold_engine_gets_requests_with_its_adapter_within_the_bound(
    deployment: Deployment,
) -> None:
    deployment.fault("engine-1", leaving=True)
    deployment.fault("engine-2", leaving=True)
    wait_until(
        lambda: all(
            deployment.metric(box, "springrock_forwarding_replicas") == 2
            for box in deployment.clients
        ),
        what="no engine is left",
    )
    with pressing(deployment, "/items/x", adapter="a1"):
        start_cold(deployment, "engine-3", "language", base_model=MODEL)
        cold = arrivals_while_cold(deployment, "engine-3")
    assert deployment.holders("a1") == ["engine-3"], "it was loaded meanwhile"
    assert 0 < most_in_a_second(cold) <= BOUND
    assert len(cold) >= 0.7 * PER_S * (COLD_S - 2)


def test_a_replica_that_was_down_and_comes_back_cold_under_its_old_row_is_doubted_at_once(
    deployment: Deployment,
) -> None:
    deployment.start_replica("rosters-3", "rosters", ZONES[0], instance="i-lasting")
    with pressing(deployment):
        wait_until(
            lambda: (
                deployment.answers("rosters-3")
                and len(deployment.counters("rosters-3")["arrivals"]) > 2 * BOUND
            ),
            what="it is used as a warm one",
        )
        deployment.processes.kill("rosters-3")
        # A box that is told of the doubt before it has tried the replica itself writes no line.
        wait_until(
            lambda: all(
                deployment.metric(box, "springrock_slow_start_cold_replicas") == 1
                for box in deployment.clients
            ),
            what="all boxes doubt it",
        )
        start_cold(deployment, "rosters-3", "rosters", instance="i-lasting")
        cold = arrivals_while_cold(deployment, "rosters-3")
        wait_until(
            lambda: most_in_a_second(deployment.counters("rosters-3")["arrivals"]) > 2 * BOUND,
            what="the warm replica is used fully",
        )
    assert 0 < most_in_a_second(cold) <= BOUND
