"""The driver of plain services: connections that the service closes, and answers that break off."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from springrock.drivers.service import ServiceDriver
from springrock.errors import UpstreamBroke
from springrock.settings import UpstreamSection
from tests.early import LONG_UPLOAD, RESETS, EarlyReplica, answering_early
from tests.endless import (
    CHUNKED,
    ENDLESS,
    FLOODS,
    SENDING_S,
    ending_within,
    endless,
    other_tasks_running,
)
from tests.forwarding.scripted import ScriptedReplica, answer, read_request, reset


def answer_and_reset_next_request(connection: socket.socket) -> None:
    read_request(connection)
    connection.sendall(answer("r1", b"first"))
    if read_request(connection):
        reset(connection)


def answer_once(connection: socket.socket) -> None:
    read_request(connection)
    connection.sendall(answer("r2", b"second"))


def driver_for(replica: ScriptedReplica) -> ServiceDriver:
    section = UpstreamSection(name="service-1", availability_zone="zone-1", address=replica.address)
    return ServiceDriver(section)


def answer_without_length(connection: socket.socket) -> None:
    read_request(connection)
    connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nbody")


def test_a_single_use_connection_is_not_reused() -> None:
    with ScriptedReplica(answer_and_reset_next_request, answer_once) as replica:
        driver = driver_for(replica)
        bodies = [
            driver.call("POST", "/x", body=b"", headers={"Connection": "close"}, timeout_s=5.0).body
            for _ in range(2)
        ]
    assert bodies == [b"first", b"second"]


def test_an_answer_without_length_is_broken_if_its_service_is_gone_at_the_end() -> None:
    def _crash(connection: socket.socket) -> None:
        answer_without_length(connection)
        service.stop_listening()

    with ScriptedReplica(_crash) as service, pytest.raises(UpstreamBroke):
        driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=5.0)


def test_an_answer_without_length_is_whole_if_its_service_lives_on() -> None:
    with ScriptedReplica(answer_without_length) as service:
        found = driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=5.0)
    assert found.body == b"body"


@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error"])
def test_an_early_answer_without_length_that_is_reset_is_broken(
    status: str, end: Callable[[socket.socket], None]
) -> None:
    data = f"HTTP/1.1 {status}\r\n\r\npart".encode()

    def _accept(connection: socket.socket) -> None:
        read_request(connection)

    with (
        EarlyReplica(answering_early(data, end), _accept) as service,
        pytest.raises(UpstreamBroke),
    ):
        driver_for(service).call("POST", "/x", body=LONG_UPLOAD, headers={}, timeout_s=5.0)


def call_service_that_dies(method: str, data: bytes) -> bytes:
    """Call a service that answers and is gone at the end of its answer; return the body."""

    def _crash(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)
        service.stop_listening()

    with ScriptedReplica(_crash) as service:
        return driver_for(service).call(method, "/x", body=b"", headers={}, timeout_s=5.0).body


def test_an_answer_that_can_have_no_body_is_whole_although_its_service_is_gone() -> None:
    assert call_service_that_dies("HEAD", b"HTTP/1.1 200 OK\r\n\r\n") == b""
    assert call_service_that_dies("GET", b"HTTP/1.1 204 None\r\n\r\n") == b""


@pytest.mark.parametrize("header", [b"Content-Length: x", b"Transfer-Encoding: identity"])
def test_a_header_that_marks_no_end_does_not_make_an_answer_whole(header: bytes) -> None:
    with pytest.raises(UpstreamBroke):
        call_service_that_dies("GET", b"HTTP/1.1 200 OK\r\n%s\r\n\r\nbody" % header)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0004\r\nbody\r\n00",
    ],
    ids=["head", "chunk size"],
)
def test_an_answer_cut_off_inside_a_line_of_its_framing_is_broken(data: bytes) -> None:
    def _cut_off(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    with ScriptedReplica(_cut_off) as service, pytest.raises(UpstreamBroke):
        driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=5.0)


def test_an_answer_whose_connection_ends_with_its_last_chunk_is_whole() -> None:
    def _answer(connection: socket.socket) -> None:
        read_request(connection)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head + b"4\r\nbody\r\n0\r\n")

    with ScriptedReplica(_answer) as service:
        answer = driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=5.0)
    assert answer.body == b"body"


def test_a_service_is_not_waited_for_longer_than_its_call_may_take(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeouts: list[float] = []
    connect = socket.create_connection

    def _record(address: tuple[str, int], timeout: float) -> socket.socket:
        timeouts.append(timeout)
        return connect(address, timeout)

    with ScriptedReplica(answer_without_length) as service:
        monkeypatch.setattr(socket, "create_connection", _record)
        driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=0.5)
    assert len(timeouts) == 1
    assert timeouts[0] <= 0.5


CALL_S = 0.5


@pytest.mark.parametrize(("first", "block", "pause_s"), ENDLESS)
def test_an_answer_without_end_is_broken_in_time(
    first: bytes, block: bytes, pause_s: float
) -> None:
    with (
        ScriptedReplica(endless(first, block, pause_s)) as service,
        ending_within(CALL_S + 0.5),
        pytest.raises(UpstreamBroke),
    ):
        driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=CALL_S)


def test_an_answer_over_the_limit_is_broken_and_not_read_to_its_end() -> None:
    service = ScriptedReplica(endless(*FLOODS["chunks"]), answer_once)
    with service, ending_within(SENDING_S - 0.5):
        driver = driver_for(service)
        with pytest.raises(UpstreamBroke, match="size limit"):
            driver.call("GET", "/x", body=b"", headers={}, timeout_s=60.0)
        assert driver.call("GET", "/x", body=b"", headers={}, timeout_s=5.0).body == b"second"


def test_other_tasks_run_while_an_answer_keeps_coming() -> None:
    with (
        ScriptedReplica(endless(*FLOODS["trailers"])) as service,
        other_tasks_running(),
        pytest.raises(UpstreamBroke),
    ):
        driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=CALL_S)


def test_the_largest_answer_is_whole() -> None:
    body = bytes(8_388_608)
    chunks = [body[at : at + 1000] for at in range(0, len(body), 1000)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)

    def _answer(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(CHUNKED + framed + b"0\r\nName: value\r\n\r\n")

    with ScriptedReplica(_answer) as service:
        found = driver_for(service).call("GET", "/x", body=b"", headers={}, timeout_s=10.0)
    assert found.body == body
