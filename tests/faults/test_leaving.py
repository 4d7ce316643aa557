"""A few seconds after an engine is listed as leaving, drained or killed, it gets no requests."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until
from tests.traffic import Traffic

ENGINE = "small-engine-1"
BOXES = ("zone-1-a", "zone-1-b", "zone-2-a", "zone-2-b")


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        yield cluster
        assert cluster.violations() == {}


def runs_on(cluster: Cluster, engine: str) -> int:
    """Return how many requests the engine has run."""
    return cluster.counters(engine)["runs"]


def assert_starts_no_runs(cluster: Cluster, traffic: Traffic, engine: str) -> None:
    """Check that the engine starts no request while other engines answer many."""
    runs = runs_on(cluster, engine)
    before = traffic.answered
    wait_until(lambda: traffic.answered > before + 60, what="other engines answer requests")
    assert runs_on(cluster, engine) == runs


def set_listed_state(cluster: Cluster, name: str, state: str) -> None:
    """Set the state of an upstream in the platform's list."""
    body = json.dumps({"name": name, "kind": "upstream", "state": state}).encode()
    url = f"http://{cluster.addresses.platform}/list"
    assert cluster.pool.request("POST", url, body=body).status == 200


def test_an_engine_listed_as_leaving_gets_no_new_requests(cluster: Cluster) -> None:
    with Traffic(cluster) as traffic:
        wait_until(lambda: runs_on(cluster, ENGINE) > 10, what="the engine is used")
        set_listed_state(cluster, ENGINE, "leaving")
        began = time.monotonic()
        wait_until(lambda: time.monotonic() - began > 3.0, what="a few seconds pass")
        assert_starts_no_runs(cluster, traffic, ENGINE)
        set_listed_state(cluster, ENGINE, "live")
        runs = runs_on(cluster, ENGINE)
        wait_until(lambda: runs_on(cluster, ENGINE) > runs + 5, what="the engine is used again")
    assert traffic.wrong_outcomes == []
    assert traffic.failed == []


def test_a_drained_engine_gets_no_new_requests(cluster: Cluster) -> None:
    with Traffic(cluster) as traffic:
        wait_until(lambda: runs_on(cluster, ENGINE) > 10, what="the engine is used")
        answer = cluster.ask(BOXES[3], f"drain {ENGINE}", wait_s=5.0)
        assert "in force on every box" in answer.text
        assert_starts_no_runs(cluster, traffic, ENGINE)
        cluster.ask(BOXES[0], f"undrain {ENGINE}", wait_s=5.0)
        runs = runs_on(cluster, ENGINE)
        wait_until(lambda: runs_on(cluster, ENGINE) > runs + 5, what="the engine is used again")
    assert traffic.wrong_outcomes == []
    assert traffic.failed == []


def test_a_drain_lets_running_requests_finish(cluster: Cluster) -> None:
    cluster.ask(BOXES[0], "drain small-engine-2", wait_s=5.0)
    call = cluster.run_in_background(cluster.complete, BOXES[2], 1, tokens=200, stream=True)
    wait_until(lambda: cluster.counters(ENGINE)["open_streams"] == 1, what="the stream opens")
    cluster.ask(BOXES[0], "undrain small-engine-2", wait_s=5.0)
    cluster.ask(BOXES[0], f"drain {ENGINE}", wait_s=5.0)
    reply = call.result()
    assert reply.whole
    assert reply.streamed == cluster.expected(1, tokens=200)


def test_no_request_fails_a_few_seconds_after_an_engine_was_killed(cluster: Cluster) -> None:
    with Traffic(cluster) as traffic:
        wait_until(lambda: runs_on(cluster, ENGINE) > 10, what="the engine is used")
        cluster.kill(ENGINE)
        began = time.monotonic()
        wait_until(lambda: time.monotonic() - began > 4.0, what="a few seconds pass")
        ended_before = len(traffic.ended)
        before = traffic.answered
        wait_until(lambda: traffic.answered > before + 60, what="other engines answer requests")
        assert [item for item in traffic.ended[ended_before:] if item.state != "answered"] == []
        cluster.start_engine(ENGINE)
        wait_until(
            lambda: cluster.processes[ENGINE].poll() is None and is_reachable(cluster, ENGINE),
            what="the engine answers again",
        )
        wait_until(lambda: runs_on(cluster, ENGINE) > 5, what="the engine is used again")
    assert traffic.wrong_outcomes == []


def is_reachable(cluster: Cluster, engine: str) -> bool:
    try:
        cluster.counters(engine)
    except Exception:
        return False
    return True
