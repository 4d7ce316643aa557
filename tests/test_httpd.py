"""The HTTP server: its start, and replies that break off."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from springrock.errors import AnswerCut
from springrock.httpd import RESPONSE_KEY, HttpServer


def test_a_start_does_no_dns_look_up(monkeypatch: pytest.MonkeyPatch) -> None:
    looked_up: list[str] = []
    monkeypatch.setattr(socket, "getfqdn", looked_up.append)
    server = HttpServer(lambda environ, start_response: [], "127.0.0.1:0")
    server.start()
    try:
        assert server.address.startswith("127.0.0.1:")
        assert looked_up == []
    finally:
        server.stop(finish_within_s=0.0)


@pytest.mark.parametrize(
    ("version", "expected"),
    [("1.0", ConnectionResetError), ("1.1", type(None))],
    ids=["without framing", "chunked"],
)
@pytest.mark.parametrize(
    "fault", [AnswerCut("injected fault"), RuntimeError("injected fault")], ids=["cut", "defect"]
)
def test_a_reply_that_breaks_off_never_looks_complete(
    version: str, expected: type[BaseException] | None, fault: Exception
) -> None:
    def _break_off(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterator[bytes]:
        start_response("200 OK", [])
        yield b"part"
        raise fault

    server = HttpServer(_break_off, "127.0.0.1:0")
    server.start()
    host, _, port = server.address.rpartition(":")
    received, error = b"", None
    try:
        with socket.create_connection((host, int(port)), timeout=5) as caller:
            caller.sendall(b"GET / HTTP/%s\r\nHost: h\r\n\r\n" % version.encode())
            while data := caller.recv(65_536):
                received += data
    except ConnectionResetError as reset:
        error = reset
    finally:
        server.stop(finish_within_s=0.0)
    assert type(error) is expected
    assert not received.endswith(b"0\r\n\r\n")


def test_a_caller_that_goes_on_reading_slowly_gets_the_whole_reply() -> None:
    """Guards against a timeout for all of a reply, which ends a large one early."""
    body = b"x" * 40_000_000

    def _reply(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        start_response("200 OK", [])
        return [body]

    received = 0
    with (
        _serving(_reply, send_timeout_s=0.5) as address,
        socket.create_connection(address, timeout=5) as caller,
    ):
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        while received < len(body):
            data = caller.recv(1_000_000)
            assert data, f"the reply ended after {received} bytes"
            received += len(data)
            gevent.sleep(1.5 * len(data) / len(body))


def test_a_caller_that_stops_reading_is_given_up_after_the_send_timeout() -> None:
    def _reply(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        environ[RESPONSE_KEY].on_end = errors.append
        start_response("200 OK", [])
        return [b"x" * 40_000_000]

    errors: list[BaseException | None] = []
    with (
        _serving(_reply, send_timeout_s=0.3) as address,
        socket.create_connection(address, timeout=5) as caller,
    ):
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        received = len(caller.recv(1_000_000))
        with gevent.Timeout(3.0):
            while not errors:
                gevent.sleep(0.01)
        with pytest.raises(ConnectionResetError):
            while data := caller.recv(1_000_000):
                received += len(data)
    assert isinstance(errors[0], TimeoutError)
    assert received < 40_000_000


@contextlib.contextmanager
def _serving(app: Any, *, send_timeout_s: float) -> Iterator[tuple[str, int]]:
    server = HttpServer(app, "127.0.0.1:0", send_timeout_s=send_timeout_s)
    server.start()
    host, _, port = server.address.rpartition(":")
    try:
        yield host, int(port)
    finally:
        server.stop(finish_within_s=0.0)
