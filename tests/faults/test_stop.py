"""A planned stop cuts no request, of any box, under load."""

from __future__ import annotations

from pathlib import Path

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until
from tests.traffic import Traffic


def test_a_rolling_replacement_of_all_boxes_cuts_nothing(tmp_path: Path) -> None:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        boxes = cluster.shape.box_names
        owners = {engine: cluster.owner_of(engine) for engine in cluster.addresses.engines}
        for box in boxes:
            others = [name for name in boxes if name != box]
            with Traffic(cluster, boxes=others) as elsewhere:
                # These are open in the box when it is told to stop.
                calls = [
                    cluster.run_in_background(
                        cluster.complete, box, number, tokens=100, stream=True
                    )
                    for number in range(4)
                ]
                wait_until(
                    lambda box=box: (
                        cluster.metric(box, "springrock_first_token_seconds_count") >= 4
                    ),
                    what="they run",
                )
                cluster.terminate(box)
                replies = [call.result() for call in calls]
                assert cluster.processes[box].wait(timeout=30) == 0
                before = elsewhere.answered
                wait_until(
                    lambda traffic=elsewhere, before=before: traffic.answered > before + 20,
                    what="the others serve",
                )
            for number, reply in enumerate(replies):
                assert reply.whole, reply.body[-300:]
                assert reply.streamed == cluster.expected(number, tokens=100)
            assert elsewhere.failed == []
            assert box not in {cluster.owner_of(engine) for engine in owners}
            cluster.start_box(box)
            cluster.wait_ready([box])
        assert cluster.violations() == {}


def test_all_boxes_replaced_at_once_after_crashes(tmp_path: Path) -> None:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        assert cluster.complete("zone-1-a", 1).status == 200
        for box in cluster.shape.box_names:
            cluster.kill(box)
        for box in cluster.shape.box_names:
            cluster.start_box(box)
        cluster.wait_ready()
        reply = cluster.complete("zone-2-b", 1)
        assert reply.status == 200, reply.body
        assert reply.text == cluster.expected(1)
        assert cluster.violations() == {}


def test_a_stop_statement_stops_as_planned(tmp_path: Path) -> None:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        call = cluster.run_in_background(cluster.complete, "zone-1-a", 1, tokens=100, stream=True)
        wait_until(
            lambda: cluster.metric("zone-1-a", "springrock_first_token_seconds_count") >= 1,
            what="it runs",
        )
        cluster.ask("zone-2-b", "stop box zone-1-a")
        assert call.result().whole
        assert cluster.processes["zone-1-a"].wait(timeout=30) == 0
        assert cluster.violations() == {}
