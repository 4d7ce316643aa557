"""Tests that the stand-in of a replica records how its answers ended, as a judge relies on it."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from springrock.emulator.ports import free_addresses
from springrock.emulator.replica_events import AnswerEnd, ReplicaEventKind, read_replica_events
from springrock.platform import names
from springrock.settings import split_address
from tests.processes import Processes, wait_until


class Replica:
    """A replica stand-in in a process of its own."""

    def __init__(self, folder: Path, base_model: str) -> None:
        self.address, nowhere = free_addresses(2)
        self.events = folder / "events"
        self.processes = Processes(folder)
        settings = {
            "address": self.address,
            "service": "s",
            "store_address": nowhere,
            "availability_zone": "zone-1",
            "base_model": base_model,
            "needs_instance": False,
            "events": 20,
            "event_pause_ms": 20.0,
            "events_path": str(self.events),
        }
        self.processes.spawn("replica", ["standin", "replica"], settings)
        wait_until(self._accepts, what="the replica accepts")

    def _accepts(self) -> bool:
        try:
            socket.create_connection(split_address(self.address)).close()
        except OSError:
            return False
        return True

    def set_fault(self, **fault: Any) -> None:
        url = f"http://{self.address}/standin/faults"
        assert urllib3.request("POST", url, body=json.dumps(fault)).status == 200

    def ask(self, request_id: str) -> bytes:
        """Return the bytes of an answer until its connection ends."""
        with self.connect(request_id) as connection:
            received = b""
            try:
                while data := connection.recv(65_536):
                    received += data
            except ConnectionResetError:
                pass
            return received

    def connect(self, request_id: str) -> socket.socket:
        """Send a request and return its connection."""
        head = f"POST /x HTTP/1.1\r\nHost: h\r\n{names.REQUEST_ID}: {request_id}\r\n"
        connection = socket.create_connection(split_address(self.address), timeout=10.0)
        connection.sendall(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
        return connection

    def end_of(self, request_id: str) -> str:
        """Return how the only answer to a request ended."""
        ends = wait_until(lambda: self._ends_of(request_id), what=f"{request_id} has ended")
        assert len(ends) == 1
        return str(ends[0])

    def _ends_of(self, request_id: str) -> list[str]:
        return [
            event.detail
            for event in read_replica_events(self.events)
            if event.kind is ReplicaEventKind.ENDED and event.request_id == request_id
        ]


@pytest.fixture(params=["", "base"], ids=["plain", "engine"])
def replica(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Replica]:
    replica = Replica(tmp_path, request.param)
    try:
        yield replica
    finally:
        replica.processes.stop()


def test_a_whole_answer_ends_whole(replica: Replica) -> None:
    assert b"200 OK" in replica.ask("r1")
    assert replica.end_of("r1") == AnswerEnd.WHOLE


def test_a_failure_ends_whole(replica: Replica) -> None:
    replica.set_fault(fail=True)
    assert b"500 " in replica.ask("r1")
    assert replica.end_of("r1") == AnswerEnd.WHOLE


@pytest.mark.parametrize("broken_by", ["close", "reset"])
def test_an_answer_that_the_replica_breaks_ends_broken_off(
    replica: Replica, broken_by: str
) -> None:
    replica.set_fault(unframed=True, breaks=1, broken_by=broken_by)
    assert b"200 OK" in replica.ask("r1")
    assert replica.end_of("r1") == AnswerEnd.BROKEN_OFF


@pytest.mark.parametrize("replica", ["base"], indirect=True)
def test_a_stream_that_is_cut_ends_broken_off(replica: Replica) -> None:
    replica.set_fault(cut_after=2)
    assert b"id: 2\n" in replica.ask("r1")
    assert replica.end_of("r1") == AnswerEnd.BROKEN_OFF


@pytest.mark.parametrize("replica", ["base"], indirect=True)
def test_a_stream_whose_connection_is_closed_ends_closed(replica: Replica) -> None:
    with replica.connect("r1") as connection:
        assert connection.recv(65_536)
    assert replica.end_of("r1") == AnswerEnd.CLOSED


@pytest.mark.parametrize("replica", ["base"], indirect=True)
def test_a_replica_that_exits_in_a_stream_records_no_end(replica: Replica) -> None:
    replica.set_fault(unframed=True, breaks=1, broken_by="crash")
    replica.ask("r1")
    wait_until(lambda: not replica.processes.runs("replica"), what="the replica exits")
    ran = [event for event in read_replica_events(replica.events) if event.request_id == "r1"]
    assert [event.kind for event in ran] == [ReplicaEventKind.RAN]
