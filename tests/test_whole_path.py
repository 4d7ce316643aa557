"""End-to-end requests with separate processes: two boxes in each of two zones, and stand-ins."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("whole-path")
    with Cluster(folder, Shape.from_small()) as cluster:
        yield cluster


def test_every_box_answers_requests_for_every_adapter(cluster: Cluster) -> None:
    for adapter in range(4):
        for box in cluster.shape.box_names:
            reply = cluster.complete(box, adapter, prompt=f"to {box}")
            assert reply.status == 200, reply.body
            assert reply.text == cluster.expected(adapter, f"to {box}")
            assert reply.headers["Springrock-Model"] == cluster.shape.model_name(adapter)
    assert cluster.violations() == {}


def test_a_stream_arrives_complete_and_closed(cluster: Cluster) -> None:
    reply = cluster.complete("zone-1-a", 1, tokens=20, stream=True)
    assert reply.status == 200
    assert reply.streamed == cluster.expected(1, tokens=20)
    assert reply.whole


def test_an_omitted_version_is_pinned_to_the_current_one(cluster: Cluster) -> None:
    reply = cluster.complete("zone-2-a", "base:style-00002")
    assert reply.headers["Springrock-Model"] == "base:style-00002@1"
    assert reply.text == cluster.expected(2)


def test_the_base_model_alone_needs_no_adapter(cluster: Cluster) -> None:
    reply = cluster.complete("zone-2-b", "base")
    assert reply.status == 200
    assert reply.headers["Springrock-Load-Stall-Ms"] == "0"


def test_a_service_call_that_is_not_repeatable_runs_once(cluster: Cluster) -> None:
    headers = {"Springrock-Request-Id": "join-1", "Springrock-Repeatable": "no"}
    first = cluster.service("zone-1-a", "join", headers=headers)
    again = cluster.service("zone-2-b", "join", headers=headers)
    assert first.status == 200
    assert again.status == 409
    assert again.error["type"] == "already_claimed"
    assert again.error["run_state"] == "unknown"
    assert cluster.counters("small-service-1")["runs"]["join-1"] == 1


def test_the_decision_is_logged_and_the_request_counted(cluster: Cluster) -> None:
    before = cluster.metric("zone-1-b", "springrock_requests_total")
    headers = {"Springrock-Request-Id": "logged-1"}
    assert cluster.complete("zone-1-b", 3, headers=headers).status == 200
    assert cluster.metric("zone-1-b", "springrock_requests_total") == before + 1

    def _is_logged() -> bool:
        lines = [line for line in cluster.log("zone-1-b") if line.get("request") == "logged-1"]
        return any(line["text"].startswith("router: Route logged-1 to ") for line in lines)

    wait_until(_is_logged, what="the routing decision is logged")


def test_an_adapter_is_loaded_once_under_a_fence(cluster: Cluster) -> None:
    assert cluster.complete("zone-1-a", 7).status == 200
    loads = [
        line
        for box in cluster.shape.box_names
        for line in cluster.log(box)
        if line.get("text", "").startswith("owner: Load style-00007@1 ")
    ]
    assert len(loads) == 1
    assert cluster.violations() == {}


def test_the_metric_shows_that_every_box_holds_its_lease(cluster: Cluster) -> None:
    for box in cluster.shape.box_names:
        assert cluster.metric(box, "springrock_lease_held") == 1
