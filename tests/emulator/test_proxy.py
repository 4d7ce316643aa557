"""Tests of the proxy's faults that treat new connections differently from open ones."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from springrock.emulator.ports import free_addresses
from springrock.settings import split_address
from tests.processes import Processes, wait_until

_TIMEOUT_S = 0.4
_NAMES = ("one", "two")


class Proxied:
    """A server behind two routes of a proxy."""

    def __init__(self, folder: Path) -> None:
        self._target = socket.create_server(("127.0.0.1", 0))
        host, port = self._target.getsockname()
        self._control, *addresses = free_addresses(1 + len(_NAMES))
        self._addresses = dict(zip(_NAMES, addresses, strict=True))
        self.processes = Processes(folder)
        routes = [
            {"name": name, "address": address, "target_address": f"{host}:{port}"}
            for name, address in self._addresses.items()
        ]
        settings = {"address": self._control, "routes": routes}
        self.processes.spawn("proxy", ["standin", "proxy"], settings)
        wait_until(self._is_up, what="the proxy accepts faults")

    def stop(self) -> None:
        self.processes.stop()
        self._target.close()

    def fault(self, *names: str, **fault: object) -> None:
        body = json.dumps({"routes": names, **fault})
        url = f"http://{self._control}/standin/faults"
        assert urllib3.request("POST", url, body=body, retries=False).status == 200

    def connect(self, name: str) -> socket.socket:
        return socket.create_connection(split_address(self._addresses[name]), timeout=_TIMEOUT_S)

    def connect_through(self, name: str) -> tuple[socket.socket, socket.socket]:
        """Return both ends of a connection that passes bytes."""
        caller = self.connect(name)
        caller.settimeout(20)
        target, _ = self._target.accept()
        caller.sendall(b"there")
        assert target.recv(9) == b"there"
        return caller, target

    def _is_up(self) -> bool:
        try:
            self.fault(*_NAMES)
        except urllib3.exceptions.HTTPError:
            return False
        return True


@pytest.fixture
def proxied(tmp_path: Path) -> Iterator[Proxied]:
    proxied = Proxied(tmp_path)
    yield proxied
    proxied.stop()


@pytest.mark.parametrize(
    ("mode", "error"), [("refused", ConnectionRefusedError), ("unanswered", TimeoutError)]
)
def test_new_connections_fail_while_open_ones_live_on(
    proxied: Proxied, mode: str, error: type[OSError]
) -> None:
    caller, target = proxied.connect_through("one")
    proxied.fault("one", new_connections=mode)
    for _ in range(3):
        with pytest.raises(error):
            proxied.connect("one")
    target.sendall(b"back")
    assert caller.recv(9) == b"back"
    proxied.connect_through("two")
    proxied.fault("one")
    proxied.connect_through("one")
    caller.sendall(b"still")
    assert target.recv(9) == b"still"


def test_new_connections_may_be_treated_in_turn(proxied: Proxied) -> None:
    for mode in ("unanswered", "refused", "unanswered", "accepted", "refused", "accepted"):
        proxied.fault("one", new_connections=mode)
        if mode == "accepted":
            proxied.connect_through("one")
        else:
            with pytest.raises((ConnectionRefusedError, TimeoutError)):
                proxied.connect("one")


def test_a_reset_link_closes_open_connections_and_refuses_new_ones(proxied: Proxied) -> None:
    caller, _ = proxied.connect_through("one")
    proxied.fault("one", cut=True, new_connections="refused")
    assert caller.recv(9) == b""
    with pytest.raises(ConnectionRefusedError):
        proxied.connect("one")


def test_a_silent_link_holds_bytes_until_it_goes_on(proxied: Proxied) -> None:
    caller, target = proxied.connect_through("one")
    proxied.fault("one", black_hole=True, new_connections="unanswered")
    caller.sendall(b"held")
    target.settimeout(_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        target.recv(9)
    proxied.fault("one")
    target.settimeout(20)
    assert target.recv(9) == b"held"


def test_a_one_way_link_passes_bytes_in_the_other_direction(proxied: Proxied) -> None:
    caller, target = proxied.connect_through("one")
    proxied.fault("one", one_way="to_target", new_connections="unanswered")
    caller.sendall(b"held")
    target.sendall(b"back")
    assert caller.recv(9) == b"back"
    target.settimeout(_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        target.recv(9)
