"""Tests of how a caller of the soak reads the framing of an answer."""

from __future__ import annotations

import http.client
import socket
import threading

import pytest

from bench.soak.callers import attempt_once
from bench.soak.observations import Attempt, Framing
from springrock.clock import monotonic


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
