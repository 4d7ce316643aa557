"""A box that fails all requests by a fault of its own is not ready."""

from __future__ import annotations

import http.client
from typing import Any

import gevent
import pytest

from springrock.emulator.ports import free_addresses
from springrock.forwarding import fault_watch as fault_watch_module
from springrock.forwarding.door import ForwardingDoor
from springrock.forwarding.fault_watch import FaultWatch
from springrock.forwarding.message import ClientRequest
from springrock.forwarding.reply import Reply, own_reply
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect


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
    [address] = free_addresses(1)
    forwarder: Any = FaultyForwarder()
    door = ForwardingDoor(
        address,
        forwarder=forwarder,
        dialect=PlatformDialect(),
        body_limit_bytes=lambda: 100,
        log=Log("door", "box-1"),
        metrics=ForwardingMetrics(),
    )
    door.start()
    try:
        assert [status(address) for _ in range(10)] == [500] * 10
        assert door.faults.failing
        forwarder.faulty = False
        assert status(address) == 404
        assert not door.faults.failing
        assert door.open_requests == 0
    finally:
        door.stop()


def status(address: str) -> int:
    return int(gevent.get_hub().threadpool.apply(_status, (address,)))


def _status(address: str) -> int:
    connection = http.client.HTTPConnection(address, timeout=5.0)
    connection.request("GET", "/x", headers={"Springrock-Request-Id": "r1"})
    try:
        return connection.getresponse().status
    finally:
        connection.close()
