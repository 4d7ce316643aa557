"""Invalid input at the callers' door is answered with typed errors and leaks no open requests."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.clock import monotonic
from springrock.emulator.deployment import OPERATOR_KEY, Shape
from springrock.settings import split_address
from tests.cluster import Cluster, Reply

BOX = "zone-1-a"
KEYS = {"workload_keys": [{"workload": "minutes", "key": "minutes-key"}], "body_limit_bytes": 2000}
AUTHORIZED = {"Authorization": "Bearer minutes-key"}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("caller")
    shape = Shape.from_small(zones=1, boxes_per_zone=1, engines=1)
    with Cluster(folder, shape, box_settings={"caller_door": KEYS}) as cluster:
        yield cluster
        assert cluster.metric(BOX, "springrock_open_requests") == 0
        assert cluster.metric(BOX, "springrock_permits_outstanding") == 0
        assert cluster.violations() == {}


def post(cluster: Cluster, body: bytes, path: str = "/v1/completions") -> Reply:
    url = f"http://{cluster.addresses.callers[BOX]}{path}"
    response = cluster.pool.request("POST", url, body=body, headers=AUTHORIZED)
    return Reply(response.status, response.headers, response.data)


@pytest.mark.parametrize(
    ("body", "status", "cause"),
    [
        (b"", 400, "malformed_request"),
        (b"{", 400, "malformed_request"),
        (b"\xff\xfe", 400, "malformed_request"),
        (b'{"model": 5, "prompt": "x"}', 400, "malformed_request"),
        (b'{"model": "base"}', 400, "malformed_request"),
        (b'{"model": "b a d", "prompt": "x"}', 404, "unknown_model"),
        (b'{"model": "other", "prompt": "x"}', 404, "unknown_model"),
        (b'{"model": "base:none", "prompt": "x"}', 404, "unknown_adapter"),
        (b'{"model": "base:style-00001@77", "prompt": "x"}', 404, "unknown_version"),
        (b'{"prompt": "' + b"x" * 3000 + b'"}', 413, "body_too_large"),
    ],
)
def test_invalid_bodies_get_typed_errors(
    cluster: Cluster, body: bytes, status: int, cause: str
) -> None:
    reply = post(cluster, body)
    assert (reply.status, reply.error["type"]) == (status, cause)
    assert reply.error["run_state"] == "not_run"


def test_an_oversized_service_body_is_refused(cluster: Cluster) -> None:
    reply = post(cluster, b"x" * 3000, "/services/rosters/join")
    assert (reply.status, reply.error["type"]) == (413, "body_too_large")


def test_an_unknown_credential_is_refused_and_a_known_one_names_the_workload(
    cluster: Cluster,
) -> None:
    assert cluster.complete(BOX, 1).error["type"] == "bad_credential"
    cluster.ask(BOX, "allow adapter base:style-00001 for workload minutes", wait_s=5.0)
    assert cluster.complete(BOX, 1, headers=AUTHORIZED).status == 200


def test_an_unknown_path_gets_a_typed_error(cluster: Cluster) -> None:
    reply = cluster.get(BOX, "/nowhere")
    assert reply.status == 404
    assert reply.error["type"] == "malformed_request"


@pytest.mark.parametrize(
    ("rest", "status", "cause"),
    [
        (b"Content-Length: 100\r\n\r\npart", 408, "deadline_passed"),
        (b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n", 408, "deadline_passed"),
        (b"Transfer-Encoding: chunked\r\n\r\nx\r\n", 400, "malformed_request"),
    ],
)
@pytest.mark.parametrize("path", ["/v1/completions", "/services/rosters/join"])
def test_a_body_that_is_not_read_whole_by_the_deadline_gets_a_typed_error(
    cluster: Cluster, path: str, rest: bytes, status: int, cause: str
) -> None:
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nSpringrock-Deadline-Ms: 500\r\n".encode()
    sent_at = monotonic()
    address = split_address(cluster.addresses.callers[BOX])
    with socket.create_connection(address, timeout=5.0) as caller:
        caller.sendall(head + rest)
        answer = b"".join(iter(lambda: caller.recv(65_536), b""))
    assert monotonic() - sent_at < 1.0
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    error = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]
    assert (error["type"], error["run_state"]) == (cause, "not_run")


def test_an_operator_whose_request_is_malformed_gets_a_typed_error(cluster: Cluster) -> None:
    address = split_address(cluster.addresses.operators[BOX])
    with socket.create_connection(address, timeout=5.0) as operator:
        operator.sendall(
            b"POST /v1/statements HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Bearer " + OPERATOR_KEY.encode() + b"\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nx\r\n"
        )
        answer = b"".join(iter(lambda: operator.recv(65_536), b""))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"RequestNotRead" in answer
