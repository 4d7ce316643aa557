"""Planned stops: every request that a stopping box has read gets an answer."""

from __future__ import annotations

import concurrent.futures
import http.client
import itertools
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from springrock.clock import monotonic
from springrock.settings import split_address
from tests.processes import wait_until
from tests.routed.deployment import HOST, ROUTES, Deployment, route

STOP_WITHIN_S = 4.0
"""Time for a stop; the box ends half a second earlier by itself."""

BATCH = 3
LANES = 6
SLOW_S = 3.0
"""A call of this duration that begins 0.7 s after the signal cannot end before the box does."""

DEADLINE_MS = 10_000


class Ended(NamedTuple):
    """How a request ended: the status of its answer, 0 if the connection ended without one."""

    status: int
    complete: bool
    events: list[int]


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    stopping = {"stop": {"within_s": STOP_WITHIN_S, "notice_s": 2.0}}
    with Deployment(tmp_path, zones=("zone-1",), box_settings=stopping) as deployment:
        deployment.configure(
            [
                *ROUTES,
                route("report", "unsafe", "slow-reports", maxAttempts=1, timeoutMs=DEADLINE_MS),
                route("draft", "streaming", "language", resumable=True, priority=0),
                route(
                    "digest",
                    "streaming",
                    "language",
                    resumable=True,
                    priority=2,
                    timeoutMs=DEADLINE_MS,
                    targetLatencyMs=2_500,
                ),
            ]
        )
        deployment.start_replica("reports-1", "slow-reports", "zone-1", work_ms=SLOW_S * 1000)
        deployment.wait_ready(replicas=3)
        yield deployment


def send(deployment: Deployment, box: str, path: str, *, request_id: str, **options: str) -> Ended:
    try:
        answer = deployment.send(
            box, path, request_id=request_id, deadline_ms=DEADLINE_MS, **options
        )
    except (OSError, http.client.HTTPException):
        return Ended(0, False, [])
    events = answer.event_ids if answer.status == 200 else []
    return Ended(answer.status, answer.is_complete, events)


def keep_engines_busy(deployment: Deployment, stop: threading.Event, lane: int) -> None:
    """Ask for one adapter after the other at the box that stays."""
    for number in itertools.count():
        if stop.is_set():
            return
        name = f"a{lane * 1000 + number}"
        ended = send(deployment, "box-2", "/draft/x", request_id=deployment.new_id(), adapter=name)
        if ended.status != 200:
            time.sleep(0.05)


def _signal_again(deployment: Deployment) -> None:
    deployment.processes.signal("box-1", signal.SIGTERM)


def _reload(deployment: Deployment) -> None:
    deployment.processes.signal("box-1", signal.SIGHUP)


def _lose_store(deployment: Deployment) -> None:
    deployment.fault("store", busy=True)


def _kill_other_box(deployment: Deployment) -> None:
    deployment.processes.kill("box-2")


@pytest.mark.parametrize(
    "meanwhile",
    [lambda deployment: None, _signal_again, _reload, _lose_store, _kill_other_box],
    ids=["nothing", "SIGTERM", "SIGHUP", "store", "other box"],
)
def test_requests_that_wait_for_a_place_get_an_answer_before_the_box_stops(
    deployment: Deployment, meanwhile: Callable[[Deployment], None]
) -> None:
    """Guards against a stop that ends the connections of waiting requests without an answer."""
    deployment.send_until_served("box-1", "/items/x", adapter="a1")
    stop = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(LANES + BATCH) as pool:
        for lane in range(1, LANES + 1):
            pool.submit(keep_engines_busy, deployment, stop, lane)
        time.sleep(1.0)
        deployment.processes.signal("box-1", signal.SIGTERM)
        batch = []
        for number in range(BATCH):
            time.sleep(0.2)
            request_id = deployment.new_id()
            adapter = f"a{90_000 + number}"
            sent = pool.submit(
                send, deployment, "box-1", "/digest/x", request_id=request_id, adapter=adapter
            )
            batch.append((request_id, sent))
        meanwhile(deployment)
        ended = [(request_id, sent.result()) for request_id, sent in batch]
        stop.set()
    assert [item for _, item in ended if item.status not in (200, 503)] == []
    assert [item for _, item in ended if not item.complete] == []
    refused = [request_id for request_id, item in ended if item.status == 503]
    assert [deployment.runs(request_id) for request_id in refused] == [0] * len(refused)
    assert deployment.processes["box-1"].wait(timeout=STOP_WITHIN_S) == 0


def test_a_call_that_cannot_end_before_the_box_stops_is_refused_and_not_run(
    deployment: Deployment,
) -> None:
    """Guards against a call that is passed on late in a stop and ends without an answer."""
    first = send(deployment, "box-1", "/report/x", request_id=deployment.new_id())
    assert first.status == 200
    deployment.processes.signal("box-1", signal.SIGTERM)
    signalled_at = monotonic()
    time.sleep(0.7)
    request_id = deployment.new_id()
    ended = send(deployment, "box-1", "/report/x", request_id=request_id)
    assert (ended.status, deployment.runs(request_id)) == (503, 0)
    assert monotonic() - signalled_at < STOP_WITHIN_S - 0.5
    assert send(deployment, "box-2", "/report/x", request_id=deployment.new_id()).status == 200


def test_a_call_that_can_end_before_the_box_stops_is_served(deployment: Deployment) -> None:
    deployment.processes.signal("box-1", signal.SIGTERM)
    time.sleep(0.7)
    for path in ("/lookup/x", "/join/x"):
        assert send(deployment, "box-1", path, request_id=deployment.new_id()).status == 200
    wait_until(lambda: deployment.processes["box-1"].poll() == 0, what="box-1 has ended")


def test_a_request_that_still_comes_in_at_the_end_of_a_stop_is_refused(
    deployment: Deployment,
) -> None:
    """Guards against a stop that ends the connection of a request that is being read."""
    request_id = deployment.new_id()
    beginning = (
        f"POST /join/x HTTP/1.1\r\nHost: {HOST}\r\nSpringrock-Request-Id: {request_id}\r\n"
        f"Springrock-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 100\r\n\r\npart"
    )
    address = split_address(deployment.clients["box-1"])
    with socket.create_connection(address, timeout=2 * STOP_WITHIN_S) as connection:
        connection.sendall(beginning.encode())
        deployment.processes.signal("box-1", signal.SIGTERM)
        answer = connection.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert deployment.runs(request_id) == 0
    assert deployment.processes["box-1"].wait(timeout=STOP_WITHIN_S) == 0
