"""Tests of the proxy: faults of new connections, and a target that ends and starts again."""

from __future__ import annotations

import contextlib
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
        self._where = host, port = self._target.getsockname()
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

    def end_target(self) -> None:
        self._target.close()

    def start_target(self) -> None:
        """Start the target again at its address."""
        self._target = socket.create_server(self._where)

    def accepts(self, name: str = "one") -> bool:
        return accepts(self._addresses[name])

    def connect(self, name: str) -> socket.socket:
        return socket.create_connection(split_address(self._addresses[name]), timeout=_TIMEOUT_S)

    def connect_through(self, name: str) -> tuple[socket.socket, socket.socket]:
        """Return both ends of a connection that passes bytes."""
        caller = self.connect(name)
        caller.settimeout(20)
        caller.sendall(b"there")
        return caller, self._accepted()

    def _accepted(self) -> socket.socket:
        """Return the connection that brought bytes; others only try the target."""
        while True:
            target, _ = self._target.accept()
            if target.recv(9) == b"there":
                return target

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


@pytest.fixture(params=[1, 2], ids=["one route", "two routes in a row"])
def before_target(
    tmp_path: Path, request: pytest.FixtureRequest
) -> Iterator[tuple[str, socket.socket]]:
    """The address of the first route, and the socket on which the target of the last listens."""
    control, *addresses = free_addresses(1 + request.param)
    target = socket.create_server(("127.0.0.1", 0))
    host, port = target.getsockname()
    targets = [*addresses[1:], f"{host}:{port}"]
    routes = [
        {"name": leads_to, "address": address, "target_address": leads_to}
        for address, leads_to in zip(addresses, targets, strict=True)
    ]
    processes = Processes(tmp_path)
    processes.spawn("proxy", ["standin", "proxy"], {"address": control, "routes": routes})
    try:
        wait_until(lambda: accepts(addresses[0]), what="the proxy accepts")
        yield addresses[0], target
    finally:
        processes.stop()
        target.close()


def accepts(address: str) -> bool:
    with contextlib.suppress(ConnectionRefusedError):
        socket.create_connection(split_address(address), timeout=5).close()
        return True
    return False


def test_a_caller_that_sees_its_connection_end_finds_a_dead_target_refusing(
    before_target: tuple[str, socket.socket],
) -> None:
    address, target = before_target
    with socket.create_connection(split_address(address), timeout=5) as caller:
        caller.sendall(b"x")
        connection = next(one for one in iter(lambda: target.accept()[0], None) if one.recv(1))
        target.close()
        connection.close()
        assert caller.recv(1) == b""
        assert not accepts(address)


def test_the_proxy_accepts_again_once_its_target_does(
    before_target: tuple[str, socket.socket],
) -> None:
    address, target = before_target
    where = target.getsockname()
    target.close()
    wait_until(lambda: not accepts(address), what="the proxy refuses")
    with socket.create_server(where):
        wait_until(lambda: accepts(address), what="the proxy accepts")


def test_the_proxy_refuses_again_after_many_connections_ended_at_once(
    before_target: tuple[str, socket.socket],
) -> None:
    address, target = before_target
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


def test_callers_whose_connections_end_at_once_find_a_dead_target_refusing_each_time(
    proxied: Proxied,
) -> None:
    for _ in range(2):
        wait_until(proxied.accepts, what="the proxy accepts")
        ends = [proxied.connect_through("one") for _ in range(8)]
        proxied.end_target()
        for _, target in ends:
            target.close()
        for caller, _ in ends:
            assert caller.recv(9) == b""
            assert not proxied.accepts()
        proxied.start_target()


def test_a_dead_target_is_refused_once_a_route_answers_new_connections_again(
    proxied: Proxied,
) -> None:
    caller, target = proxied.connect_through("one")
    proxied.fault("one", new_connections="unanswered")
    proxied.end_target()
    target.close()
    assert caller.recv(9) == b""
    with pytest.raises(TimeoutError):
        proxied.connect("one")
    proxied.fault("one")
    with pytest.raises(ConnectionRefusedError):
        proxied.connect("one")


def test_a_route_that_refuses_new_connections_still_does_once_its_target_is_back(
    proxied: Proxied,
) -> None:
    ends = [proxied.connect_through(name) for name in ("one", "two")]
    proxied.fault("one", new_connections="refused")
    proxied.end_target()
    for caller, target in ends:
        target.close()
        assert caller.recv(9) == b""
    proxied.start_target()
    wait_until(lambda: proxied.accepts("two"), what="the other route accepts")
    assert not proxied.accepts("one")
    proxied.fault("one")
    wait_until(proxied.accepts, what="the proxy accepts")
