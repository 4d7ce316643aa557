"""Requests that are read while a configuration changes the limits of clients."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from springrock.clock import monotonic
from springrock.emulator.ports import free_addresses
from springrock.forwarding.configuration import ClientLimits
from springrock.forwarding.door import ForwardingDoor
from springrock.forwarding.message import AnswerHead, ClientRequest, Headers
from springrock.forwarding.reply import Reply
from springrock.log import Journal, Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.settings import split_address

LOW = ClientLimits(body_bytes=1_000)
HIGH = ClientLimits(body_bytes=4_000)
BODY = bytes(range(250)) * 12
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nSpringrock-Request-Id: r1\r\n"
CHUNK_BYTES = 300


class RecordingForwarder:
    """Answers every request with success; implements `forward` of `Forwarder`."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    def forward(self, request: ClientRequest) -> Reply:
        self.bodies.append(request.body)
        return Reply(AnswerHead(200, "OK", Headers()), [b"done"])


class RunningDoor:
    """A door whose limits for clients change."""

    def __init__(self, limits: ClientLimits) -> None:
        [address] = free_addresses(1)
        self.limits = limits
        self.forwarder = RecordingForwarder()
        self.door = ForwardingDoor(
            address,
            forwarder=self.forwarder,  # type: ignore[arg-type]
            dialect=PlatformDialect(),
            limits=lambda: self.limits,
            log=Log("door", "box-1", Journal()),
            metrics=ForwardingMetrics(),
        )
        self.address = split_address(address)

    def send(self, request: bytes, *, changes_after: int, to: ClientLimits) -> int:
        """Send a request, and change the limits after some bytes; return the status."""
        with socket.create_connection(self.address, timeout=5.0) as client:
            client.sendall(request[:changes_after])
            gevent.sleep(0.05)
            self.limits = to
            # A box that has refused the request may have closed the connection.
            with contextlib.suppress(OSError):
                client.sendall(request[changes_after:])
            return int(client.recv(65_536).split()[1])


@contextlib.contextmanager
def running(limits: ClientLimits) -> Iterator[RunningDoor]:
    box = RunningDoor(limits)
    box.door.start()
    try:
        yield box
    finally:
        box.door.stop()


def framed(body: bytes, framing: str) -> bytes:
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("changes_after", [1, len(HEAD) + 5, len(HEAD) + 500, len(HEAD) + 2500])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_part_of_a_body_is_not_forwarded_when_the_limit_is_raised_meanwhile(
    framing: str, changes_after: int
) -> None:
    """Guards against a body that is read up to one limit and compared with another."""
    with running(LOW) as box:
        status = box.send(framed(BODY, framing), changes_after=changes_after, to=HIGH)
    assert (status, box.forwarder.bodies) in [(200, [BODY]), (413, [])]


@pytest.mark.parametrize("changes_after", [len(HEAD) + 50, len(HEAD) + 2500])
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_a_request_within_the_limits_at_its_beginning_is_served_when_they_are_lowered(
    framing: str, changes_after: int
) -> None:
    with running(HIGH) as box:
        status = box.send(framed(BODY, framing), changes_after=changes_after, to=LOW)
    assert (status, box.forwarder.bodies) == (200, [BODY])


def test_a_request_after_a_change_on_a_connection_that_rested_goes_by_the_new_limits() -> None:
    """Guards against limits that are read when the connection begins to rest."""
    with running(LOW) as box, socket.create_connection(box.address, timeout=5.0) as client:
        for limits, body in ((LOW, BODY[:500]), (HIGH, BODY)):
            box.limits = limits
            client.sendall(framed(body, "length"))
            assert _status(client) == 200
            gevent.sleep(0.05)
    assert box.forwarder.bodies == [BODY[:500], BODY]


HALF = framed(BODY, "length")[:-1_500]


def test_a_request_that_still_comes_in_when_the_box_stops_is_refused_and_not_forwarded() -> None:
    """Guards against a stop that ends the connection of a request that is being read."""
    with running(HIGH) as box:
        with socket.create_connection(box.address, timeout=5.0) as client:
            client.sendall(HALF)
            gevent.sleep(0.05)
            box.door.end_reading(at=monotonic() + 0.2)
            answer = client.recv(65_536)
        with socket.create_connection(box.address, timeout=5.0) as client:
            client.sendall(HALF)
            later_answer = client.recv(65_536)
    for received in (answer, later_answer):
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b'"stopping"' in received
        assert b"Retry-After: 0" in received
    assert box.forwarder.bodies == []


def test_a_request_that_comes_in_before_the_box_stops_is_served() -> None:
    with running(HIGH) as box, socket.create_connection(box.address, timeout=5.0) as client:
        client.sendall(HALF)
        gevent.sleep(0.05)
        box.door.end_reading(at=monotonic() + 2.0)
        client.sendall(framed(BODY, "length")[len(HALF) :])
        assert _status(client) == 200


def _status(client: Any) -> int:
    received = b""
    while not received.endswith(b"done"):
        data = client.recv(65_536)
        if not data:
            break
        received += data
    return int(received.split()[1])
