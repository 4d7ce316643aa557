"""Configuration changes: conflicts, delivery to every box, monotonic revisions, credentials."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import OPERATOR_KEY, Shape
from springrock.errors import StatementError
from springrock.operator_client import send_statement
from springrock.wire.operator import StatementRequest
from tests.cluster import Cluster
from tests.processes import wait_until

BOXES = ("zone-1-a", "zone-1-b", "zone-2-a", "zone-2-b")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("configuration")
    with Cluster(folder, Shape.from_small(), proxied=True) as cluster:
        yield cluster


def revision_on(cluster: Cluster, box: str) -> int:
    """Return the configuration revision that a ready box has applied."""
    rows = cluster.ask(box, "show boxes").rows
    return next(int(row[3]) for row in rows if row[0] == box and row[2] == "ready")


def test_a_new_adapter_is_served_by_every_box(cluster: Cluster) -> None:
    answer = cluster.ask(BOXES[0], "create adapter base:harvest version 1", wait_s=5.0)
    assert "in force on every box" in answer.text
    for box in BOXES:
        assert cluster.complete(box, "base:harvest").status == 200
    cluster.ask(BOXES[2], "add version 2 to adapter base:harvest")
    cluster.ask(BOXES[2], "use version 2 of adapter base:harvest", wait_s=5.0)
    for box in BOXES:
        reply = cluster.complete(box, "base:harvest")
        assert reply.headers["Springrock-Model"] == "base:harvest@2"
    cluster.ask(BOXES[1], "retire adapter base:harvest", wait_s=5.0)
    for box in BOXES:
        assert cluster.complete(box, "base:harvest").error["type"] == "unknown_adapter"


def test_a_workload_that_may_not_use_an_adapter_is_refused(cluster: Cluster) -> None:
    cluster.ask(BOXES[0], "create adapter base:private version 1 for workload minutes", wait_s=5.0)
    refused = cluster.complete(BOXES[1], "base:private")
    assert refused.status == 403
    assert refused.error["type"] == "adapter_not_allowed"
    allowed = cluster.complete(BOXES[1], "base:private", headers={"Springrock-Workload": "minutes"})
    assert allowed.status == 200


def test_of_two_conflicting_changes_one_fails_with_a_conflict(cluster: Cluster) -> None:
    cluster.ask(BOXES[0], "create adapter base:raced version 1,2,3", wait_s=5.0)
    last_revision = cluster.ask(BOXES[0], "show changes last 1").rows[0][0]
    calls = [
        cluster.run_in_background(
            cluster.ask,
            box,
            f"use version {1 + number} of adapter base:raced if revision {last_revision}",
        )
        for number, box in enumerate(BOXES[:2])
    ]
    failures = [call.exception() for call in calls if call.exception() is not None]
    assert len(failures) == 1
    assert "ConfigurationConflict" in str(failures[0])
    assert "operator in revision" in str(failures[0])


def test_concurrent_changes_get_distinct_revisions_and_reach_every_box(cluster: Cluster) -> None:
    calls = [
        cluster.run_in_background(
            cluster.ask, BOXES[number % 4], f"create adapter base:many-{number} version 1"
        )
        for number in range(12)
    ]
    revisions = [call.result().revision for call in calls]
    assert len(set(revisions)) == 12
    last = max(revisions)
    for box in BOXES:
        wait_until(
            lambda box=box: revision_on(cluster, box) >= last, what=f"{box} applies the changes"
        )


def test_a_retried_command_is_applied_once(cluster: Cluster) -> None:
    request = StatementRequest(
        statement="create adapter base:retried version 1", command_id="the-same"
    )
    operator_addresses = cluster.addresses.operators
    first = send_statement(operator_addresses[BOXES[0]], request, key=OPERATOR_KEY)
    retried = send_statement(operator_addresses[BOXES[3]], request, key=OPERATOR_KEY)
    assert first.revision == retried.revision


def test_a_command_whose_table_answer_was_lost_is_applied_once(cluster: Cluster) -> None:
    request = StatementRequest(
        statement="create adapter base:lost-answer version 1", command_id="lost-answer"
    )
    operator_addresses = cluster.addresses.operators
    cluster.fault("platform", part="table", lose_answers=-1)
    with pytest.raises(StatementError):
        send_statement(operator_addresses[BOXES[0]], request, key=OPERATOR_KEY)
    cluster.fault("platform", part="table")

    def _retry_command() -> int:
        try:
            return send_statement(operator_addresses[BOXES[1]], request, key=OPERATOR_KEY).revision
        except StatementError:
            return 0

    revision = wait_until(_retry_command, what="the retry succeeds")
    changes = cluster.ask(BOXES[1], "show changes").rows
    adapter_changes = [row for row in changes if "base:lost-answer " in row[3]]
    assert [int(row[0]) for row in adapter_changes] == [revision]


def test_a_partitioned_box_never_reverts_its_configuration(cluster: Cluster) -> None:
    box = BOXES[3]
    others = list(BOXES[:3])
    newest_revision = max(revision_on(cluster, other) for other in others)
    wait_until(
        lambda: revision_on(cluster, box) >= newest_revision,
        what="the box applies all earlier changes",
    )
    before = revision_on(cluster, box)
    inbound_routes = cluster.routes(sources=others, targets=[box])
    outbound_routes = cluster.routes(sources=[box], targets=[*others, "platform"])
    cluster.cut(*inbound_routes, *outbound_routes, cut=True)
    revision = cluster.ask(BOXES[0], "create adapter base:while-cut version 1").revision
    for other in others:
        wait_until(lambda o=other: revision_on(cluster, o) >= revision, what=f"{other} applies it")
    assert revision_on(cluster, box) == before
    cluster.cut(*inbound_routes, *outbound_routes)
    wait_until(lambda: revision_on(cluster, box) >= revision, what="the reconnected box applies it")
    revisions = [
        line["revision"]
        for line in cluster.log(box)
        if line.get("text") == "configuration: Applied a change."
    ]
    assert revisions == sorted(revisions)


def test_a_box_that_cannot_reach_the_platform_gets_changes_from_peers(cluster: Cluster) -> None:
    box = BOXES[1]
    cluster.cut(f"{box}>platform", cut=True)
    revision = cluster.ask(BOXES[2], "create adapter base:by-peer version 1").revision
    wait_until(lambda: revision_on(cluster, box) >= revision, what="the box applies the change")
    cluster.cut(f"{box}>platform")


def test_a_restarted_box_refuses_requests_until_it_has_the_configuration(cluster: Cluster) -> None:
    box = BOXES[2]
    cluster.kill(box)
    cluster.cut(f"{box}>platform", cut=True)
    cluster.start_box(box)

    def _refuses_while_starting() -> bool:
        try:
            return cluster.complete(box, 0).error["type"] == "box_starting"
        except Exception:
            return False

    wait_until(_refuses_while_starting, what="the box answers box_starting")
    assert cluster.get(box, "/readyz").status == 503
    cluster.cut(f"{box}>platform")
    cluster.wait_ready([box])


def test_operators_need_a_known_key_and_are_logged(cluster: Cluster) -> None:
    with pytest.raises(StatementError, match="BadCredential"):
        cluster.ask(BOXES[0], "show boxes", key="a wrong key")
    cluster.ask(BOXES[0], "show workloads")

    def _statement_is_logged() -> bool:
        lines = [line for line in cluster.log(BOXES[0]) if line.get("who") == "operator"]
        return any("show workloads" in line["text"] for line in lines)

    wait_until(_statement_is_logged, what="the log has the statement and the operator")


def test_a_restarted_box_loads_the_snapshot_and_later_changes(cluster: Cluster) -> None:
    last_revision = 0
    # More changes than the 500 between two snapshots.
    for number in range(510):
        statement = f"set workload minutes priority {number % 50}"
        last_revision = cluster.ask(BOXES[0], statement).revision
    assert last_revision > 510
    cluster.kill(BOXES[1])
    cluster.start_box(BOXES[1])
    cluster.wait_ready([BOXES[1]])
    assert revision_on(cluster, BOXES[1]) >= last_revision
    assert cluster.complete(BOXES[1], 5).status == 200
