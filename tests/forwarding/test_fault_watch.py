"""A box that fails all requests by a fault of its own is not ready."""

from __future__ import annotations

import contextlib
import http.client
import socket
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from springrock.emulator.ports import free_addresses
from springrock.forwarding import fault_watch as fault_watch_module
from springrock.forwarding.configuration import ClientLimits
from springrock.forwarding.door import ForwardingDoor
from springrock.forwarding.fault_watch import FaultWatch
from springrock.forwarding.message import ClientRequest
from springrock.forwarding.reply import Reply, own_reply
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.settings import split_address


def test_a_box_fails_while_all_its_latest_requests_do(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr(fault_watch_module, "monotonic", lambda: now)
    watch = FaultWatch()
    for _ in range(9):
        watch.record_fault()
    assert not watch.failing
    watch.record_handled()
    watch.record_fault()
    assert not watch.failing
    for _ in range(9):
        watch.record_fault()
    assert watch.failing
    now += 5.0
    assert not watch.failing, "it is tried again"
    watch.record_fault()
    assert watch.failing, "one more is enough"
    watch.record_handled()
    assert not watch.failing


class FaultyForwarder:
    """Raises while it is faulty; implements `forward` of `Forwarder`."""

    def __init__(self) -> None:
        self.faulty = True

    def forward(self, request: ClientRequest) -> Reply:
        if self.faulty:
            raise KeyError(request.request_id)
        return own_reply(404, "no_route")


def test_the_door_counts_and_logs_requests_that_fail_by_a_fault(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with running_door(forwarder := FaultyForwarder()) as (door, address):
        assert [status(address) for _ in range(10)] == [500] * 10
        assert door.faults.failing
        forwarder.faulty = False
        assert status(address) == 404
        assert not door.faults.failing
        assert door.open_requests == 0


def test_clients_that_break_off_their_bodies_are_no_fault_of_the_box() -> None:
    forwarder = FaultyForwarder()
    forwarder.faulty = False
    with running_door(forwarder) as (door, address):
        for _ in range(12):
            gevent.get_hub().threadpool.apply(_break_off, (address,))
        assert status(address) == 404
        assert not door.faults.failing
        for _ in range(12):
            gevent.get_hub().threadpool.apply(_break_off, (address,))
        assert not door.faults.failing


@contextlib.contextmanager
def running_door(forwarder: Any) -> Iterator[tuple[ForwardingDoor, str]]:
    [address] = free_addresses(1)
    door = ForwardingDoor(
        address,
        forwarder=forwarder,
        dialect=PlatformDialect(),
        limits=lambda: ClientLimits(body_bytes=100),
        log=Log("door", "box-1"),
        metrics=ForwardingMetrics(),
    )
    door.start()
    try:
        yield door, address
    finally:
        door.stop()


def _break_off(address: str) -> None:
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nSpringrock-Request-Id: r1\r\nContent-Length: 50\r\n\r\n"
    with socket.create_connection(split_address(address), timeout=5.0) as connection:
        connection.sendall(head + b"part")
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(1000):
            continue


def status(address: str) -> int:
    return int(gevent.get_hub().threadpool.apply(_status, (address,)))


def _status(address: str) -> int:
    connection = http.client.HTTPConnection(address, timeout=5.0)
    connection.request("GET", "/x", headers={"Springrock-Request-Id": "r1"})
    try:
        return connection.getresponse().status
    finally:
        connection.close()
