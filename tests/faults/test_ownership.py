"""Replica ownership under failures: killed or paused owners, outages, partitions, restarts."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until
from tests.traffic import Traffic

ENGINE = "small-engine-1"


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path, Shape.from_small(), proxied=True) as cluster:
        yield cluster


def other_boxes(cluster: Cluster, box: str) -> list[str]:
    return [name for name in cluster.shape.box_names if name != box]


def test_a_killed_owner_is_replaced(cluster: Cluster) -> None:
    owner = cluster.owner_of(ENGINE)
    with Traffic(cluster, boxes=other_boxes(cluster, owner)) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        cluster.kill(owner)
        wait_until(lambda: cluster.owner_of(ENGINE) != owner, what="another box takes over")
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 50, what="traffic flows again")
    assert traffic.wrong_outcomes == []
    assert cluster.violations() == {}


def test_a_paused_and_resumed_owner_causes_no_wrong_outcomes(cluster: Cluster) -> None:
    owner = cluster.owner_of(ENGINE)
    others = other_boxes(cluster, owner)
    with Traffic(cluster, boxes=others, adapters=8) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        cluster.pause(owner)
        wait_until(lambda: cluster.owner_of(ENGINE) != owner, what="another box takes over")
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 30, what="traffic flows again")
        cluster.resume(owner)
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 100, what="traffic flows after the resume")
    assert traffic.wrong_outcomes == []
    assert cluster.violations() == {}
    reply = cluster.complete(owner, 1)
    assert reply.status == 200, reply.body


def test_a_platform_outage_longer_than_the_lease_fails_no_request(cluster: Cluster) -> None:
    owners = {name: cluster.owner_of(name) for name in cluster.addresses.engines}
    with Traffic(cluster, adapters=4) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        cluster.fault("platform", part="table", down=True)
        began = time.monotonic()
        # Longer than three lease periods: every lease has expired by then.
        wait_until(lambda: time.monotonic() - began > 7.0, what="the outage lasts")
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 50, what="traffic flows in the outage")
        cluster.fault("platform", part="table")
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 50, what="traffic flows after the outage")
    assert traffic.wrong_outcomes == []
    refused_in_outage = [item for item in traffic.failed if item.at > began]
    assert refused_in_outage == []
    assert {name: cluster.owner_of(name) for name in owners} == owners
    assert cluster.violations() == {}


def test_lost_table_answers_cause_no_wrong_outcomes(cluster: Cluster) -> None:
    with Traffic(cluster) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        for _ in range(5):
            cluster.fault("platform", part="table", lose_answers=10)
            before = traffic.answered
            wait_until(lambda b=before: traffic.answered > b + 10, what="traffic flows")
        cluster.fault("platform", part="table")
    assert traffic.wrong_outcomes == []
    assert cluster.violations() == {}
    cluster.wait_ready()


def test_a_partitioned_zone_serves_its_loaded_adapters(cluster: Cluster) -> None:
    zone = "zone-2"
    border_routes = cluster.routes_across_border(zone)
    zone_boxes = cluster.boxes_in(zone)
    for adapter in range(2):
        assert cluster.complete(zone_boxes[0], adapter).status == 200
    cluster.cut(*border_routes, cut=True)
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > 6.0, what="the zone's leases expire")
    for box in zone_boxes:
        wait_until(
            lambda box=box: cluster.complete(box, 0).status == 200,
            what=f"{box} serves in the cut-off zone",
        )
    assert cluster.complete(zone_boxes[0], 1).text == cluster.expected(1)
    other_zone_box = cluster.boxes_in("zone-1")[0]
    assert cluster.complete(other_zone_box, 0).status == 200
    cluster.cut(*border_routes)
    cluster.wait_ready()
    assert cluster.violations() == {}


def test_the_only_box_that_cannot_reach_the_table_keeps_its_replicas(cluster: Cluster) -> None:
    owner = cluster.owner_of(ENGINE)
    cluster.cut(f"{owner}>platform", cut=True)
    began = time.monotonic()
    wait_until(lambda: time.monotonic() - began > 6.0, what="several leases pass")
    assert cluster.owner_of(ENGINE) == owner
    assert cluster.complete(owner, 1).status == 200
    assert cluster.metric(owner, "springrock_table_requests_total") > 0
    cluster.cut(f"{owner}>platform")
    assert cluster.violations() == {}


def test_engine_restarts_cause_no_wrong_outcomes(cluster: Cluster) -> None:
    with Traffic(cluster, tokens=30) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        for _ in range(3):
            cluster.restart_engine(ENGINE)
            before = traffic.answered
            wait_until(lambda b=before: traffic.answered > b + 40, what="traffic flows again")
    assert traffic.wrong_outcomes == []
    assert cluster.violations() == {}


def test_a_load_that_fails_partway_is_retried(cluster: Cluster) -> None:
    for name in cluster.addresses.engines:
        cluster.fault(name, fail_loads=1)
    reply = cluster.complete("zone-1-a", 9)
    assert reply.status == 200, reply.body
    assert reply.text == cluster.expected(9)


def test_a_request_whose_loads_always_fail_is_reported_as_not_run(cluster: Cluster) -> None:
    for name in cluster.addresses.engines:
        cluster.fault(name, fail_loads=-1)
    reply = cluster.complete("zone-1-a", 9, headers={"Springrock-Request-Id": "never"})
    assert reply.status == 503
    assert reply.error["type"] == "load_failed"
    assert reply.error["run_state"] == "not_run"
    assert int(reply.headers["Retry-After"]) >= 1
    assert cluster.runs_of("never") == 0


def test_an_owner_killed_during_a_table_outage_is_replaced_afterwards(cluster: Cluster) -> None:
    owner = cluster.owner_of(ENGINE)
    with Traffic(cluster, boxes=other_boxes(cluster, owner)) as traffic:
        wait_until(lambda: traffic.answered > 20, what="traffic flows")
        cluster.fault("platform", part="table", down=True)
        cluster.kill(owner)
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 30, what="the other replica serves")
        cluster.fault("platform", part="table")
        wait_until(
            lambda: cluster.owner_of(ENGINE) != owner,
            what="another box takes over after the outage",
        )
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 30, what="traffic flows again")
    assert traffic.wrong_outcomes == []
    assert cluster.violations() == {}
