"""Requests that are not repeatable run at most once; "not run" means not run."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until

BOXES = ("zone-1-a", "zone-1-b", "zone-2-a", "zone-2-b")


def once(request_id: str) -> dict[str, str]:
    return {"Springrock-Request-Id": request_id, "Springrock-Repeatable": "no"}


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        yield cluster
        assert cluster.violations() == {}


def test_repeats_at_all_boxes_at_once_run_once(cluster: Cluster) -> None:
    for number in range(10):
        request_id = f"race-{number}"
        calls = [
            cluster.run_in_background(cluster.service, box, "annotate", headers=once(request_id))
            for box in BOXES
            for _ in range(2)
        ]
        replies = [call.result() for call in calls]
        assert sorted({reply.status for reply in replies}) == [200, 409]
        assert sum(reply.status == 200 for reply in replies) == 1
        assert cluster.counters("small-service-1")["runs"][request_id] == 1


def test_completions_that_are_not_repeatable_run_once_too(cluster: Cluster) -> None:
    calls = [
        cluster.run_in_background(cluster.complete, box, 1, headers=once("summary-1"))
        for box in BOXES * 2
    ]
    replies = [call.result() for call in calls]
    assert sum(reply.status == 200 for reply in replies) == 1
    assert cluster.runs_of("summary-1") == 1


def test_a_repeat_after_the_first_box_died_does_not_run_again(cluster: Cluster) -> None:
    call = cluster.run_in_background(
        cluster.complete, BOXES[0], 1, tokens=300, headers=once("dying-1")
    )
    wait_until(lambda: cluster.runs_of("dying-1") == 1, what="it runs")
    cluster.kill(BOXES[0])
    assert call.exception() is not None
    again = cluster.complete(BOXES[3], 1, tokens=300, headers=once("dying-1"))
    assert again.status == 409
    assert again.error["run_state"] == "unknown"
    assert cluster.runs_of("dying-1") == 1


def test_an_answer_lost_after_the_run_is_said_to_be_unknown(cluster: Cluster) -> None:
    cluster.fault("small-service-1", lose_answers=1)
    reply = cluster.service(BOXES[0], "annotate", headers=once("lost-1"))
    assert reply.status == 502
    assert reply.error["run_state"] == "unknown"
    assert "Retry-After" not in reply.headers
    again = cluster.service(BOXES[1], "annotate", headers=once("lost-1"))
    assert again.status == 409
    assert cluster.counters("small-service-1")["runs"]["lost-1"] == 1


def test_a_repeatable_call_is_repeated_when_its_answer_is_lost(cluster: Cluster) -> None:
    cluster.fault("small-service-1", lose_answers=1)
    headers = {"Springrock-Request-Id": "lookup-1"}
    reply = cluster.service(BOXES[0], "plates/7", method="GET", headers=headers)
    assert reply.status == 200
    assert cluster.counters("small-service-1")["runs"]["lookup-1"] == 2


def test_without_the_table_nothing_is_claimed_and_nothing_runs(cluster: Cluster) -> None:
    cluster.fault("platform", part="table", down=True)
    for box in BOXES:
        reply = cluster.service(box, "join", headers=once(f"outage-{box}"))
        assert reply.status == 503
        assert reply.error["type"] == "platform_unavailable"
        assert reply.error["run_state"] == "not_run"
        assert int(reply.headers["Retry-After"]) >= 1
    assert not any(run.startswith("outage-") for run in cluster.counters("small-service-1")["runs"])
    unclaimed = cluster.service(BOXES[0], "join", headers={"Springrock-Repeatable": "no"})
    assert unclaimed.status == 200


def test_a_claim_whose_answer_was_lost_is_taken_back(cluster: Cluster) -> None:
    cluster.fault("platform", part="table", lose_answers=-1)
    reply = cluster.service(BOXES[0], "join", headers=once("lost-claim"))
    assert reply.error["run_state"] == "not_run"
    cluster.fault("platform", part="table")
    wait_until(
        lambda: cluster.service(BOXES[1], "join", headers=once("lost-claim")).status == 200,
        what="the repeat goes through",
    )
    assert cluster.counters("small-service-1")["runs"]["lost-claim"] == 1


def test_a_refusal_before_the_run_frees_the_claim(cluster: Cluster) -> None:
    cluster.fault("small-service-1", refuse=True)
    reply = cluster.service(BOXES[0], "join", headers=once("freed-1"))
    assert reply.status == 503
    assert reply.error["run_state"] == "not_run"
    cluster.fault("small-service-1")
    wait_until(
        lambda: cluster.service(BOXES[2], "join", headers=once("freed-1")).status == 200,
        what="the repeat goes through",
    )
    assert cluster.counters("small-service-1")["runs"]["freed-1"] == 1


def test_every_refusal_path_that_says_not_run_was_not_run(cluster: Cluster) -> None:
    box = BOXES[0]
    refusals = {
        "malformed": cluster.complete(box, "base:style-00001@1", tokens=0, headers=once("r1")),
        "unknown model": cluster.complete(box, "other", headers=once("r2")),
        "unknown adapter": cluster.complete(box, "base:none", headers=once("r3")),
        "unknown version": cluster.complete(box, "base:style-00001@9", headers=once("r4")),
        "cannot finish": cluster.complete(
            box, 1, tokens=500, headers={**once("r5"), "Springrock-Deadline-Ms": "50"}
        ),
        "unknown service": cluster.service(box, "x", headers=once("r6")),
    }
    runs = {record.request_id for record in cluster.runs()}
    for name, reply in refusals.items():
        if name == "unknown service":
            continue
        assert reply.status != 200, name
        assert reply.error["run_state"] == "not_run", name
    assert not runs & {"r1", "r2", "r3", "r4", "r5"}


def test_many_claims_go_in_few_transactions(cluster: Cluster) -> None:
    before = cluster.counters("platform")["commits"]
    calls = [
        cluster.run_in_background(cluster.service, BOXES[0], "join", headers=once(f"many-{number}"))
        for number in range(300)
    ]
    assert all(call.result().status == 200 for call in calls)
    rows = cluster.platform().rows("claim/many-")
    assert len(rows) == 300
    # Renewals of four sessions go on meanwhile; alone the claims would be 300 commits.
    assert cluster.counters("platform")["commits"] - before < 250


def test_claim_rows_say_who_holds_them(cluster: Cluster) -> None:
    assert cluster.service(BOXES[1], "join", headers=once("who-1")).status == 200
    (row,) = cluster.platform().rows("claim/who-1")
    assert json.loads(row.value)[1] == BOXES[1]
