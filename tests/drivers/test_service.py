"""The driver of plain services does not reuse a connection that the service will close."""

from __future__ import annotations

import socket

from springrock.drivers.service import ServiceDriver
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


def test_a_single_use_connection_is_not_reused() -> None:
    with ScriptedReplica(answer_and_reset_next_request, answer_once) as replica:
        section = UpstreamSection(
            name="service-1", availability_zone="zone-1", address=replica.address
        )
        driver = ServiceDriver(section)
        bodies = [
            driver.call("POST", "/x", body=b"", headers={"Connection": "close"}, timeout_s=5.0).body
            for _ in range(2)
        ]
    assert bodies == [b"first", b"second"]
