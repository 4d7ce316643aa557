"""A box that stands still while replicas of a new software version join, with real processes."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.forwarding.scripted import ScriptedReplica, read_request
from tests.processes import wait_until
from tests.routed.deployment import ROUTES, SERVICES, Answer, Deployment, route

LAST_EVENT = 4
TAKE_UPS = 6
MAX_CONNECTIONS = 60
STANDS_STILL_S = 2.0
"""Shorter than the age from which a box does not rely on the replicas' rows."""


class WritingReplica(ScriptedReplica):
    """A replica of a software version; writes the rest of a stream, naming its version."""

    def __init__(self, software: str) -> None:
        self._software = software
        super().__init__(*[self._write] * MAX_CONNECTIONS, concurrent=True)

    def _write(self, connection: socket.socket) -> None:
        request = read_request(connection)
        if not request:
            return
        headers = dict(
            line.split(": ", 1) for line in request.decode().split("\r\n")[1:] if ": " in line
        )
        first = int(headers.get("Last-Event-Id", "0")) + 1
        body = "".join(
            f"id: {number}\ndata: token by {self._software}\n\n"
            for number in range(first, LAST_EVENT + 1)
        )
        head = (
            "HTTP/1.1 200 OK\r\nSpringrock-Response-Seal: s\r\n"
            f"Springrock-Request-Id: {headers['Springrock-Request-Id']}\r\n"
            f"Content-Type: text/event-stream\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        connection.sendall((head + body).encode())


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Three boxes, and a replica of the old version, the only one that ever served."""
    deployment = Deployment(tmp_path, boxes=3, zones=("zone-1",), first_start=True)
    deployment.services = [*SERVICES, {"name": "notes"}]
    notes = route("notes", "streaming", "notes", resumable=True, gapAimMs=400)
    with deployment, WritingReplica("v1") as old:
        write_replica(deployment, "old-1", old.address, "v1")
        deployment.configure([*ROUTES, notes])
        deployment.wait_ready(replicas=3)
        deployment.placer_and_other("zone-1")
        yield deployment


def write_replica(deployment: Deployment, name: str, address: str, software: str) -> None:
    row = {
        "service": "notes",
        "address": address,
        "zone": "zone-1",
        "slots": 50,
        "state": "ready",
        "version": software,
    }
    deployment.write_row("servers", name, json.dumps(row).encode())


def begin_at_new_version(deployment: Deployment, box: str) -> str:
    """Return the id of a request that began a stream at a replica of the new version."""

    def _begin() -> str | None:
        request_id = deployment.new_id()
        begun = deployment.send(box, "/notes/x", request_id=request_id)
        return request_id if "v2" in begun.event_software else None

    found: str = wait_until(_begin, what="a stream begins at the new version")
    return found


def take_up(deployment: Deployment, box: str, request_id: str) -> Answer:
    """Take a stream up after its second event."""
    headers = {"Resumes": request_id, "Last-Event-Id": "2"}
    return deployment.send(box, "/notes/x", extra_headers=headers)


def test_a_stream_of_a_new_version_does_not_go_on_at_another_at_a_box_that_stood_still(
    deployment: Deployment,
) -> None:
    placer, still = deployment.placer_and_other("zone-1")
    with ExitStack() as stack:
        new = stack.enter_context(WritingReplica("v2"))
        pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(TAKE_UPS))
        stood_still_at = time.monotonic()
        deployment.processes.signal(still, signal.SIGSTOP)
        try:
            write_replica(deployment, "new-1", new.address, "v2")
            begun = begin_at_new_version(deployment, placer)
            answers = [pool.submit(take_up, deployment, still, begun) for _ in range(TAKE_UPS)]
            time.sleep(max(0.0, stood_still_at + STANDS_STILL_S - time.monotonic()))
        finally:
            deployment.processes.signal(still, signal.SIGCONT)
        statuses = {answer.result().status for answer in answers}
        versions = {text for answer in answers for text in answer.result().event_software}
        assert versions <= {"v2"}
        assert statuses <= {200, 503}

        def _goes_on() -> bool:
            return take_up(deployment, still, begun).status == http.client.OK

        wait_until(_goes_on, what="the stream goes on at its own version")
