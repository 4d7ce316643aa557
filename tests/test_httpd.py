"""The HTTP server: its start, what it reads of requests, and replies that break off."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import select, socket

from springrock.clock import monotonic
from springrock.errors import AnswerCut, ReadBound, RequestNotRead
from springrock.httpd import RESPONSE_KEY, HttpServer
from springrock.request_reader import ReadLimits


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


def test_a_caller_that_reads_on_slowly_is_given_up_after_its_reply_was_due() -> None:
    """Guards against callers that hold a connection for ever by a byte now and then."""

    def _reply(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        environ[RESPONSE_KEY].on_end = errors.append
        environ[RESPONSE_KEY].due_at = monotonic() + 0.3
        start_response("200 OK", [])
        return [b"x" * 40_000_000]

    errors: list[BaseException | None] = []
    with (
        _serving(_reply, send_timeout_s=0.5) as address,
        socket.create_connection(address, timeout=5) as caller,
    ):
        began_at = monotonic()
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        with gevent.Timeout(3.0):
            while not errors:
                caller.recv(300_000)
                gevent.sleep(0.1)
        assert monotonic() - began_at > 0.7
    assert isinstance(errors[0], TimeoutError)


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


def _echo(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
    body: bytes = environ["wsgi.input"].read(BODY_LIMIT + 1)
    if len(body) > BODY_LIMIT:
        start_response("413 Too Large", [])
        return []
    start_response("200 OK", [])
    return [body]


def _ignore(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
    start_response("200 OK", [])
    return [b"ignored"]


def _chunked(body: bytes, *, size: int) -> bytes:
    """Return a body in chunks, without the end of the trailers."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n"


BODY_LIMIT = 4_000_000
LONGEST_PAUSE_S = 0.2
"""A fifth of a second is well under what any caller aims at."""

LIMITS = ReadLimits(idle_s=0.6, head_s=0.4, head_bytes=4000, body_s=0.8, body_bytes=BODY_LIMIT)
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
TEXT = bytes(range(256)) * 40


def _length(body: bytes) -> bytes:
    return POST + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


SOUND_REQUESTS = {
    "length": (_length(TEXT), TEXT),
    "no body": (_length(b""), b""),
    "longest": (_length(b"x" * BODY_LIMIT), b"x" * BODY_LIMIT),
    "longest in chunks": (
        CHUNKED + _chunked(b"x" * BODY_LIMIT, size=16) + b"\r\n",
        b"x" * BODY_LIMIT,
    ),
    "one chunk": (CHUNKED + _chunked(TEXT, size=len(TEXT)) + b"\r\n", TEXT),
    "chunks of a byte": (CHUNKED + _chunked(TEXT, size=1) + b"\r\n", TEXT),
    "extensions": (CHUNKED + b'5;a=b;c="d"\r\nhello\r\n0\r\n\r\n', b"hello"),
    "trailers": (CHUNKED + _chunked(TEXT, size=99) + b"A: b\r\nDigest: c\r\n\r\n", TEXT),
    "long head": (POST + b"X: " + b"x" * 3900 + b"\r\n\r\n", b""),
}


@pytest.mark.parametrize("pieces", [1, 20])
@pytest.mark.parametrize("kind", SOUND_REQUESTS)
def test_a_sound_request_is_read_whole_and_its_connection_kept(kind: str, pieces: int) -> None:
    request, body = SOUND_REQUESTS[kind]
    limits = msgspec.structs.replace(LIMITS, body_s=5.0)
    with _serving(_echo, limits=limits) as address, _connected(address) as caller:
        for _ in range(2):
            step = len(request) // pieces + 1
            for start in range(0, len(request), step):
                caller.sendall(request[start : start + step])
                gevent.sleep(0.01)
            assert _read_answer(caller) == (200, body)


def test_requests_that_are_sent_without_waiting_for_answers_are_answered_in_turn() -> None:
    bodies = [b"%d" % number for number in range(50)]
    with _serving(_echo, limits=LIMITS) as address, _connected(address) as caller:
        caller.sendall(b"".join(map(_length, bodies)))
        assert [_read_answer(caller) for _ in bodies] == [(200, body) for body in bodies]


def test_a_caller_that_expects_it_is_asked_for_its_body() -> None:
    head, _, body = _length(TEXT).partition(b"\r\n\r\n")
    with _serving(_echo, limits=LIMITS) as address, _connected(address) as caller:
        caller.sendall(head + b"\r\nExpect: 100-continue\r\n\r\n")
        assert caller.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        caller.sendall(body)
        assert _read_answer(caller) == (200, TEXT)


def test_a_connection_rests_between_requests_as_long_as_the_limits_say() -> None:
    with _serving(_echo, limits=LIMITS) as address, _connected(address) as caller:
        for _ in range(3):
            gevent.sleep(0.45)
            caller.sendall(_length(TEXT))
            assert _read_answer(caller) == (200, TEXT)
        rested_from = monotonic()
        assert caller.recv(100) == b""
        assert 0.5 < monotonic() - rested_from < 1.1


SLOW_REQUESTS = {
    "request line": b"POST /",
    "head": POST,
    "length": POST + b"Content-Length: 100\r\n\r\n",
    "chunk size": CHUNKED + b"5;",
    "chunk": CHUNKED + b"100\r\n",
    "trailer": CHUNKED + b"1\r\nx\r\n0\r\nX: ",
}


@pytest.mark.parametrize("part", SLOW_REQUESTS)
def test_a_request_that_comes_byte_by_byte_is_refused_once_its_time_is_over(part: str) -> None:
    """Guards against a timeout for each read, which bytes that keep coming never let pass."""
    with _serving(_echo, limits=LIMITS) as address, _connected(address) as caller:
        begun_at = monotonic()
        caller.sendall(SLOW_REQUESTS[part])
        while not select.select([caller], [], [], 0.1)[0]:
            caller.send(b"x")
        answer = caller.recv(1000)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"Connection: close\r\n" in answer
    assert monotonic() - begun_at < LIMITS.body_s + 0.5


@pytest.mark.parametrize("rest", [b"X: ", b"Content-Length: 100\r\n\r\n"], ids=["head", "body"])
def test_a_request_is_read_no_longer_than_the_deadline_that_its_head_states(rest: bytes) -> None:
    limits = msgspec.structs.replace(LIMITS, head_s=5.0, body_s=5.0)
    with (
        _serving(_echo, limits=limits, deadline_header="Wait-Ms") as address,
        _connected(address) as caller,
    ):
        begun_at = monotonic()
        caller.sendall(POST + b"wait-ms: 300\r\n" + rest)
        assert caller.recv(1000).startswith(b"HTTP/1.1 408 ")
    assert 0.2 < monotonic() - begun_at < 0.8


MALFORMED_REQUESTS = {
    "no size": b"\r\n",
    "no hexadecimal size": b"g\r\n",
    "negative size": b"-5\r\n",
    "long size": b"0" * 17 + b"5\r\nhello\r\n0\r\n\r\n",
    "no CR": b"5\nhello\r\n0\r\n\r\n",
    "no end of chunk": b"5\r\nhello0\r\n\r\n",
    "no trailer": b"5\r\nhello\r\n0\r\n A: b\r\n\r\n",
    "long line": b"5;" + b"x" * 9000 + b"\r\n",
}


@pytest.mark.parametrize("kind", MALFORMED_REQUESTS)
def test_a_body_with_malformed_chunks_is_refused(kind: str) -> None:
    with _serving(_echo, limits=LIMITS) as address, _connected(address) as caller:
        caller.sendall(CHUNKED + MALFORMED_REQUESTS[kind])
        assert caller.recv(1000).startswith(b"HTTP/1.1 400 ")
        assert caller.recv(1000) == b""


ENDLESS_REQUESTS = {
    "head": (POST, b"X: y\r\n", 400),
    "long lines": (POST, b"X: " + b"x" * 2000 + b"\r\n", 431),
    "small chunks": (CHUNKED, b"1\r\nx\r\n", 413),
    "large chunks": (CHUNKED, b"1000\r\n%s\r\n" % (b"x" * 4096), 413),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: y\r\n", 431),
    "length": (POST + b"Content-Length: %d\r\n\r\n" % 2**50, b"x" * 10_000, 413),
}


@pytest.mark.parametrize("part", ENDLESS_REQUESTS)
def test_a_request_without_end_is_refused_and_does_not_keep_other_tasks_from_running(
    part: str,
) -> None:
    """Guards against a reader that finds bytes at each read and never waits."""
    beginning, repeated, status = ENDLESS_REQUESTS[part]
    pauses: list[float] = []

    def _watch_pauses() -> None:
        while True:
            resumed_at = monotonic()
            gevent.sleep(0.001)
            pauses.append(monotonic() - resumed_at)

    limits = msgspec.structs.replace(LIMITS, head_s=5.0, body_s=5.0)
    with _serving(_echo, limits=limits) as address:
        watch = gevent.spawn(_watch_pauses)
        gevent.sleep(0.01)
        answer = _send_without_end(address, beginning, repeated)
        gevent.sleep(0.01)
        watch.kill()
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert max(pauses) < LONGEST_PAUSE_S


def _send_without_end(address: tuple[str, int], beginning: bytes, repeated: bytes) -> bytes:
    """Send until the server answers or closes the connection; return the answer."""
    block = repeated * (65_536 // len(repeated) + 1)
    answer = b""
    with _connected(address) as caller:
        caller.sendall(beginning)
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            while not select.select([caller], [], [], 0)[0]:
                caller.sendall(block)
        with contextlib.suppress(ConnectionResetError):
            while data := caller.recv(65_536):
                answer += data
    return answer


@pytest.mark.parametrize("repeated", [b"1000\r\n%s\r\n" % (b"x" * 4096), b""])
def test_a_body_that_the_application_ignores_is_not_awaited_without_end(repeated: bytes) -> None:
    limits = msgspec.structs.replace(LIMITS, body_s=30.0)
    with _serving(_ignore, limits=limits) as address, _connected(address) as caller:
        caller.sendall(CHUNKED)
        assert _read_answer(caller) == (200, b"ignored")
        answered_at = monotonic()
        with contextlib.suppress(ConnectionResetError, BrokenPipeError):
            while not select.select([caller], [], [], 0.01)[0]:
                caller.send(repeated)
            assert caller.recv(1000) == b""
        assert monotonic() - answered_at < 2.0


def test_a_body_that_the_application_ignores_is_skipped() -> None:
    with _serving(_ignore, limits=LIMITS) as address, _connected(address) as caller:
        for kind in ("length", "trailers", "chunks of a byte"):
            caller.sendall(SOUND_REQUESTS[kind][0])
            assert _read_answer(caller) == (200, b"ignored")


@pytest.mark.parametrize("head", [POST, POST[:-2], b"POST / HT"])
def test_a_request_whose_head_breaks_off_is_not_run(head: bytes) -> None:
    """Guards against a head that is taken for whole at the end of the connection."""
    served: list[Any] = []

    def _record(environ: dict[str, Any], start_response: Callable[..., Any]) -> list[bytes]:
        served.append(environ)
        return _ignore(environ, start_response)

    with _serving(_record, limits=LIMITS) as address, _connected(address) as caller:
        caller.sendall(head)
        caller.shutdown(socket.SHUT_WR)
        assert caller.recv(1000).startswith(b"HTTP/1.1 400 ")
    assert served == []


def test_a_head_that_is_not_read_whole_is_reported_with_its_bound() -> None:
    errors: list[RequestNotRead] = []
    with (
        _serving(_echo, limits=LIMITS, on_unread_head=errors.append) as address,
        _connected(address) as caller,
    ):
        caller.sendall(POST)
        assert caller.recv(1000).startswith(b"HTTP/1.1 408 ")
    [error] = errors
    assert (error.bound, error.read_bytes) == (ReadBound.HEAD_TIME, len(POST))


@contextlib.contextmanager
def _connected(address: tuple[str, int]) -> Iterator[Any]:
    with socket.create_connection(address, timeout=5) as caller:
        yield caller


def _read_answer(caller: Any) -> tuple[int, bytes]:
    """Read one answer with a length; return its status and body."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = caller.recv(1)
        assert data, f"the connection ended after {received!r}"
        received += data
    length = int(received.lower().partition(b"content-length: ")[2].split()[0])
    body = bytearray()
    while len(body) < length:
        body += caller.recv(min(1_000_000, length - len(body)))
    return int(received.split()[1]), bytes(body)


@contextlib.contextmanager
def _serving(
    app: Any, *, send_timeout_s: float = 20.0, limits: ReadLimits = LIMITS, **options: Any
) -> Iterator[tuple[str, int]]:
    server = HttpServer(
        app, "127.0.0.1:0", send_timeout_s=send_timeout_s, read_limits=lambda: limits, **options
    )
    server.start()
    host, _, port = server.address.rpartition(":")
    try:
        yield host, int(port)
    finally:
        server.stop(finish_within_s=0.0)
