"""After the store is restored from a copy, later writes take effect on all boxes in time."""

from __future__ import annotations

import time
from collections.abc import Collection, Iterator

import pytest

from springrock.clock import monotonic
from tests.builds import LAST_RELEASE, build_at
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Deployment

EFFECTIVE_WITHIN_S = 2.0
"""A change takes effect on every box within this time of its acknowledgement: the users' bound."""

COPY_AGE_S = 8.0
EVACUATION_BOUND_S = 5.0
"""The bound on evacuations in the settings."""

OUTAGE_S = 1.0
RESTORES = 3
CURRENT_BOXES = ("box-3", "box-4")
VERSION_METRIC = "springrock_forwarding_configuration_version"


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("return"), boxes=6) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        yield deployment
        assert deployment.violations() == {}


def restore_store(deployment: Deployment, *, copy_age_s: float = COPY_AGE_S) -> None:
    """Restore the store from a copy during a short outage, then write a configuration."""
    deployment.fault("store", busy=True)
    time.sleep(OUTAGE_S)
    deployment.restore_from_copy(copy_age_s)
    deployment.fault("store")
    deployment.configure()


def configuration_delays_s(deployment: Deployment, boxes: Collection[str]) -> dict[str, float]:
    """Return how long each box takes to apply a new configuration; infinity beyond the bound."""
    version = deployment.configure()
    acknowledged_at = monotonic()
    delays_s: dict[str, float] = {}
    while len(delays_s) < len(boxes) and monotonic() - acknowledged_at <= EFFECTIVE_WITHIN_S:
        for box in set(boxes) - delays_s.keys():
            if deployment.metric(box, VERSION_METRIC) >= version:
                delays_s[box] = monotonic() - acknowledged_at
        time.sleep(0.02)
    return {box: delays_s.get(box, float("inf")) for box in boxes}


def test_all_boxes_apply_configurations_in_time_after_the_store_is_restored(
    deployment: Deployment,
) -> None:
    time.sleep(COPY_AGE_S)
    for _ in range(RESTORES):
        restore_store(deployment)
        for _ in range(4):
            lag_s = configuration_delays_s(deployment, deployment.clients)
            assert max(lag_s.values()) <= EFFECTIVE_WITHIN_S, lag_s
            time.sleep(0.5)


def test_boxes_miss_no_configuration_under_placers_of_the_previous_release(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    previous_build = build_at(LAST_RELEASE, tmp_path_factory.mktemp("build"))
    placer_builds = {"box-1": previous_build, "box-2": previous_build}
    folder = tmp_path_factory.mktemp("mixed")
    with Deployment(folder, boxes=len(placer_builds), build_of=placer_builds) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        for box in CURRENT_BOXES:
            deployment.start_box(box)
        deployment.wait_ready(replicas=REPLICAS)
        time.sleep(COPY_AGE_S)
        for _ in range(RESTORES):
            restore_store(deployment)
            for _ in range(4):
                lag_s = configuration_delays_s(deployment, CURRENT_BOXES)
                assert max(lag_s.values()) <= EFFECTIVE_WITHIN_S, lag_s
                time.sleep(0.5)


def test_a_replica_that_leaves_after_the_store_is_restored_gets_no_more_requests(
    deployment: Deployment,
) -> None:
    time.sleep(COPY_AGE_S)
    restore_store(deployment)
    deployment.fault("rosters-1", leaving=True)
    wait_until(
        lambda: deployment.counters("rosters-1")["leaving_acknowledged"],
        what="the store has acknowledged that it is leaving",
    )
    acknowledged_at = monotonic()
    while monotonic() - acknowledged_at < EFFECTIVE_WITHIN_S + 3.0:
        for box in deployment.clients:
            deployment.send(box, "/lookup/x")
    late = [
        at - acknowledged_at
        for at in deployment.counters("rosters-1")["arrivals"]
        if at > acknowledged_at + EFFECTIVE_WITHIN_S
    ]
    assert not late


def test_an_evacuated_zone_stays_evacuated_until_the_row_is_written_again(
    deployment: Deployment,
) -> None:
    time.sleep(1.0)
    zone = deployment.zones[0]
    evacuated_at = deployment.evacuate(zone)
    time.sleep(EVACUATION_BOUND_S)
    restore_store(deployment)
    restored_at = monotonic()
    while monotonic() - restored_at < 3.0:
        for box in deployment.clients:
            deployment.send(box, "/lookup/x")
    deployment.evacuate(zone)
    late = [at for at in deployment.arrivals(zone) if at > evacuated_at + EVACUATION_BOUND_S]
    assert not late
