"""A store that comes back from a copy: what is written afterwards counts on all boxes in time."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Deployment

IN_FORCE_S = 2.0
"""By so long after its acknowledgement a change counts on every box: the users' bound."""

COPY_S = 8.0
EVACUATED_S = 5.0
"""The bound on evacuations of the settings."""

AWAY_S = 1.0
RETURNS = 3
VERSION = "springrock_forwarding_configuration_version"


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("return"), boxes=6) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        yield deployment
        assert deployment.violations() == {}


def come_back(deployment: Deployment, *, copy_s: float = COPY_S) -> None:
    """Let the store be away for a moment and return from a copy; the operator writes again."""
    deployment.fault("store", busy=True)
    time.sleep(AWAY_S)
    deployment.return_from_copy(copy_s)
    deployment.fault("store")
    deployment.configure()


def in_force_after_s(deployment: Deployment, version: int, *, at_most_s: float) -> dict[str, float]:
    """Return how long each box takes to have a configuration in force, or more than the bound."""
    acknowledged_at = monotonic()
    after_s: dict[str, float] = {}
    while len(after_s) < len(deployment.clients) and monotonic() - acknowledged_at <= at_most_s:
        for box in deployment.clients.keys() - after_s.keys():
            if deployment.metric(box, VERSION) >= version:
                after_s[box] = monotonic() - acknowledged_at
        time.sleep(0.02)
    return {box: after_s.get(box, float("inf")) for box in deployment.clients}


def test_configurations_count_on_all_boxes_in_time_after_the_store_returned_from_a_copy(
    deployment: Deployment,
) -> None:
    time.sleep(COPY_S)
    for _ in range(RETURNS):
        come_back(deployment)
        for _ in range(4):
            lag_s = in_force_after_s(deployment, deployment.configure(), at_most_s=IN_FORCE_S)
            assert max(lag_s.values()) <= IN_FORCE_S, lag_s
            time.sleep(0.5)


def test_a_replica_that_leaves_after_the_store_returned_from_a_copy_gets_nothing_more(
    deployment: Deployment,
) -> None:
    time.sleep(COPY_S)
    come_back(deployment)
    deployment.fault("rosters-1", leaving=True)
    wait_until(
        lambda: deployment.counters("rosters-1")["leaving_acknowledged"],
        what="the store knows that it leaves",
    )
    acknowledged_at = monotonic()
    while monotonic() - acknowledged_at < IN_FORCE_S + 3.0:
        for box in deployment.clients:
            deployment.send(box, "/lookup/x")
    late = [
        at - acknowledged_at
        for at in deployment.counters("rosters-1")["arrivals"]
        if at > acknowledged_at + IN_FORCE_S
    ]
    assert not late


def test_an_evacuated_zone_stays_so_until_the_operator_writes_it_again(
    deployment: Deployment,
) -> None:
    time.sleep(1.0)
    zone = deployment.zones[0]
    evacuated_at = deployment.evacuate(zone)
    time.sleep(EVACUATED_S)
    come_back(deployment)
    returned_at = monotonic()
    while monotonic() - returned_at < 3.0:
        for box in deployment.clients:
            deployment.send(box, "/lookup/x")
    deployment.evacuate(zone)
    late = [at for at in deployment.arrivals(zone) if at > evacuated_at + EVACUATED_S]
    assert not late
