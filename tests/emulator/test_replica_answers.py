"""Tests of how the stand-in of a replica frames and breaks its answers."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import urllib3

from springrock.emulator.ports import free_addresses
from springrock.settings import split_address
from tests.processes import Processes, wait_until


class Standins(NamedTuple):
    """A replica, and a proxy before it."""

    replica: str
    through_proxy: str


@pytest.fixture(params=["", "base"], ids=["plain", "engine"])
def standins(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Standins]:
    replica, proxied, control, nowhere = free_addresses(4)
    settings = {
        "address": replica,
        "service": "s",
        "store_address": nowhere,
        "availability_zone": "zone-1",
        "base_model": request.param,
        "needs_instance": False,
    }
    route = {"name": "r", "address": proxied, "target_address": replica}
    processes = Processes(tmp_path)
    processes.spawn("replica", ["standin", "replica"], settings)
    processes.spawn("proxy", ["standin", "proxy"], {"address": control, "routes": [route]})
    try:
        for address in (replica, proxied):
            wait_until(lambda address=address: accepts(address), what=f"{address} accepts")
        yield Standins(replica, proxied)
    finally:
        processes.stop()


def accepts(address: str) -> bool:
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        url = f"http://{address}/standin/counters"
        return urllib3.request("GET", url, retries=False).status == 200
    return False


def set_fault(standins: Standins, **fault: Any) -> None:
    url = f"http://{standins.replica}/standin/faults"
    assert urllib3.request("POST", url, body=json.dumps(fault)).status == 200


def received_from(address: str) -> tuple[bytes, bytes, bool]:
    """Return head and body of the answer to a request, and whether a reset ended it."""
    request = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nSpringrock-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
    )
    data, was_reset = b"", False
    with socket.create_connection(split_address(address), timeout=5) as connection:
        connection.sendall(request)
        try:
            while block := connection.recv(65_536):
                data += block
        except ConnectionResetError:
            was_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body, was_reset


def whole_body(standins: Standins) -> bytes:
    set_fault(standins, unframed=True)
    return received_from(standins.replica)[1]


def test_an_unframed_answer_is_ended_by_its_connection_alone(standins: Standins) -> None:
    set_fault(standins, unframed=True)
    head, body, was_reset = received_from(standins.replica)
    assert head.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nConnection: close" in head
    assert b"content-length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert body in (b"POST /x 0", b"".join(map(event, range(1, 6))))
    assert not was_reset


def event(number: int) -> bytes:
    return b"id: %d\ndata: token %d\n\n" % (number, number)


@pytest.mark.parametrize("break_inside", [False, True])
@pytest.mark.parametrize("broken_by", ["close", "reset"])
def test_an_unframed_answer_breaks_where_the_fault_says(
    standins: Standins, break_inside: bool, broken_by: str
) -> None:
    whole = whole_body(standins)
    fault = {"breaks": 1, "break_after": 2, "break_inside": break_inside}
    set_fault(standins, unframed=True, broken_by=broken_by, **fault)
    _, body, was_reset = received_from(standins.replica)
    events = event(1) + event(2)
    if broken_by == "close":
        # A reset may discard bytes that have not been read.
        assert body in (b"POST", events + (b"id: 3\nda" if break_inside else b""))
    assert whole.startswith(body)
    assert was_reset is (broken_by == "reset")
    assert received_from(standins.replica)[1] == whole


def test_a_reset_passes_through_the_proxy(standins: Standins) -> None:
    set_fault(standins, unframed=True, breaks=1, broken_by="reset")
    assert received_from(standins.through_proxy)[2]


def test_a_crash_ends_the_answer_and_the_replica(standins: Standins) -> None:
    set_fault(standins, unframed=True, breaks=1, break_after=2, broken_by="crash")
    _, body, _ = received_from(standins.through_proxy)
    assert body in (b"POST", event(1) + event(2))
    with pytest.raises(ConnectionRefusedError):
        received_from(standins.through_proxy)


def test_a_crashed_replica_refuses_as_soon_as_its_answer_has_ended(standins: Standins) -> None:
    set_fault(standins, unframed=True, breaks=1, broken_by="crash")
    received_from(standins.replica)
    with pytest.raises(ConnectionRefusedError):
        received_from(standins.replica)


def test_an_answer_comes_again_in_the_place_of_the_next_one(standins: Standins) -> None:
    set_fault(standins, copies=True, refuse=True)
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    request = head + b"Springrock-Request-Id: %s\r\n\r\n"
    with socket.create_connection(split_address(standins.replica), timeout=5) as connection:
        connection.sendall(request % b"r1")
        first = connection.recv(65_536)
        connection.settimeout(0.2)
        with pytest.raises(TimeoutError):
            connection.recv(65_536)
        connection.settimeout(5)
        connection.sendall(request % b"r2")
        rest = b""
        while b"Request-Id: r2" not in rest:
            rest += connection.recv(65_536)
    for data in (first, rest):
        assert data.startswith(b"HTTP/1.1 503 ")
        assert b"Request-Id: r1" in data
    assert rest.index(b"Request-Id: r1") < rest.index(b"Request-Id: r2")
