"""Tests of the proxy before a target that ends and starts again."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.ports import free_addresses
from springrock.settings import split_address
from tests.processes import Processes, wait_until


@pytest.fixture
def proxied(tmp_path: Path) -> Iterator[tuple[str, socket.socket]]:
    """The proxy's address and the socket on which its target listens."""
    address, control = free_addresses(2)
    target = socket.create_server(("127.0.0.1", 0))
    host, port = target.getsockname()
    route = {"name": "r", "address": address, "target_address": f"{host}:{port}"}
    processes = Processes(tmp_path)
    processes.spawn("proxy", ["standin", "proxy"], {"address": control, "routes": [route]})
    try:
        wait_until(lambda: accepts(address), what="the proxy accepts")
        yield address, target
    finally:
        processes.stop()
        target.close()


def accepts(address: str) -> bool:
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection(split_address(address), timeout=5).close()
        return True
    return False


def test_a_caller_that_sees_its_connection_end_finds_a_dead_target_refusing(
    proxied: tuple[str, socket.socket],
) -> None:
    address, target = proxied
    with socket.create_connection(split_address(address), timeout=5) as caller:
        caller.sendall(b"x")
        connection = next(one for one in iter(lambda: target.accept()[0], None) if one.recv(1))
        target.close()
        connection.close()
        assert caller.recv(1) == b""
        assert not accepts(address)


def test_the_proxy_accepts_again_once_its_target_does(
    proxied: tuple[str, socket.socket],
) -> None:
    address, target = proxied
    where = target.getsockname()
    target.close()
    wait_until(lambda: not accepts(address), what="the proxy refuses")
    with socket.create_server(where):
        wait_until(lambda: accepts(address), what="the proxy accepts")


def test_the_proxy_refuses_again_after_many_connections_ended_at_once(
    proxied: tuple[str, socket.socket],
) -> None:
    address, target = proxied
    where = target.getsockname()
    callers = [socket.create_connection(split_address(address), timeout=5) for _ in range(20)]
    for caller in callers:
        caller.sendall(b"x")
    ends = [one for one in (target.accept()[0] for _ in range(21)) if one.recv(1)]
    target.close()
    for end in ends:
        end.close()
    wait_until(lambda: not accepts(address), what="the proxy refuses")
    with socket.create_server(where):
        wait_until(lambda: accepts(address), what="the proxy accepts")
    wait_until(lambda: not accepts(address), what="the proxy refuses again")
    for caller in callers:
        caller.close()
