"""The driver of plain services: connections that the service closes, and answers that break off."""

from __future__ import annotations

import socket

import pytest

from springrock.drivers.service import ServiceDriver
from springrock.errors import UpstreamBroke
from springrock.settings import UpstreamSection
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
