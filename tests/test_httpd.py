"""The HTTP server starts without a DNS look-up, which could be slow."""

from __future__ import annotations

import pytest
from gevent import socket

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
