"""Whether a request may be sent to a replica, and which obstacle is returned if not."""

from __future__ import annotations

import pytest

from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.eligibility import (
    ANYWHERE,
    Bounds,
    Obstacle,
    may_be_loaded,
    obstacle_of,
    zone_obstacle_of,
)
from tests.factories import make_routing_state

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}


def make_record(**fields: object) -> ReplicaRecord:
    values = {"instance": "i-1", "service": "s", "address": "127.0.0.1:1", "zone": "a-2"}
    return ReplicaRecord(**{**values, **fields})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "fields, obstacle",
    [
        ({}, None),
        ({"leaving": True}, Obstacle.LEAVING),
        ({"understood": False}, Obstacle.NOT_UNDERSTOOD),
        ({"zone": "b-1"}, Obstacle.EVACUATED),
    ],
)
def test_a_replicas_record_or_zone_is_an_obstacle(
    fields: dict[str, object], obstacle: Obstacle | None
) -> None:
    routing_state = make_routing_state("a-1", regions=REGIONS, evacuated=("b-1",))
    assert (
        obstacle_of(make_record(**fields), bounds=ANYWHERE, routing_state=routing_state) is obstacle
    )


def test_a_region_that_is_not_allowed_is_an_obstacle_even_with_a_permit() -> None:
    routing_state = make_routing_state("a-1", regions=REGIONS)
    bounds = Bounds(frozenset({"b"}))
    found = obstacle_of(make_record(), bounds=bounds, routing_state=routing_state, permitted=True)
    assert found is Obstacle.OUTSIDE_REGIONS
    assert obstacle_of(make_record(zone="b-1"), bounds=bounds, routing_state=routing_state) is None


def test_another_software_version_is_an_obstacle_even_with_a_permit() -> None:
    routing_state = make_routing_state("a-1", regions=REGIONS)

    def _obstacle(software: str, needed: str | None) -> Obstacle | None:
        return obstacle_of(
            make_record(software=software),
            bounds=Bounds(software=needed),
            routing_state=routing_state,
            permitted=True,
        )

    assert _obstacle("v1", "v2") is Obstacle.OTHER_SOFTWARE
    assert _obstacle("", "v2") is Obstacle.OTHER_SOFTWARE
    assert _obstacle("v1", "") is Obstacle.OTHER_SOFTWARE
    assert _obstacle("v1", "v1") is None
    assert _obstacle("v1", None) is None


def test_a_zone_of_unknown_region_is_outside_all_regions() -> None:
    bounds = Bounds(frozenset({"a"}))
    found = zone_obstacle_of(
        "elsewhere", bounds=bounds, routing_state=make_routing_state("a-1", regions=REGIONS)
    )
    assert found is Obstacle.OUTSIDE_REGIONS


def test_a_cold_replica_gets_a_request_with_a_permit_only() -> None:
    routing_state = make_routing_state("a-1", regions=REGIONS, is_cold=lambda record: True)
    assert obstacle_of(make_record(), bounds=ANYWHERE, routing_state=routing_state) is Obstacle.COLD
    assert (
        obstacle_of(make_record(), bounds=ANYWHERE, routing_state=routing_state, permitted=True)
        is None
    )


def test_a_cool_down_is_reported_only_if_no_other_obstacle_applies() -> None:
    routing_state = make_routing_state("a-1", regions=REGIONS)
    found = obstacle_of(make_record(), bounds=ANYWHERE, routing_state=routing_state, resting=True)
    assert found is Obstacle.RESTING
    found = obstacle_of(
        make_record(leaving=True), bounds=ANYWHERE, routing_state=routing_state, resting=True
    )
    assert found is Obstacle.LEAVING


def test_a_zone_whose_evacuation_is_announced_still_serves_but_loads_no_adapters() -> None:
    routing_state = make_routing_state(
        "a-1", regions=REGIONS, announced=("a-2",), is_cold=lambda record: True
    )
    assert (
        obstacle_of(make_record(), bounds=ANYWHERE, routing_state=routing_state, permitted=True)
        is None
    )
    assert not may_be_loaded(make_record(), routing_state=routing_state)
    assert may_be_loaded(make_record(zone="a-1"), routing_state=routing_state), (
        "a cold replica warms up in the meantime"
    )
    assert not may_be_loaded(make_record(zone="a-1", leaving=True), routing_state=routing_state)
