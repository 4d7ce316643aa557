"""The readiness and metrics pages."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import pytest
from gevent import select
from gevent.socket import create_connection

from springrock.clock import monotonic
from springrock.emulator.ports import free_addresses
from springrock.forwarding.pages import MetricsPage, ReadinessPage
from springrock.metrics import ForwardingMetrics
from springrock.settings import split_address


def send_request(address: str, request_line: str) -> tuple[str, str]:
    """Return the head and the body of the response."""
    request = f"{request_line} HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n"
    with create_connection(split_address(address)) as connection:
        connection.sendall(request.encode())
        with connection.makefile("rb") as response:
            head, _, body = response.read().decode().partition("\r\n\r\n")
    return head, body


@pytest.fixture
def is_ready() -> list[bool]:
    return [True]


@pytest.fixture
def readiness(is_ready: list[bool]) -> Iterator[str]:
    (address,) = free_addresses(1)
    page = ReadinessPage(address, "/ready", ready=lambda: is_ready[0])
    page.start()
    yield address
    page.stop()


@pytest.fixture
def metrics() -> Iterator[str]:
    (address,) = free_addresses(1)
    page = MetricsPage(address, ForwardingMetrics())
    page.start()
    yield address
    page.stop()


def test_the_readiness_page_follows_the_state_of_the_box(
    readiness: str, is_ready: list[bool]
) -> None:
    head, body = send_request(readiness, "GET /ready")
    assert head.startswith("HTTP/1.1 200 OK\r\n")
    assert body == "ready\n"
    is_ready[0] = False
    head, body = send_request(readiness, "GET /ready")
    assert head.startswith("HTTP/1.1 503 Service Unavailable\r\n")
    assert body == "not ready\n"


def test_metrics_are_served_in_the_prometheus_text_format(metrics: str) -> None:
    head, body = send_request(metrics, "GET /metrics")
    assert head.startswith("HTTP/1.1 200 OK\r\n")
    assert "Content-Type: text/plain; version=0.0.4" in head
    assert "springrock_forwarding_replicas 0.0\n" in body


def test_a_head_request_gets_the_length_and_no_body(readiness: str) -> None:
    head, body = send_request(readiness, "HEAD /ready")
    assert head.startswith("HTTP/1.1 200 OK\r\n")
    assert "Content-Length: 6" in head
    assert body == ""


def test_other_paths_and_methods_are_refused(readiness: str) -> None:
    head, _ = send_request(readiness, "GET /other")
    assert head.startswith("HTTP/1.1 404 Not Found\r\n")
    head, _ = send_request(readiness, "POST /ready")
    assert head.startswith("HTTP/1.1 405 Method Not Allowed\r\n")
    assert "Allow: GET, HEAD" in head


@pytest.mark.parametrize(
    ("beginning", "repeated", "status"),
    [
        ("GET /ready HTTP/1.1\r\n", "X: y\r\n", "400"),
        ("GET /ready HTTP/1.1\r\nX: ", "x", "431"),
        ("GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "200"),
        ("GET /ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", "200"),
    ],
    ids=["headers", "header", "chunks", "trailers"],
)
def test_a_request_without_end_holds_the_page_for_a_short_time(
    readiness: str, beginning: str, repeated: str, status: str
) -> None:
    begun_at = monotonic()
    block = repeated.encode() * 1000
    received = b""
    with create_connection(split_address(readiness), timeout=5.0) as connection:
        connection.sendall(beginning.encode())
        with contextlib.suppress(ConnectionResetError, BrokenPipeError):
            while not select.select([connection], [], [], 0)[0]:
                connection.sendall(block)
        with contextlib.suppress(ConnectionResetError):
            while data := connection.recv(1000):
                received += data
    assert monotonic() - begun_at < 2.0
    assert received.split()[1].decode() == status
    assert send_request(readiness, "GET /ready")[1] == "ready\n"
