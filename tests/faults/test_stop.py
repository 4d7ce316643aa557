"""A planned stop of a box interrupts no request at any box, also under load."""

from __future__ import annotations

from pathlib import Path

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until
from tests.traffic import Traffic


def test_a_rolling_restart_of_all_boxes_interrupts_no_request(tmp_path: Path) -> None:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        boxes = cluster.shape.box_names
        owners = {engine: cluster.owner_of(engine) for engine in cluster.addresses.engines}
        for box in boxes:
            others = [name for name in boxes if name != box]
            with Traffic(cluster, boxes=others) as others_traffic:
                # These requests are still open when the box receives the stop signal.
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
                    what="all four streams have started",
                )
                cluster.terminate(box)
                replies = [call.result() for call in calls]
                assert cluster.processes[box].wait(timeout=30) == 0
                before = others_traffic.answered
                wait_until(
                    lambda traffic=others_traffic, before=before: traffic.answered > before + 20,
                    what="the other boxes answer requests",
                )
            for number, reply in enumerate(replies):
                assert reply.whole, reply.body[-300:]
                assert reply.streamed == cluster.expected(number, tokens=100)
            assert others_traffic.failed == []
            assert box not in {cluster.owner_of(engine) for engine in owners}
            cluster.start_box(box)
            cluster.wait_ready([box])
        assert cluster.violations() == {}


def test_requests_are_served_after_all_boxes_were_killed_and_restarted(tmp_path: Path) -> None:
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


def test_a_stop_statement_lets_running_requests_finish(tmp_path: Path) -> None:
    with Cluster(tmp_path, Shape.from_small()) as cluster:
        call = cluster.run_in_background(cluster.complete, "zone-1-a", 1, tokens=100, stream=True)
        wait_until(
            lambda: cluster.metric("zone-1-a", "springrock_first_token_seconds_count") >= 1,
            what="the stream has started",
        )
        cluster.ask("zone-2-b", "stop box zone-1-a")
        assert call.result().whole
        assert cluster.processes["zone-1-a"].wait(timeout=30) == 0
        assert cluster.violations() == {}
