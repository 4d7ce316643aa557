"""The HTTP server: its start, and replies that break off."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from gevent import socket

from springrock.errors import AnswerCut
from springrock.httpd import HttpServer


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
