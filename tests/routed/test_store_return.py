"""A store that comes back from a copy: what is written afterwards counts on all boxes in time."""

from __future__ import annotations

import time
from collections.abc import Collection, Iterator

import pytest

from springrock.clock import monotonic
from tests.builds import LAST_LANDING, build_at
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Deployment

IN_FORCE_S = 2.0
"""By so long after its acknowledgement a change counts on every box: the users' bound."""

COPY_S = 8.0
EVACUATED_S = 5.0
"""The bound on evacuations of the settings."""

AWAY_S = 1.0
RETURNS = 3
NEW_BOXES = ("box-3", "box-4")
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


def in_force_after_s(deployment: Deployment, boxes: Collection[str]) -> dict[str, float]:
    """Return how long boxes take to have a new configuration in force, or more than the bound."""
    version = deployment.configure()
    acknowledged_at = monotonic()
    after_s: dict[str, float] = {}
    while len(after_s) < len(boxes) and monotonic() - acknowledged_at <= IN_FORCE_S:
        for box in set(boxes) - after_s.keys():
            if deployment.metric(box, VERSION) >= version:
                after_s[box] = monotonic() - acknowledged_at
        time.sleep(0.02)
    return {box: after_s.get(box, float("inf")) for box in boxes}


def test_configurations_count_on_all_boxes_in_time_after_the_store_returned_from_a_copy(
    deployment: Deployment,
) -> None:
    time.sleep(COPY_S)
    for _ in range(RETURNS):
        come_back(deployment)
        for _ in range(4):
            lag_s = in_force_after_s(deployment, deployment.clients)
            assert max(lag_s.values()) <= IN_FORCE_S, lag_s
            time.sleep(0.5)


def test_beside_placers_of_the_last_landing_boxes_of_this_build_miss_no_configuration(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    earlier = build_at(LAST_LANDING, tmp_path_factory.mktemp("build"))
    placing = {"box-1": earlier, "box-2": earlier}
    folder = tmp_path_factory.mktemp("mixed")
    with Deployment(folder, boxes=len(placing), build_of=placing) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        for box in NEW_BOXES:
            deployment.start_box(box)
        deployment.wait_ready(replicas=REPLICAS)
        time.sleep(COPY_S)
        for _ in range(RETURNS):
            come_back(deployment)
            for _ in range(4):
                lag_s = in_force_after_s(deployment, NEW_BOXES)
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
