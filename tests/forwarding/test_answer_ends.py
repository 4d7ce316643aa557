"""Every end of a client's connection before its answer is complete leaves one line with its id."""

from __future__ import annotations

import contextlib
import errno
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import gevent
import pytest
from gevent import GreenletExit, socket

from springrock.clock import monotonic
from springrock.doors._watch import CallerWatch
from springrock.emulator.ports import free_addresses
from springrock.errors import AnswerCut, CallerGone, ReadBound
from springrock.forwarding import door as door_module
from springrock.forwarding.answer_end import EndedBy, ended_by
from springrock.forwarding.configuration import ClientLimits
from springrock.forwarding.door import ForwardingDoor
from springrock.forwarding.message import AnswerHead, ClientRequest, Headers
from springrock.forwarding.reply import Reply
from springrock.log import Journal, Line, Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.settings import split_address
from tests.forwarding.scripted import reset

HEAD = AnswerHead(200, "OK", Headers())
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nSpringrock-Request-Id: r1\r\n\r\n"
LARGE = b"x" * 50_000_000


class ScriptedForwarder:
    """Replies by a function; implements `forward` of `Forwarder`."""

    def __init__(self, reply: Callable[[], Reply]) -> None:
        self._reply = reply
        self.tasks: list[Any] = []

    def forward(self, request: ClientRequest) -> Reply:
        self.tasks.append(gevent.getcurrent())
        return self._reply()


class RunningDoor:
    """A door that serves, and the lines that it has written."""

    def __init__(self, reply: Callable[[], Reply]) -> None:
        [address] = free_addresses(1)
        self.forwarder = ScriptedForwarder(reply)
        self.journal = Journal()
        self.door = ForwardingDoor(
            address,
            forwarder=self.forwarder,  # type: ignore[arg-type]
            dialect=PlatformDialect(),
            limits=lambda: ClientLimits(body_bytes=100, header_s=0.4),
            log=Log("door", "box-1", self.journal),
            metrics=ForwardingMetrics(),
        )
        self._address = split_address(address)

    def connect(self, data: bytes = REQUEST) -> Any:
        client = socket.create_connection(self._address, timeout=5.0)
        client.sendall(data)
        return client

    def wait_begun(self) -> None:
        with gevent.Timeout(5.0):
            while not self.forwarder.tasks:
                gevent.sleep(0.01)

    def wait_idle(self) -> None:
        with gevent.Timeout(5.0):
            while self.door.open_requests:
                gevent.sleep(0.01)

    @property
    def lines(self) -> list[Line]:
        return self.journal.lines_with("request", "r1")

    def the_end(self) -> dict[str, object]:
        """Wait until no request is open; return the fields of the only line."""
        self.wait_idle()
        gevent.sleep(0.05)
        [line] = self.lines
        assert isinstance(line.fields["age_ms"], int)
        return line.fields


@contextlib.contextmanager
def running(reply: Callable[[], Reply]) -> Iterator[RunningDoor]:
    box = RunningDoor(reply)
    box.door.start()
    try:
        yield box
    finally:
        box.door.stop()


def never() -> Reply:
    gevent.sleep(10.0)
    raise AssertionError


def stream(*parts: bytes, then: Callable[[], object]) -> Callable[[], Reply]:
    def _body() -> Iterator[bytes]:
        yield from parts
        then()

    return lambda: Reply(HEAD, _body())


def unending() -> Callable[[], Reply]:
    return stream(b"part", then=lambda: gevent.sleep(10.0))


def raising(error: BaseException) -> Callable[[], Reply]:
    def _raise() -> Reply:
        raise error

    return _raise


def read_to_end(client: Any) -> bytes:
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while data := client.recv(65_536):
            received += data
    return received


def test_a_client_that_closes_its_connection_before_the_head_leaves_a_line() -> None:
    with running(never) as box:
        client = box.connect()
        box.wait_begun()
        client.close()
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.CLIENT_CLOSED, "gone")


def test_a_client_that_closes_its_connection_in_the_body_leaves_a_line() -> None:
    with running(unending()) as box:
        client = box.connect()
        received = b""
        while b"part\r\n" not in received:
            received += client.recv(1000)
        client.close()
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.CLIENT_CLOSED, "gone")


@pytest.mark.parametrize("reply", [never, unending()], ids=["before the head", "in the body"])
def test_a_client_whose_connection_fails_leaves_a_line_with_the_error(
    reply: Callable[[], Reply],
) -> None:
    with running(reply) as box:
        client = box.connect()
        box.wait_begun()
        reset(client)
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.CLIENT_FAILED, "gone")
    assert "ConnectionResetError" in str(end["error"])


def test_a_client_that_closes_its_sending_side_alone_counts_as_gone() -> None:
    """Its system sends the same as one whose process has closed the connection."""
    with running(never) as box, box.connect() as client:
        box.wait_begun()
        client.shutdown(socket.SHUT_WR)
        end = box.the_end()
        assert read_to_end(client) == b""
    assert end["ended_by"] == EndedBy.CLIENT_CLOSED


def test_a_client_that_breaks_off_its_request_leaves_a_line_with_its_id() -> None:
    with running(never) as box:
        head = REQUEST.removesuffix(b"\r\n") + b"Content-Length: 50\r\n\r\n"
        with box.connect(head + b"part") as client:
            client.shutdown(socket.SHUT_WR)
            end = box.the_end()
    assert (end["ended_by"], end["status"]) == (EndedBy.CLIENT_FAILED, 0)


@pytest.mark.parametrize(
    ("rest", "status", "bound"),
    [
        (b"Content-Length: 50\r\n\r\npart", 408, ReadBound.BODY_TIME),
        (b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel", 408, ReadBound.BODY_TIME),
        (
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n",
            408,
            ReadBound.BODY_TIME,
        ),
        (
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"A: b\r\n" * 20_000,
            431,
            ReadBound.TRAILER_BYTES,
        ),
        (b"Transfer-Encoding: chunked\r\n\r\nx\r\n", 400, ReadBound.FRAMING),
    ],
)
def test_a_request_that_is_not_read_whole_by_its_deadline_is_refused_and_leaves_a_line(
    rest: bytes, status: int, bound: ReadBound
) -> None:
    """Guards against a body that is awaited for longer than its client waits."""
    head = REQUEST.removesuffix(b"\r\n") + b"Springrock-Deadline-Ms: 300\r\n"
    with running(never) as box, box.connect(head + rest) as client:
        sent_at = monotonic()
        answer = read_to_end(client)
        assert monotonic() - sent_at < 0.8
        box.wait_idle()
        [line] = box.lines
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert (line.fields["ended_by"], line.fields["status"]) == (bound, status)
    assert box.forwarder.tasks == []


def test_a_head_that_is_not_read_in_time_is_refused_and_leaves_a_line() -> None:
    with running(never) as box, box.connect(REQUEST[:-2]) as client:
        assert read_to_end(client).startswith(b"HTTP/1.1 408 ")
        [line] = box.journal.lines_with("ended_by", ReadBound.HEAD_TIME)
    assert line.fields["read_bytes"] == len(REQUEST) - 2


def test_a_body_over_the_limit_is_refused_although_it_goes_on() -> None:
    with running(never) as box:
        head = REQUEST.removesuffix(b"\r\n") + b"Content-Length: 1000000000\r\n\r\n"
        with box.connect(head + b"x" * 5000) as client:
            answer = read_to_end(client)
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert b"Connection: close" in answer


def test_an_answer_that_breaks_off_leaves_a_line_with_the_bytes_sent() -> None:
    with (
        running(stream(b"part", then=raising(AnswerCut("silent")))) as box,
        box.connect() as client,
    ):
        received = read_to_end(client)
        end = box.the_end()
    assert (end["ended_by"], end["outcome"], end["status"]) == (EndedBy.ANSWER_CUT, "cut", 200)
    assert end["sent_bytes"] == len(received)
    assert "silent" in str(end["error"])


def test_a_body_that_fails_by_a_fault_leaves_a_line_with_its_place() -> None:
    with running(stream(b"part", then=raising(KeyError("k")))) as box, box.connect() as client:
        read_to_end(client)
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.FAULT, "cut")
    assert any("_raise" in frame for frame in end["raised_at"])  # type: ignore[attr-defined]


def test_a_request_that_fails_by_a_fault_leaves_a_line_with_its_id() -> None:
    with running(raising(OSError("of this box"))) as box, box.connect() as client:
        assert client.recv(100).startswith(b"HTTP/1.1 500")
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.FAULT, "fault")


def test_a_request_that_cannot_be_parsed_by_a_fault_leaves_a_line_and_is_not_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(PlatformDialect, "read_request", lambda self, **fields: {}["fault"])
    with running(never) as box, box.connect() as client:
        assert client.recv(100).startswith(b"HTTP/1.1 500")
        box.wait_idle()
        [line] = box.journal.lines_with("request", "")
    assert line.fields["ended_by"] == EndedBy.FAULT


@pytest.mark.parametrize(
    "body", [[LARGE], lambda: iter([LARGE])], ids=["complete", "as it arrives"]
)
def test_a_client_that_accepts_no_bytes_leaves_a_line(
    body: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(door_module, "_SEND_TIMEOUT_S", 0.2)
    with (
        running(lambda: Reply(HEAD, body if isinstance(body, list) else body())) as box,
        box.connect(),
    ):
        box.wait_begun()
        end = box.the_end()
    assert (end["ended_by"], end["outcome"]) == (EndedBy.SEND_TIMED_OUT, "gone")


def test_a_request_that_is_open_when_the_box_stops_leaves_one_line() -> None:
    with running(unending()) as box, box.connect() as client:
        client.recv(100)
        box.door.stop()
        [line] = box.lines
        assert (line.fields["ended_by"], line.fields["outcome"]) == (EndedBy.STOPPING, "open")
        gevent.kill(box.forwarder.tasks[0])
        box.wait_idle()
    assert len(box.lines) == 1


@pytest.mark.parametrize("reply", [never, unending()], ids=["before the head", "in the body"])
def test_a_task_that_is_killed_leaves_a_line(reply: Callable[[], Reply]) -> None:
    with running(reply) as box, box.connect():
        box.wait_begun()
        gevent.sleep(0.05)
        gevent.kill(box.forwarder.tasks[0])
        end = box.the_end()
    assert end["ended_by"] == EndedBy.KILLED


@pytest.mark.parametrize("body", [[b"all"], (b"all",)], ids=["complete", "as it arrives"])
def test_an_answer_that_was_sent_completely_leaves_no_line(body: Iterable[bytes]) -> None:
    with running(lambda: Reply(HEAD, body)) as box:
        with box.connect() as client:
            assert b"all" in client.recv(1000)
            box.wait_idle()
        gevent.sleep(0.05)
    assert box.lines == []


def test_an_answer_that_is_being_sent_keeps_the_box_from_stopping() -> None:
    with running(lambda: Reply(HEAD, [LARGE])) as box, box.connect() as client:
        box.wait_begun()
        gevent.sleep(0.1)
        assert box.door.open_requests == 1
        assert len(read_to_end_of(client, LARGE)) > len(LARGE)
        box.wait_idle()
    assert box.lines == []


def read_to_end_of(client: Any, body: bytes) -> bytes:
    received = bytearray()
    while len(received) <= len(body):
        received += client.recv(1_000_000)
    return bytes(received)


class FailingConnection:
    """A socket whose reads fail; implements `recv`."""

    def __init__(self, error: OSError) -> None:
        self._error = error

    def recv(self, size: int, flags: int) -> bytes:
        raise self._error


def test_the_leaving_of_a_client_names_the_error_of_its_connection() -> None:
    error = OSError(errno.EHOSTUNREACH, "no route")
    watch = CallerWatch(FailingConnection(error))
    watch.start()
    with pytest.raises(CallerGone) as gone:
        gevent.sleep(5.0)
    assert gone.value.__cause__ is error
    assert ended_by(gone.value, reading=False, sending=False) is EndedBy.CLIENT_FAILED


class ClosingConnection:
    """A client that closes just when the watch on it is killed; implements `recv`."""

    def recv(self, size: int, flags: int) -> bytes:
        with contextlib.suppress(GreenletExit):
            gevent.sleep(5.0)
        return b""


def test_a_client_that_leaves_as_the_watch_stops_does_not_break_the_end_of_its_request() -> None:
    watch = CallerWatch(ClosingConnection())
    watch.start()
    gevent.sleep(0.01)
    watch.stop()
    gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("error", "reading", "sending", "expected"),
    [
        (CallerGone("gone"), False, False, EndedBy.CLIENT_CLOSED),
        (TimeoutError("timed out"), False, True, EndedBy.SEND_TIMED_OUT),
        (TimeoutError("timed out"), True, False, EndedBy.READ_TIMED_OUT),
        (BrokenPipeError("broken"), False, True, EndedBy.CLIENT_FAILED),
        (ConnectionResetError("reset"), True, False, EndedBy.CLIENT_FAILED),
        (ConnectionResetError("reset"), False, False, EndedBy.FAULT),
        (TimeoutError("timed out"), False, False, EndedBy.FAULT),
        (GreenletExit(), False, False, EndedBy.KILLED),
        (AnswerCut("cut"), False, False, EndedBy.ANSWER_CUT),
    ],
)
def test_what_ended_an_answer_is_told_apart(
    error: BaseException, reading: bool, sending: bool, expected: EndedBy
) -> None:
    assert ended_by(error, reading=reading, sending=sending) is expected
