"""Tests of how a caller of the soak reads answers and takes up streams."""

from __future__ import annotations

import http.client
import random
import socket
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from bench.soak.callers import Caller, Callers, Role, attempt_once
from bench.soak.observations import Attempt, Framing
from bench.soak.shape import STREAM_EVENTS
from springrock.clock import monotonic
from springrock.platform import names
from tests.soak.made_up import events


def read_as(answer: bytes) -> Attempt:
    """Return the attempt of a caller that gets these bytes and then the end of its connection."""
    attempt = Attempt(
        request_id="r1",
        call="c1",
        box="box-1",
        route="lookup",
        key="one",
        adapter="",
        sent_at=monotonic(),
    )
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=_answer_once, args=(listener, answer))
        thread.start()
        connection = http.client.HTTPConnection(*listener.getsockname())
        attempt_once(attempt, connection, ends_at=attempt.sent_at + 5.0)
        thread.join()
    return attempt


def _answer_once(listener: socket.socket, answer: bytes) -> None:
    connection, _ = listener.accept()
    with connection:
        request = b""
        while not request.endswith(b"\r\n\r\nhello"):
            request += connection.recv(65_536)
        connection.sendall(answer)


@pytest.mark.parametrize(
    ("head", "body", "framing", "is_complete"),
    [
        (b"Content-Length: 4", b"text", Framing.LENGTH, True),
        (b"Content-Length: 4", b"tex", Framing.LENGTH, False),
        (b"Content-Length: 0", b"", Framing.LENGTH, True),
        (b"Transfer-Encoding: chunked", b"4\r\ntext\r\n0\r\n\r\n", Framing.CHUNKS, True),
        (b"Transfer-Encoding: chunked", b"4\r\ntext\r\n", Framing.CHUNKS, False),
        (b"Transfer-Encoding: chunked", b"4\r\ntext", Framing.CHUNKS, False),
        (b"Transfer-Encoding: chunked", b"4\r\nte", Framing.CHUNKS, False),
        (b"Transfer-Encoding: chunked", b"", Framing.CHUNKS, False),
        (b"Connection: close", b"text", Framing.CONNECTION, False),
        (b"Connection: close", b"", Framing.CONNECTION, False),
    ],
)
def test_an_answer_is_complete_only_if_its_framing_says_so(
    head: bytes, body: bytes, framing: Framing, is_complete: bool
) -> None:
    attempt = read_as(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + body)
    assert (attempt.status, attempt.framing) == (200, framing)
    assert attempt.is_complete is is_complete


class BreakingBox(BaseHTTPRequestHandler):
    """Sends eight more events of each stream, and breaks off unless these are the last ones."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer a request."""
        self.rfile.read(int(self.headers["Content-Length"]))
        first = int(self.headers[names.LAST_EVENT_ID] or 0) + 1
        last = min(first + 7, STREAM_EVENTS)
        body = events(range(first, last + 1))
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(body), body))
        if last == STREAM_EVENTS:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = True

    def log_message(self, *arguments: object) -> None:
        """Log nothing."""


@pytest.fixture
def boxes() -> Iterator[dict[str, str]]:
    servers = [ThreadingHTTPServer(("127.0.0.1", 0), BreakingBox) for _ in range(2)]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    yield {f"box-{at}": f"127.0.0.1:{server.server_port}" for at, server in enumerate(servers)}
    for server in servers:
        server.shutdown()
        server.server_close()


def attempts_of_a_call(boxes: dict[str, str], route: str, *, leaves: bool = False) -> list[Attempt]:
    callers = Callers(boxes, seed=1)
    Caller(0, Role((route,), ("one",), 0.1, leaves=leaves), boxes, random.Random(3), callers).call()
    assert callers.calls[0].answered is (route == "items")
    return callers.attempts


@pytest.mark.parametrize("leaves", [False, True])
def test_a_broken_stream_is_taken_up_at_other_boxes_until_it_is_whole(
    boxes: dict[str, str], leaves: bool
) -> None:
    attempts = attempts_of_a_call(boxes, "items", leaves=leaves)
    first, *later = attempts
    assert len(attempts) >= STREAM_EVENTS / 8
    assert (first.resumes, first.last_event_id) == ("", 0)
    for before, after in zip(attempts, later, strict=False):
        assert after.resumes == first.request_id
        assert after.last_event_id == before.last_event
        assert after.box != before.box
    assert any(attempt.error == "left" for attempt in attempts) is leaves


def test_a_broken_stream_that_must_not_be_resumed_is_not_taken_up(boxes: dict[str, str]) -> None:
    assert len(attempts_of_a_call(boxes, "minutes")) == 1
