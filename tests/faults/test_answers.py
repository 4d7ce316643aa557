"""Callers get complete and correct answers, or typed errors, when engines or callers fail."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.processes import wait_until

SHAPE = Shape.from_small(zones=1, boxes_per_zone=1, engines=1)
BOX = "zone-1-a"
ENGINE = "small-engine-1"


@pytest.fixture(scope="module")
def shared_cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("answers")
    with Cluster(folder, SHAPE, proxied=True) as cluster:
        yield cluster


@pytest.fixture
def cluster(shared_cluster: Cluster) -> Iterator[Cluster]:
    assert shared_cluster.complete(BOX, 0).status == 200
    yield shared_cluster
    shared_cluster.fault(ENGINE)
    shared_cluster.cut(*shared_cluster.routes(sources=[BOX], targets=[ENGINE]))
    wait_until(lambda: shared_cluster.complete(BOX, 0).status == 200, what="healed")
    wait_until(lambda: shared_cluster.counters(ENGINE)["open_streams"] == 0, what="no open streams")
    assert shared_cluster.violations() == {}


def test_an_interrupted_stream_is_resumed_at_the_exact_position(cluster: Cluster) -> None:
    cluster.fault(ENGINE, cut_streams_at=7)
    headers = {"Springrock-Request-Id": "resumed-1"}
    reply = cluster.complete(BOX, 0, tokens=20, stream=True, headers=headers)
    assert reply.whole
    assert reply.streamed == cluster.expected(0, tokens=20)
    assert cluster.runs_of("resumed-1") == 1


def test_a_stream_interrupted_repeatedly_still_arrives_complete(cluster: Cluster) -> None:
    cluster.fault(ENGINE, cut_streams_at=2)
    headers = {"Springrock-Request-Id": "resumed-2"}
    reply = cluster.complete(BOX, 0, tokens=30, stream=True, headers=headers)
    assert reply.whole
    assert reply.streamed == cluster.expected(0, tokens=30)
    assert cluster.runs_of("resumed-2") == 1


def test_a_stream_lost_with_its_engine_ends_with_an_error(cluster: Cluster) -> None:
    cluster.fault(ENGINE, cut_streams_at=5)
    call = cluster.run_in_background(cluster.complete, BOX, 0, tokens=400, stream=True)
    wait_until(lambda: cluster.counters(ENGINE)["open_streams"] == 1, what="the stream opens")
    cluster.restart_engine(ENGINE)
    reply = call.result()
    assert not reply.whole
    assert reply.error["type"] == "upstream_failed"
    assert reply.error["run_state"] in ("cut", "unknown")
    assert cluster.expected(0, tokens=400).startswith(reply.streamed)


def test_a_restarted_engine_fails_an_unstreamed_request_with_a_typed_error(
    cluster: Cluster,
) -> None:
    call = cluster.run_in_background(cluster.complete, BOX, 0, tokens=400)
    wait_until(lambda: cluster.counters(ENGINE)["open_streams"] == 1, what="the stream opens")
    cluster.restart_engine(ENGINE)
    reply = call.result()
    assert reply.status == 502
    assert reply.error["type"] == "upstream_failed"


def test_an_answer_from_another_adapter_is_never_passed_on(cluster: Cluster) -> None:
    cluster.fault(ENGINE, wrong_model=True)
    reply = cluster.complete(BOX, 0, tokens=5, stream=True)
    assert reply.status == 502
    assert reply.error["type"] == "wrong_adapter"


def test_garbage_is_never_passed_on(cluster: Cluster) -> None:
    cluster.fault(ENGINE, garbage=True)
    reply = cluster.complete(BOX, 0, tokens=5, stream=True)
    assert reply.status == 502
    assert reply.error["type"] == "upstream_garbage"


def test_a_repeated_chunk_is_passed_on_once(cluster: Cluster) -> None:
    cluster.fault(ENGINE, repeat_chunk=3)
    reply = cluster.complete(BOX, 0, tokens=10, stream=True)
    assert reply.whole
    assert reply.streamed == cluster.expected(0, tokens=10)


def test_a_request_refused_by_the_engine_is_reported_as_not_run(cluster: Cluster) -> None:
    cluster.fault(ENGINE, refuse=True)
    headers = {"Springrock-Request-Id": "refused-1"}
    reply = cluster.complete(BOX, 0, headers=headers)
    assert reply.status == 503
    assert reply.error["run_state"] == "not_run"
    assert reply.headers["Retry-After"] == "1"
    assert cluster.runs_of("refused-1") == 0


def test_a_truncated_answer_is_resumed(cluster: Cluster) -> None:
    cluster.cut(*cluster.routes(sources=[BOX], targets=[ENGINE]), half_answer_bytes=1500)
    reply = cluster.complete(BOX, 0, tokens=12, stream=True)
    assert reply.whole
    assert reply.streamed == cluster.expected(0, tokens=12)


def test_a_request_to_a_frozen_engine_fails_soon_after_its_deadline(cluster: Cluster) -> None:
    cluster.fault(ENGINE, frozen=True)
    headers = {"Springrock-Deadline-Ms": "2000"}
    began = time.monotonic()
    reply = cluster.complete(BOX, 0, tokens=5, headers=headers)
    took_s = time.monotonic() - began
    assert reply.status in (502, 503)
    assert reply.error["run_state"] in ("unknown", "cut", "not_run")
    assert took_s < 10.0, "the answer came long after the deadline"


def test_the_request_of_a_disconnected_caller_is_cancelled(cluster: Cluster) -> None:
    import http.client

    host, port = cluster.addresses.callers[BOX].split(":")
    connection = http.client.HTTPConnection(host, int(port))
    body = '{"model": "base:style-00000@1", "prompt": "x", "max_tokens": 2000, "stream": true}'
    connection.request("POST", "/v1/completions", body)
    response = connection.getresponse()
    response.read(100)
    assert cluster.counters(ENGINE)["open_streams"] == 1
    connection.sock.close() if connection.sock else response.close()
    response.close()
    wait_until(lambda: cluster.counters(ENGINE)["open_streams"] == 0, what="cancelled")
    wait_until(
        lambda: cluster.metric(BOX, "springrock_permits_outstanding") == 0,
        what="the permit is returned",
    )


def test_a_caller_that_disconnects_during_a_load_leaves_no_open_request(cluster: Cluster) -> None:
    import http.client

    cluster.fault("platform", part="weights", delay_s=3.0)
    host, port = cluster.addresses.callers[BOX].split(":")
    connection = http.client.HTTPConnection(host, int(port))
    body = '{"model": "base:style-00040@1", "prompt": "x", "max_tokens": 5}'
    connection.request("POST", "/v1/completions", body)
    wait_until(
        lambda: cluster.metric(BOX, "springrock_open_requests") == 1, what="the request waits"
    )
    connection.close()
    wait_until(
        lambda: cluster.metric(BOX, "springrock_open_requests") == 0, what="the request is closed"
    )
    cluster.fault("platform", part="weights")


def test_a_caller_that_stops_reading_has_its_request_cancelled(tmp_path: Path) -> None:
    import socket

    settings = {"caller_door": {"send_timeout_s": 1.0}}
    fast_steps = {"step_ms": 0.2, "step_ms_per_request": 0.0, "step_ms_per_adapter": 0.0}
    with Cluster(tmp_path, SHAPE, box_settings=settings, engine_settings=fast_steps) as cluster:
        host, port = cluster.addresses.callers[BOX].split(":")
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client_socket.connect((host, int(port)))
        body = b'{"model": "base", "prompt": "x", "max_tokens": 8000, "stream": true}'
        head = f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n"
        head += "Springrock-Deadline-Ms: 120000\r\n\r\n"
        client_socket.sendall(head.encode() + body)
        wait_until(lambda: cluster.counters(ENGINE)["open_streams"] == 1, what="the stream opens")
        wait_until(
            lambda: cluster.counters(ENGINE)["open_streams"] == 0,
            within_s=60.0,
            what="cancelled",
        )
        client_socket.close()
