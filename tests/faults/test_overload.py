"""Load far over capacity: requests are still answered, and refusals name a retry time."""

from __future__ import annotations

import itertools
import threading
import time
from pathlib import Path

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster, Reply
from tests.processes import wait_until

SHAPE = Shape.from_small(zones=1, boxes_per_zone=2, engines=1)
BOXES = ("zone-1-a", "zone-1-b")
DEADLINE_HEADERS = {"Springrock-Deadline-Ms": "3000"}


def send_until_stopped(cluster: Cluster, threads: int, stop: threading.Event) -> dict[str, Reply]:
    """Send requests from each thread without a pause or backoff; return replies by request id."""
    replies: dict[str, Reply] = {}
    numbers = itertools.count()

    def _send_loop(number: int) -> None:
        while not stop.is_set():
            request_id = f"flood-{next(numbers)}"
            headers = {**DEADLINE_HEADERS, "Springrock-Request-Id": request_id}
            box = BOXES[number % 2]
            replies[request_id] = cluster.complete(box, number % 3, tokens=40, headers=headers)

    workers = [threading.Thread(target=_send_loop, args=(number,)) for number in range(threads)]
    for worker in workers:
        worker.start()
    stop.wait()
    for worker in workers:
        worker.join()
    return replies


def test_overload_keeps_goodput_and_refused_requests_do_not_run(tmp_path: Path) -> None:
    with Cluster(tmp_path, SHAPE) as cluster:
        stop = threading.Event()
        call = cluster.run_in_background(send_until_stopped, cluster, 100, stop)
        wait_until(
            lambda: cluster.metric(BOXES[0], "springrock_requests_total") > 400,
            within_s=60,
            what="the box receives over 400 requests",
        )
        stop.set()
        replies = call.result()
        runs = {record.request_id for record in cluster.runs()}
        answered = [reply for reply in replies.values() if reply.status == 200]
        refused = {name: reply for name, reply in replies.items() if reply.status != 200}
        assert answered
        assert refused, "the load did not exceed the capacity"
        for name, reply in refused.items():
            if reply.error["run_state"] == "not_run":
                assert name not in runs
                assert int(reply.headers["Retry-After"]) >= 1
            else:
                assert reply.error["type"] == "deadline_passed"
        assert cluster.violations() == {}
        wait_until(
            lambda: cluster.counters("small-engine-1")["open_streams"] == 0, what="all streams end"
        )


def test_a_workload_limit_holds_across_boxes(tmp_path: Path) -> None:
    with Cluster(tmp_path, SHAPE) as cluster:
        cluster.ask(BOXES[0], "set workload minutes limit 4", wait_s=5.0)
        headers = {"Springrock-Workload": "minutes"}
        began = time.monotonic()
        replies = [
            cluster.service(BOXES[number % 2], "join", headers=headers) for number in range(60)
        ]
        took_s = time.monotonic() - began
        answered_count = sum(reply.status == 200 for reply in replies)
        refused = [reply for reply in replies if reply.status == 429]
        # Besides the rate, both boxes may use up a burst of their share of one second's limit.
        assert answered_count <= 4 * took_s + 4 + 2
        assert refused
        for reply in refused:
            assert reply.error["type"] == "rate_limited"
            assert reply.error["run_state"] == "not_run"
            assert int(reply.headers["Retry-After"]) >= 1
