"""Requests marked as not repeatable run at most once; those reported ``not_run`` never ran."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until

BOXES = ("zone-1-a", "zone-1-b", "zone-2-a", "zone-2-b")


def not_repeatable(request_id: str) -> dict[str, str]:
    """Return the headers of a request that may run at most once."""
    return {"Springrock-Request-Id": request_id, "Springrock-Repeatable": "no"}


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        yield cluster
        assert cluster.violations() == {}


def test_concurrent_repeats_at_all_boxes_run_once(cluster: Cluster) -> None:
    for number in range(10):
        request_id = f"race-{number}"
        calls = [
            cluster.run_in_background(
                cluster.service, box, "annotate", headers=not_repeatable(request_id)
            )
            for box in BOXES
            for _ in range(2)
        ]
        replies = [call.result() for call in calls]
        assert sorted({reply.status for reply in replies}) == [200, 409]
        assert sum(reply.status == 200 for reply in replies) == 1
        assert cluster.counters("small-service-1")["runs"][request_id] == 1


def test_completions_that_are_not_repeatable_run_once(cluster: Cluster) -> None:
    calls = [
        cluster.run_in_background(cluster.complete, box, 1, headers=not_repeatable("summary-1"))
        for box in BOXES * 2
    ]
    replies = [call.result() for call in calls]
    assert sum(reply.status == 200 for reply in replies) == 1
    assert cluster.runs_of("summary-1") == 1


def test_a_repeat_after_the_first_box_was_killed_does_not_run_again(cluster: Cluster) -> None:
    call = cluster.run_in_background(
        cluster.complete, BOXES[0], 1, tokens=300, headers=not_repeatable("dying-1")
    )
    wait_until(lambda: cluster.runs_of("dying-1") == 1, what="the request runs")
    cluster.kill(BOXES[0])
    assert call.exception() is not None
    repeated = cluster.complete(BOXES[3], 1, tokens=300, headers=not_repeatable("dying-1"))
    assert repeated.status == 409
    assert repeated.error["run_state"] == "unknown"
    assert cluster.runs_of("dying-1") == 1


def test_a_run_whose_answer_was_lost_is_reported_as_unknown(cluster: Cluster) -> None:
    cluster.fault("small-service-1", lose_answers=1)
    reply = cluster.service(BOXES[0], "annotate", headers=not_repeatable("lost-1"))
    assert reply.status == 502
    assert reply.error["run_state"] == "unknown"
    assert "Retry-After" not in reply.headers
    repeated = cluster.service(BOXES[1], "annotate", headers=not_repeatable("lost-1"))
    assert repeated.status == 409
    assert cluster.counters("small-service-1")["runs"]["lost-1"] == 1


def test_a_repeatable_call_is_repeated_when_its_answer_is_lost(cluster: Cluster) -> None:
    cluster.fault("small-service-1", lose_answers=1)
    headers = {"Springrock-Request-Id": "lookup-1"}
    reply = cluster.service(BOXES[0], "plates/7", method="GET", headers=headers)
    assert reply.status == 200
    assert cluster.counters("small-service-1")["runs"]["lookup-1"] == 2


def test_requests_that_need_a_claim_do_not_run_without_the_table(cluster: Cluster) -> None:
    cluster.fault("platform", part="table", down=True)
    for box in BOXES:
        reply = cluster.service(box, "join", headers=not_repeatable(f"outage-{box}"))
        assert reply.status == 503
        assert reply.error["type"] == "platform_unavailable"
        assert reply.error["run_state"] == "not_run"
        assert int(reply.headers["Retry-After"]) >= 1
    assert not any(run.startswith("outage-") for run in cluster.counters("small-service-1")["runs"])
    without_request_id = cluster.service(BOXES[0], "join", headers={"Springrock-Repeatable": "no"})
    assert without_request_id.status == 200


def test_a_claim_whose_table_answer_was_lost_is_deleted(cluster: Cluster) -> None:
    cluster.fault("platform", part="table", lose_answers=-1)
    reply = cluster.service(BOXES[0], "join", headers=not_repeatable("lost-claim"))
    assert reply.error["run_state"] == "not_run"
    cluster.fault("platform", part="table")
    wait_until(
        lambda: (
            cluster.service(BOXES[1], "join", headers=not_repeatable("lost-claim")).status == 200
        ),
        what="the repeat succeeds",
    )
    assert cluster.counters("small-service-1")["runs"]["lost-claim"] == 1


def test_a_refusal_before_the_run_deletes_the_claim(cluster: Cluster) -> None:
    cluster.fault("small-service-1", refuse=True)
    reply = cluster.service(BOXES[0], "join", headers=not_repeatable("freed-1"))
    assert reply.status == 503
    assert reply.error["run_state"] == "not_run"
    cluster.fault("small-service-1")
    wait_until(
        lambda: cluster.service(BOXES[2], "join", headers=not_repeatable("freed-1")).status == 200,
        what="the repeat succeeds",
    )
    assert cluster.counters("small-service-1")["runs"]["freed-1"] == 1


def test_requests_refused_as_not_run_are_run_by_no_engine(cluster: Cluster) -> None:
    box = BOXES[0]
    refusals = {
        "malformed": cluster.complete(
            box, "base:style-00001@1", tokens=0, headers=not_repeatable("r1")
        ),
        "unknown model": cluster.complete(box, "other", headers=not_repeatable("r2")),
        "unknown adapter": cluster.complete(box, "base:none", headers=not_repeatable("r3")),
        "unknown version": cluster.complete(
            box, "base:style-00001@9", headers=not_repeatable("r4")
        ),
        "cannot finish": cluster.complete(
            box, 1, tokens=500, headers={**not_repeatable("r5"), "Springrock-Deadline-Ms": "50"}
        ),
        "unknown service": cluster.service(box, "x", headers=not_repeatable("r6")),
    }
    runs = {record.request_id for record in cluster.runs()}
    for name, reply in refusals.items():
        if name == "unknown service":
            continue
        assert reply.status != 200, name
        assert reply.error["run_state"] == "not_run", name
    assert not runs & {"r1", "r2", "r3", "r4", "r5"}


def test_concurrent_claims_share_transactions(cluster: Cluster) -> None:
    before = cluster.counters("platform")["commits"]
    calls = [
        cluster.run_in_background(
            cluster.service, BOXES[0], "join", headers=not_repeatable(f"many-{number}")
        )
        for number in range(300)
    ]
    assert all(call.result().status == 200 for call in calls)
    rows = cluster.platform().rows("claim/many-")
    assert len(rows) == 300
    # The count includes the renewals of four sessions. One commit per claim would be 300.
    assert cluster.counters("platform")["commits"] - before < 250


def test_claim_rows_name_the_box_that_holds_them(cluster: Cluster) -> None:
    assert cluster.service(BOXES[1], "join", headers=not_repeatable("who-1")).status == 200
    (row,) = cluster.platform().rows("claim/who-1")
    assert json.loads(row.value)[1] == BOXES[1]
