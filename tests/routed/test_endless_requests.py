"""Requests that never end: a caller that sends one is refused in time, and harms no other."""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools
import select
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from springrock.clock import monotonic
from springrock.settings import split_address
from tests.processes import wait_until
from tests.routed.deployment import HOST, REPLICAS, Answer, Deployment

DEADLINE_S = 2.0
"""The deadline that the requests name, and the time limit for their heads."""

ENDED_WITHIN_S = DEADLINE_S + 0.5
SERVED_WITHIN_S = 1.0
"""The target of the routes."""

MAX_MEMORY_MB = 160
"""The smallest boxes have this much."""

CALLERS = 8
LIMITS = {"headerTimeoutMs": DEADLINE_S * 1000, "maxHeaderBytes": 16_384}
SLOW_PAUSE_S = 0.3
BLOCK_BYTES = 65_536
REFUSALS = {400, 408, 413, 414, 431}

LINE = "POST /lookup/x HTTP/1.1\r\n"
HEAD = (
    f"{LINE}Host: {HOST}\r\nSpringrock-Request-Id: {{id}}\r\n"
    f"Springrock-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n"
)
CHUNKED = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"

FAST = {
    "request_line": ("POST /", "x"),
    "empty_lines": ("", "\r\n"),
    "header": (f"{HEAD}X-Endless: ", "x"),
    "headers": (HEAD, "X-Endless: x\r\n"),
    "chunk_size": (f"{CHUNKED}5", ";x=y"),
    "small_chunks": (CHUNKED, "1\r\nx\r\n"),
    "large_chunks": (CHUNKED, f"1000\r\n{'x' * 4096}\r\n"),
    "trailers": (f"{CHUNKED}5\r\nhello\r\n0\r\n", "X-Endless: x\r\n"),
    "trailer": (f"{CHUNKED}5\r\nhello\r\n0\r\nX-Endless: ", "x"),
    "length": (f"{HEAD}Content-Length: {2**50}\r\n\r\n", "x"),
}
SLOW = {
    "request_line": ("POST /", "x"),
    "header": (f"{HEAD}X-Endless: ", "x"),
    "chunk_size": (f"{CHUNKED}5;", "x"),
    "chunk": (f"{CHUNKED}1000\r\n", "x"),
    "trailer": (f"{CHUNKED}5\r\nhello\r\n0\r\nX-Endless: ", "x"),
    "length": (f"{HEAD}Content-Length: 1000\r\n\r\n", "x"),
}


class Call(NamedTuple):
    """The status of a request's answer, 0 without one, and how long it took."""

    status: int
    took_s: float


class Sender:
    """A caller that sends a request without end until the box answers or closes the connection."""

    def __init__(self, address: str, *, beginning: str, repeated: str, pause_s: float) -> None:
        self._address = split_address(address)
        self._beginning = beginning.encode()
        self._block = repeated.encode()
        if not pause_s:
            self._block *= BLOCK_BYTES // len(self._block)
        self._pause_s = pause_s

    def run(self, *, within_s: float) -> Call:
        """Return the answer's status; it took as long as the connection lived."""
        begun_at = monotonic()
        with socket.create_connection(self._address) as connection:
            connection.sendall(self._beginning)
            connection.setblocking(False)
            status = self._send_on(connection, until=begun_at + within_s)
        return Call(status, monotonic() - begun_at)

    def _send_on(self, connection: socket.socket, *, until: float) -> int:
        """Send until the box has answered and closed the connection; return the status."""
        received = b""
        for _ in itertools.takewhile(lambda _: monotonic() < until, itertools.count()):
            readable, _, _ = select.select([connection], [], [], self._pause_s)
            if readable:
                data = self._receive(connection)
                if not data:
                    break
                received += data
            elif not received:
                self._send(connection)
        return int(received.split()[1]) if received.startswith(b"HTTP/1.1 ") else 0

    def _receive(self, connection: socket.socket) -> bytes:
        try:
            return connection.recv(BLOCK_BYTES)
        except ConnectionResetError:
            return b""

    def _send(self, connection: socket.socket) -> None:
        # A connection that the box has closed is readable, too.
        with contextlib.suppress(BlockingIOError, ConnectionResetError, BrokenPipeError):
            connection.send(self._block)
        if not self._pause_s:
            select.select([connection], [connection], [], 0.1)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder = tmp_path_factory.mktemp("endless")
    with Deployment(folder, boxes=1, zones=("zone-1",), limits=LIMITS) as deployment:
        deployment.start_replica("rosters-2", "rosters", "zone-1")
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS - 1)
        deployment.send_until_served("box-1", "/lookup/x")
        yield deployment


def call(deployment: Deployment) -> Call:
    sent_at = monotonic()
    try:
        answer = deployment.send("box-1", "/lookup/x", deadline_ms=round(DEADLINE_S * 1000))
    except OSError as error:
        answer = Answer(0, {}, repr(error).encode(), is_complete=False)
    return Call(answer.status if answer.is_complete else 0, monotonic() - sent_at)


def memory_mb(deployment: Deployment) -> float:
    """Return the most memory that the box has held since its start."""
    status = Path(f"/proc/{deployment.processes['box-1'].pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def assert_refused_and_harmless(deployment: Deployment, **part: Any) -> list[Call]:
    """Send a part without end from several callers at once; return what they got."""
    beginnings = [part["beginning"].replace("{id}", deployment.new_id()) for _ in range(CALLERS)]
    senders = [
        Sender(deployment.clients["box-1"], **{**part, "beginning": beginning})
        for beginning in beginnings
    ]
    others = []
    with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as pool:
        held = [pool.submit(sender.run, within_s=2 * DEADLINE_S) for sender in senders]
        until = monotonic() + DEADLINE_S
        while monotonic() < until or not all(future.done() for future in held):
            others.append(pool.submit(call, deployment).result())
            time.sleep(0.05)
    ended = [future.result() for future in held]
    assert [item for item in others if item.status != 200] == []
    assert [item for item in others if item.took_s > SERVED_WITHIN_S] == []
    assert [item for item in ended if item.took_s > ENDED_WITHIN_S] == []
    assert [item for item in ended if item.status not in REFUSALS] == []
    assert memory_mb(deployment) < MAX_MEMORY_MB
    return ended


@pytest.mark.parametrize("part", FAST)
def test_a_caller_whose_bytes_never_end_is_refused_and_harms_no_other(
    deployment: Deployment, part: str
) -> None:
    beginning, repeated = FAST[part]
    assert_refused_and_harmless(deployment, beginning=beginning, repeated=repeated, pause_s=0.0)


@pytest.mark.parametrize("part", SLOW)
def test_a_caller_that_sends_byte_by_byte_is_refused_by_the_deadline_of_its_request(
    deployment: Deployment, part: str
) -> None:
    beginning, repeated = SLOW[part]
    ended = assert_refused_and_harmless(
        deployment, beginning=beginning, repeated=repeated, pause_s=SLOW_PAUSE_S
    )
    assert {item.status for item in ended} == {408}


def test_a_request_that_was_not_read_whole_leaves_a_line_with_its_id(
    deployment: Deployment,
) -> None:
    request_id = deployment.new_id()
    beginning, repeated = SLOW["length"]
    sender = Sender(
        deployment.clients["box-1"],
        beginning=beginning.replace("{id}", request_id),
        repeated=repeated,
        pause_s=SLOW_PAUSE_S,
    )
    assert sender.run(within_s=2 * DEADLINE_S).status == 408
    lines = wait_until(
        lambda: [line for line in deployment.log("box-1").splitlines() if request_id in line],
        what="the box logs the request",
    )
    [line] = lines
    assert '"body_time"' in line
    assert deployment.runs(request_id) == 0
