"""A real box whose replica answers with scripted bytes: a broken answer reaches no caller."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.early import LONG_UPLOAD, EarlyReplica, answering_early, close_unread
from tests.forwarding.scripted import SUCCESS, Script, reset
from tests.processes import wait_until
from tests.routed.deployment import ROUTES, SERVICES, Answer, Deployment, route

MAX_CONNECTIONS = 50
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
STREAM = SUCCESS + b"Content-Type: text/event-stream\r\n"


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run one box with the routes of a service that has no replica yet."""
    folder = tmp_path_factory.mktemp("broken")
    routes = [
        route("orders", "unsafe", "orders", maxAttempts=1),
        route("notes", "streaming", "orders", maxAttempts=1, gapAimMs=400),
    ]
    deployment = Deployment(folder, boxes=1, zones=("zone-1",))
    deployment.services = [*SERVICES, {"name": "orders", "maxConnections": MAX_CONNECTIONS}]
    deployment.limits = {"maxBodyBytes": 2 * len(LONG_UPLOAD)}
    with deployment:
        deployment.configure([*ROUTES, *routes])
        deployment.wait_ready(replicas=2)
        yield deployment


@contextmanager
def only_replica(deployment: Deployment, script: Script) -> Iterator[None]:
    """Run the only replica of the service; it answers on each connection by the script."""
    replica = EarlyReplica(*[script] * MAX_CONNECTIONS, concurrent=True)
    instance = f"orders-{replica.address.rpartition(':')[2]}"
    row = {
        "service": "orders",
        "address": replica.address,
        "zone": "zone-1",
        "slots": 8,
        "state": "ready",
    }
    with replica:
        deployment.write_row("servers", instance, json.dumps(row).encode())
        wait_known(deployment, 3)
        try:
            yield
        finally:
            deployment.remove_row("servers", instance)
            wait_known(deployment, 2)


def wait_known(deployment: Deployment, replicas: int) -> None:
    name = "springrock_forwarding_replicas"
    wait_until(lambda: deployment.metric("box-1", name) == replicas, what=f"{replicas} replicas")


def call(deployment: Deployment, path: str, *, body: bytes) -> Answer:
    """Send the request r1; an answer that a client would not get counts as incomplete."""
    try:
        return deployment.send("box-1", path, body=body, request_id="r1")
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, repr(error).encode(), is_complete=False)


@pytest.mark.parametrize("end", [reset, close_unread])
def test_a_part_of_an_early_answer_is_not_the_answer_to_an_upload(
    deployment: Deployment, end: Script
) -> None:
    with only_replica(deployment, answering_early(SUCCESS + b"\r\npart", end)):
        answer = call(deployment, "/orders/x", body=LONG_UPLOAD)
    assert (answer.status, answer.is_complete) == (502, True)


@pytest.mark.parametrize("end", [reset, close_unread])
def test_a_part_of_an_early_stream_does_not_appear_complete(
    deployment: Deployment, end: Script
) -> None:
    with only_replica(deployment, answering_early(STREAM + b"\r\n" + EVENTS, end)):
        answer = call(deployment, "/notes/x", body=LONG_UPLOAD)
    assert not answer.is_complete


@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: 5\r\n\r\nwhole",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ],
    ids=["length", "chunks"],
)
def test_an_early_answer_whose_framing_is_complete_is_whole(
    deployment: Deployment, framed: bytes
) -> None:
    with only_replica(deployment, answering_early(SUCCESS + framed, reset)):
        answer = call(deployment, "/orders/x", body=LONG_UPLOAD)
    assert (answer.status, answer.body, answer.is_complete) == (200, b"whole", True)
