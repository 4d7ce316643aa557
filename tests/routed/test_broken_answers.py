"""A real box whose replicas answer with scripted bytes: no part of a broken answer looks whole."""

from __future__ import annotations

import http.client
import json
import socket
from collections.abc import Iterator
from contextlib import ExitStack

import pytest

from tests.broken_heads import cut_heads, with_line, with_status
from tests.early import LONG_UPLOAD, EarlyReplica, answering_early, close_unread
from tests.forwarding.scripted import SUCCESS, Script, read_request, reset
from tests.routed.deployment import SERVICES, Answer, Deployment, route

MAX_CONNECTIONS = 20
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
STREAM = SUCCESS + b"Content-Type: text/event-stream\r\n"


def sending(data: bytes) -> Script:
    def _script(connection: socket.socket) -> None:
        if read_request(connection):
            connection.sendall(data)

    return _script


BROKEN_EARLY = {
    "part-reset": answering_early(SUCCESS + b"\r\npart", reset),
    "part-unread": answering_early(SUCCESS + b"\r\npart", close_unread),
    "events-reset": answering_early(STREAM + b"\r\n" + EVENTS, reset),
    "events-unread": answering_early(STREAM + b"\r\n" + EVENTS, close_unread),
}
WHOLE_EARLY = {
    "length": answering_early(SUCCESS + b"Content-Length: 5\r\n\r\nwhole", reset),
    "chunks": answering_early(
        SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", reset
    ),
}
BROKEN_HEADS = {
    "status-000": sending(with_status("000", EVENTS)),
    "status-101": sending(with_status("101", EVENTS)),
    "blank": sending(with_line(b"X Odd: 1\r\n", EVENTS)[1]),
    "blank-at-the-end": sending(with_line(b"X-Odd : 1\r\n", EVENTS)[1]),
    "control-byte": sending(with_line(b"X-\x01Odd: 1\r\n", EVENTS)[1]),
    "line-feed": sending(with_line(b"\nX-Odd: 1\r\n", EVENTS)[1]),
    "cut-in-a-line": sending(cut_heads()[-10]),
    "cut-between-lines": sending(SUCCESS),
    "cut-at-the-end": sending(cut_heads()[-1]),
}
SCRIPTS = BROKEN_EARLY | WHOLE_EARLY | BROKEN_HEADS


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run one box with a replica for each script, and two routes to each of them."""
    deployment = Deployment(tmp_path_factory.mktemp("broken"), boxes=1, zones=("zone-1",))
    deployment.services = [*SERVICES, *({"name": name} for name in SCRIPTS)]
    deployment.limits = {"maxBodyBytes": 2 * len(LONG_UPLOAD)}
    with deployment, ExitStack() as replicas:
        for name, script in SCRIPTS.items():
            replica = EarlyReplica(*[script] * MAX_CONNECTIONS, concurrent=True)
            replicas.enter_context(replica)
            write_replica(deployment, name, replica.address)
        deployment.configure([*routes("unsafe"), *routes("streaming")])
        deployment.wait_ready(replicas=len(SCRIPTS) + 2)
        yield deployment


def write_replica(deployment: Deployment, service: str, address: str) -> None:
    row = {
        "service": service,
        "address": address,
        "zone": "zone-1",
        "slots": 8,
        "state": "ready",
    }
    deployment.write_row("servers", f"{service}-1", json.dumps(row).encode())


def routes(kind: str) -> list[dict[str, object]]:
    return [route(f"{kind}-{name}", kind, name, maxAttempts=1) for name in SCRIPTS]


def call(deployment: Deployment, path: str, *, body: bytes = b"") -> Answer:
    """Send the request r1; an answer that a client would not get counts as incomplete."""
    try:
        return deployment.send("box-1", path, body=body, request_id="r1")
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, repr(error).encode(), is_complete=False)


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
@pytest.mark.parametrize("name", BROKEN_EARLY)
def test_a_part_of_an_early_answer_is_not_the_answer_to_an_upload(
    deployment: Deployment, name: str, kind: str
) -> None:
    answer = call(deployment, f"/{kind}-{name}/x", body=LONG_UPLOAD)
    if kind == "streaming" and name.startswith("events"):
        assert not answer.is_complete
    else:
        assert (answer.status, answer.is_complete) == (502, True)


@pytest.mark.parametrize("name", WHOLE_EARLY)
def test_an_early_answer_whose_framing_is_complete_is_whole(
    deployment: Deployment, name: str
) -> None:
    answer = call(deployment, f"/unsafe-{name}/x", body=LONG_UPLOAD)
    assert (answer.status, answer.body, answer.is_complete) == (200, b"whole", True)


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
@pytest.mark.parametrize("name", BROKEN_HEADS)
def test_an_answer_with_a_broken_head_is_unknown(
    deployment: Deployment, name: str, kind: str
) -> None:
    answer = call(deployment, f"/{kind}-{name}/x")
    assert (answer.status, answer.is_complete) == (502, True)
