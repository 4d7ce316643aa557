"""No library sets a time-out on sockets that would decide when keep-alive probes give up."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest
import urllib3

from springrock.forwarding.connection import Connection


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


def user_timeout_ms(connected: socket.socket) -> int:
    return connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_connections_to_replicas_have_none(listener: socket.socket) -> None:
    host, port = listener.getsockname()
    connection = Connection(f"{host}:{port}", connect_timeout_s=1.0)
    assert user_timeout_ms(connection._socket) == 0
    connection.close()


def test_connections_to_the_store_and_to_engines_have_none(listener: socket.socket) -> None:
    host, port = listener.getsockname()
    connection = urllib3.HTTPConnectionPool(host, port)._new_conn()
    connection.connect()
    assert connection.sock is not None
    assert user_timeout_ms(connection.sock) == 0
    connection.close()
