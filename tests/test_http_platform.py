"""The client of the platform's HTTP services: answers that do not end, and large ones."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from springrock.errors import PlatformUnavailable
from springrock.platform_clients.http import HttpPlatform
from springrock.settings import PlatformSection
from tests.endless import ENDLESS, FLOODS, ending_within, endless, other_tasks_running
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request

TIMEOUT_S = 0.4


def platform_at(address: str) -> HttpPlatform:
    return HttpPlatform(
        PlatformSection(
            table_address=address,
            objects_address=address,
            list_address=address,
            request_timeout_s=TIMEOUT_S,
        )
    )


def answering(data: bytes) -> Script:
    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    return _script


@pytest.mark.parametrize(("first", "block", "pause_s"), ENDLESS)
def test_a_page_without_end_is_none_in_time(first: bytes, block: bytes, pause_s: float) -> None:
    with (
        ScriptedReplica(endless(first, block, pause_s)) as server,
        ending_within(TIMEOUT_S + 0.5),
        pytest.raises(PlatformUnavailable),
    ):
        platform_at(server.address).listing()


@pytest.mark.parametrize("what", ["interim heads", "a status line", "a header"])
def test_an_object_whose_head_does_not_end_is_none_in_time(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as server,
        ending_within(TIMEOUT_S + 0.5),
        pytest.raises(PlatformUnavailable),
    ):
        platform_at(server.address).get_object("snapshot")


@pytest.mark.parametrize("what", ["chunks", "trailers"])
def test_an_object_without_end_is_none(what: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("springrock.platform_clients.http._OBJECT_TIMEOUT_S", TIMEOUT_S)
    with (
        ScriptedReplica(endless(*FLOODS[what])) as server,
        ending_within(2 * TIMEOUT_S + 0.5),
        other_tasks_running(),
        pytest.raises(PlatformUnavailable),
    ):
        platform_at(server.address).get_object("snapshot")


@pytest.mark.parametrize(
    ("status", "found"), [("200 OK", bytes(70_000_000)), ("404 Not Found", None)]
)
def test_a_large_object_is_read(status: str, found: bytes | None) -> None:
    data = answer("", found or b"none", status=status)
    with ScriptedReplica(answering(data)) as server:
        assert platform_at(server.address).get_object("snapshot") == found


def _read_listing(platform: HttpPlatform) -> object:
    return platform.listing()


def _read_object(platform: HttpPlatform) -> object:
    return platform.get_object("snapshot")


@pytest.mark.parametrize("call", [_read_listing, _read_object])
def test_an_error_of_the_server_is_no_answer(call: Callable[[HttpPlatform], object]) -> None:
    data = answer("", b"failed", status="500 Failed")
    with ScriptedReplica(answering(data)) as server, pytest.raises(PlatformUnavailable):
        call(platform_at(server.address))
