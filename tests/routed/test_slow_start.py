"""Cold replicas with separate processes: the requests they get in any second from all boxes."""

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

COLD_PER_S = 4
MAX_PER_S = 8
"""COLD_PER_S x 1.5 + 2, by the overage and slack in SETTINGS."""

COLD_S = 5.0
SETTINGS = {"slow_start": {"overage": 1.5, "slack": 2.0}}
CLIENTS_PER_BOX = 3
"""Concurrent clients of each box: they keep warm replicas busy, so that cold ones are used."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    slow_start = {"coldStartS": COLD_S, "coldPerS": COLD_PER_S}
    with Deployment(tmp_path, boxes=3, box_settings=SETTINGS, slow_start=slow_start) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for box in deployment.clients:
            deployment.send_until_served(box, "/lookup/x")
        deployment.placer_and_other("zone-1")
        yield deployment
        assert deployment.violations() == {}


@contextmanager
def overload(
    deployment: Deployment, path: str = "/lookup/x", *, adapter: str = ""
) -> Iterator[list[Answer]]:
    """Send requests to all running boxes, with several clients a box; yield the answers."""
    answers: list[Answer] = []
    stopped = threading.Event()

    def _send_repeatedly(box: str) -> None:
        while not stopped.is_set() and deployment.processes.runs(box):
            try:
                answer = deployment.send(box, path, adapter=adapter)
            except OSError:
                continue
            answers.append(answer)
            if answer.status != 200:
                time.sleep(0.02)

    clients = [
        threading.Thread(target=_send_repeatedly, args=(box,))
        for box in deployment.clients
        for _ in range(CLIENTS_PER_BOX)
    ]
    for client in clients:
        client.start()
    try:
        yield answers
    finally:
        stopped.set()
        for client in clients:
            client.join()


def max_in_a_second(arrivals: list[float]) -> int:
    return max((bisect_left(arrivals, at + 1.0) - i for i, at in enumerate(arrivals)), default=0)


def arrivals_while_cold(deployment: Deployment, name: str) -> list[float]:
    """Wait until a cold replica is warm; return the arrival times of its requests until then."""
    wait_until(lambda: deployment.counters(name)["cold_left_s"] == 0, what=f"{name} is warm")
    counters = deployment.counters(name)
    arrivals: list[float] = counters["arrivals"]
    return [at for at in arrivals if at < counters["warm_at"]]


def start_cold(deployment: Deployment, name: str, service: str, **settings: object) -> None:
    deployment.start_replica(name, service, ZONES[0], cold_s=COLD_S, **settings)
    wait_until(lambda: deployment.answers(name), what=f"{name} runs")


def test_a_replica_that_comes_cold_gets_no_more_than_it_bears_and_all_of_it_when_warm(
    deployment: Deployment,
) -> None:
    with overload(deployment) as answers:
        start_cold(deployment, "rosters-3", "rosters")
        cold = arrivals_while_cold(deployment, "rosters-3")
        wait_until(
            lambda: max_in_a_second(deployment.counters("rosters-3")["arrivals"]) > 2 * MAX_PER_S,
            what="the warm replica is used fully",
        )
    assert 0 < max_in_a_second(cold) <= MAX_PER_S
    assert len(cold) >= 0.5 * COLD_PER_S * (COLD_S - 1)
    assert {answer.status for answer in answers} == {200}


def test_callers_get_a_retry_time_when_all_replicas_are_cold(deployment: Deployment) -> None:
    for number in (1, 2):
        deployment.fault(f"rosters-{number}", leaving=True)
    wait_until(
        lambda: all(
            deployment.metric(box, "springrock_forwarding_replicas") == 2
            for box in deployment.clients
        ),
        what="only engines are left",
    )
    with overload(deployment) as answers:
        start_cold(deployment, "rosters-3", "rosters")
        cold = arrivals_while_cold(deployment, "rosters-3")
    assert 0 < max_in_a_second(cold) <= MAX_PER_S
    assert len(cold) >= 0.7 * COLD_PER_S * (COLD_S - 1)
    refused = [answer for answer in answers if answer.status != 200]
    assert refused
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    assert any('"reason":"cold"' in deployment.log(box) for box in deployment.clients)


def test_the_bound_holds_when_the_placer_is_killed_during_a_cold_start(
    deployment: Deployment,
) -> None:
    placer, _ = deployment.placer_and_other("zone-1")
    with overload(deployment):
        start_cold(deployment, "rosters-3", "rosters")
        wait_until(
            lambda: deployment.counters("rosters-3")["arrivals"],
            what="the cold replica gets requests",
        )
        deployment.processes.kill(placer)
        del deployment.clients[placer]
        killed_at = monotonic()
        cold = arrivals_while_cold(deployment, "rosters-3")
    assert max_in_a_second(cold) <= MAX_PER_S
    assert any(at > killed_at + 0.5 for at in cold), "another placer grants requests"


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
    with overload(deployment, "/items/x", adapter="a1"):
        start_cold(deployment, "engine-3", "language", base_model=MODEL)
        cold = arrivals_while_cold(deployment, "engine-3")
    assert deployment.holders("a1") == ["engine-3"], "the adapter was loaded during the cold start"
    assert 0 < max_in_a_second(cold) <= MAX_PER_S
    assert len(cold) >= 0.7 * COLD_PER_S * (COLD_S - 2)


def test_a_replica_that_restarts_cold_with_its_old_row_is_suspected_at_once(
    deployment: Deployment,
) -> None:
    deployment.start_replica("rosters-3", "rosters", ZONES[0], instance="i-lasting")
    with overload(deployment):
        wait_until(
            lambda: (
                deployment.answers("rosters-3")
                and len(deployment.counters("rosters-3")["arrivals"]) > 2 * MAX_PER_S
            ),
            what="the replica is used as a warm one",
        )
        deployment.processes.kill("rosters-3")
        # Metrics are read, as a box that peers notify before it tries the replica logs nothing.
        wait_until(
            lambda: all(
                deployment.metric(box, "springrock_slow_start_cold_replicas") == 1
                for box in deployment.clients
            ),
            what="all boxes treat the replica as cold",
        )
        start_cold(deployment, "rosters-3", "rosters", instance="i-lasting")
        cold = arrivals_while_cold(deployment, "rosters-3")
        wait_until(
            lambda: max_in_a_second(deployment.counters("rosters-3")["arrivals"]) > 2 * MAX_PER_S,
            what="the warm replica is used fully",
        )
    assert 0 < max_in_a_second(cold) <= MAX_PER_S
