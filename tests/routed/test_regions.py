"""Two regions with one zone each: requests that are restricted to a region stay in it."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from springrock.placement.residents_publisher import FAR_PUBLISH_INTERVAL_S
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, ROUTES, Deployment, route

RESTRICTED_ROUTES = [
    route("south", "safe", "rosters", allowedRegions=["south"]),
    route("south-items", "streaming", "language", resumable=True, allowedRegions=["south"]),
    route("east", "safe", "rosters", allowedRegions=["east"]),
    route("east-items", "streaming", "language", allowedRegions=["east"]),
]
BYTES_METRIC = 'springrock_bytes_away_total{distance="other_region",kind="%s"}'


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    regions = {"zone-1": "north", "zone-2": "south"}
    with Deployment(tmp_path_factory.mktemp("regions"), regions=regions) as deployment:
        deployment.configure([*ROUTES, *RESTRICTED_ROUTES])
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.violations() == {}


def ran_at(deployment: Deployment, request_id: str) -> list[str]:
    """Return the replicas that ran a request."""
    names = [name for name in deployment.addresses if name != "store"]
    return [name for name in names if deployment.counters(name)["runs"].get(request_id)]


def test_a_restricted_request_runs_in_its_region_whichever_box_receives_it(
    deployment: Deployment,
) -> None:
    for box in deployment.clients:
        for _ in range(5):
            request_id = deployment.new_id()
            assert deployment.send(box, "/south/x", request_id=request_id).status == 200
            assert ran_at(deployment, request_id) == ["rosters-2"]


def test_an_adapter_of_a_restricted_request_is_loaded_in_its_region(deployment: Deployment) -> None:
    answer = deployment.send_until_served("box-1", "/south-items/x", adapter="a1")
    assert answer.is_complete
    assert deployment.holders("a1") == ["engine-2"]


def test_an_adapter_that_stands_nowhere_is_brought_in_the_region_of_its_caller(
    deployment: Deployment,
) -> None:
    deployment.placer_and_other("zone-1")
    for box, adapter, engine in (("box-1", "a2", "engine-1"), ("box-2", "a3", "engine-2")):
        assert deployment.send_until_served(box, "/items/x", adapter=adapter).is_complete
        assert deployment.holders(adapter) == [engine]


def test_an_adapter_in_demand_from_another_region_is_copied_there(deployment: Deployment) -> None:
    long_prompt = {"Springrock-Prompt-Prefix": "p1:10000"}
    deployment.send_until_served("box-1", "/items/x", adapter="a5", extra_headers=long_prompt)
    assert deployment.holders("a5") == ["engine-1"]
    published_at = monotonic() + 1.5 * FAR_PUBLISH_INTERVAL_S
    wait_until(
        lambda: monotonic() > published_at,
        what="boxes of the other region have received the residents",
    )

    def _copied() -> bool:
        deployment.send_until_served("box-2", "/items/x", adapter="a5", extra_headers=long_prompt)
        return deployment.holders("a5") == ["engine-1", "engine-2"]

    wait_until(_copied, what="the adapter is copied")
    assigned = [
        line
        for box in deployment.clients
        for line in deployment.log(box).splitlines()
        if "Assigned an adapter" in line and "/a5" in line
    ]
    assert any(json.loads(line)["saves"] > 0 for line in assigned)


def test_a_request_without_a_replica_in_its_regions_is_refused_and_does_not_run(
    deployment: Deployment,
) -> None:
    for path, adapter in (("/east/x", ""), ("/east-items/x", "a4")):
        request_id = deployment.new_id()
        answer = deployment.send("box-1", path, request_id=request_id, adapter=adapter)
        assert answer.status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert ran_at(deployment, request_id) == []
        line = f'"request":"{request_id}"'
        wait_until(
            lambda line=line: any(
                line in logged and "outside_regions" in logged
                for logged in deployment.log("box-1").splitlines()
            ),
            what="the log names the reason",
        )


def test_bytes_to_the_other_region_are_counted_by_kind(deployment: Deployment) -> None:
    before = deployment.metric("box-1", BYTES_METRIC % "requests")
    assert deployment.send("box-1", "/south/x", body=b"x" * 2000).status == 200
    wait_until(
        lambda: deployment.metric("box-1", BYTES_METRIC % "requests") - before > 2000,
        what="the request is counted",
    )
    for kind in ("answers", "links"):
        assert deployment.metric("box-1", BYTES_METRIC % kind) > 0
