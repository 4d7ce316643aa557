"""Requests that a box without a path to replicas passes on to another box."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Collection

import gevent
import pytest
from gevent import socket as gevent_socket

from springrock.clock import monotonic
from springrock.errors import AnswerCut, CallerGone
from springrock.forwarding.configuration import RouteKind
from springrock.forwarding.dialect import SendTerms
from springrock.forwarding.errors import NoReplica, Quarantined, Rejection
from springrock.forwarding.message import Header, Headers, Knowledge
from springrock.forwarding.passing_on import PassingOn
from springrock.forwarding.planned_stop import PlannedStop
from springrock.forwarding.reply import Reply
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.run_times import RunTimes
from springrock.log import Log
from springrock.platform import names
from springrock.platform.dialect import PlatformDialect
from tests.factories import make_reach
from tests.forwarding.scripted import Script as Scripted
from tests.forwarding.scripted import ScriptedReplica, read_request, reset
from tests.forwarding.test_values import make_request, make_route

HANDLED = b"Springrock-Passed-On: handled\r\nSpringrock-Configuration: 7\r\n"
SERVED = (
    b"HTTP/1.1 200 OK\r\nSpringrock-Response-Seal: s\r\n" + HANDLED + b"Content-Length: 2\r\n\r\nhi"
)
BEHIND = (
    b"HTTP/1.1 503 Service Unavailable\r\nSpringrock-Passed-On: behind\r\n"
    b"Springrock-Configuration: 6\r\nContent-Length: 2\r\n\r\nno"
)
NO_ROUTE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"
FAULT = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    + HANDLED
    + b"Content-Length: 40\r\n\r\n"
)


class ScriptedPeers:
    """Names boxes one after the other, leaving out those that failed."""

    def __init__(self, *addresses: str) -> None:
        self._addresses = list(addresses)
        self.failed: list[str] = []

    @property
    def any_usable(self) -> bool:
        return self.pick() is not None

    def pick(self, *, besides: Collection[str] = ()) -> str | None:
        left_out = {*self.failed, *besides}
        return next((item for item in self._addresses if item not in left_out), None)

    def record_failed(self, address: str) -> None:
        self.failed.append(address)


class Script:
    """Answers each connection's first request with the same bytes, and keeps what it received."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self.received: list[bytes] = []

    def __call__(self, connection: socket.socket) -> None:
        self.received.append(read_request(connection))
        connection.sendall(self._answer)


def make_passing_on(
    peers: ScriptedPeers, *, cut_off: bool = True, stop: PlannedStop | None = None
) -> PassingOn:
    reach = make_reach("s")
    if cut_off:
        reach.of("s").record_probes(reached=0, probed=4)
    return PassingOn(
        reach=reach, peers=peers, dialect=PlatformDialect(), log=Log("test", "box-1"), stop=stop
    )


def progress_of(
    kind: RouteKind = RouteKind.SAFE, headers: Headers | None = None, *, passed_on: bool = False
) -> RequestProgress:
    request = make_request(deadline_s=2.0, headers=headers or Headers(), passed_on=passed_on)
    return RequestProgress(request, make_route(kind=kind), "s", known=Knowledge(7, 3))


def closed_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    return f"{host}:{port}"


def test_the_reply_of_the_other_box_is_returned_unchanged() -> None:
    script = Script(SERVED)
    headers = Headers(
        [
            Header(names.REQUEST_ID, "r1"),
            Header(names.DEADLINE_MS, "2000"),
            Header(names.API_KEY, "k"),
        ]
    )
    with ScriptedReplica(script) as box:
        reply = make_passing_on(ScriptedPeers(box.address)).forward(progress_of(headers=headers))
    assert reply is not None
    assert (reply.head.status, b"".join(reply.body)) == (200, b"hi")
    assert reply.head.headers.get("Springrock-Response-Seal") == "s"
    assert reply.head.headers.get(names.PASSED_ON) is None
    assert reply.head.headers.get(names.CONFIGURATION) is None
    lines = script.received[0].decode().split("\r\n")
    assert f"{names.API_KEY}: k" in lines, "the other box checks the key"
    assert f"{names.PASSED_ON}: 1" in lines
    assert f"{names.CONFIGURATION}: 7" in lines
    assert f"{names.EXPECT_VERSION}: 3" in lines
    [deadline] = [line for line in lines if line.startswith(names.DEADLINE_MS)]
    assert int(deadline.split()[1]) <= 2000


def attempted(*outcomes: AttemptOutcome) -> RequestProgress:
    progress = progress_of()
    for outcome in outcomes:
        progress.start_attempt("i-1", record_age_s=0.0).outcome = outcome
    return progress


def test_a_request_is_passed_on_once_and_only_while_no_replica_received_it() -> None:
    passing_on = make_passing_on(ScriptedPeers("box:1"))
    assert passing_on.is_due(progress_of())
    assert not make_passing_on(ScriptedPeers()).is_due(progress_of())
    assert not make_passing_on(ScriptedPeers("box:1"), cut_off=False).is_due(progress_of())
    assert not passing_on.is_due(progress_of(passed_on=True))
    assert not passing_on.is_due(attempted(AttemptOutcome.SILENT))


@pytest.mark.parametrize(
    ("outcomes", "rejection", "expected"),
    [
        ([AttemptOutcome.UNREACHABLE], NoReplica("no_replica", 0.5), True),
        ([AttemptOutcome.UNREACHABLE] * 2, NoReplica("out_of_time", 0.5), True),
        ([], NoReplica("no_replica", 0.5), False),
        ([AttemptOutcome.UNREACHABLE], Quarantined(1.0), False),
        ([AttemptOutcome.WITHHELD], NoReplica("no_replica", 0.5), False),
        ([AttemptOutcome.UNREACHABLE, AttemptOutcome.SILENT], NoReplica("x", 0.5), False),
    ],
)
def test_a_request_whose_connections_all_failed_is_passed_on_instead_of_rejected(
    outcomes: list[AttemptOutcome], rejection: Rejection, expected: bool
) -> None:
    passing_on = make_passing_on(ScriptedPeers("box:1"), cut_off=False)
    assert passing_on.is_last_resort(attempted(*outcomes), rejection) is expected


def test_replicas_are_not_told_that_a_request_was_passed_on() -> None:
    request = make_request(headers=Headers([Header(names.PASSED_ON, "1")]))
    sent = PlatformDialect().request_headers(request, SendTerms("i-1", 1.0))
    assert sent.get(names.PASSED_ON) is None


def test_a_box_that_cannot_be_reached_is_left_out_for_the_next() -> None:
    unreachable = closed_address()
    with ScriptedReplica(Script(SERVED)) as box:
        peers = ScriptedPeers(unreachable, box.address)
        reply = make_passing_on(peers).forward(progress_of(RouteKind.UNSAFE))
    assert reply is not None
    assert reply.head.status == 200
    assert peers.failed == [unreachable]


def test_without_another_box_nothing_is_replied() -> None:
    assert make_passing_on(ScriptedPeers()).forward(progress_of()) is None
    assert make_passing_on(ScriptedPeers(closed_address())).forward(progress_of()) is None


def test_a_request_whose_hop_breaks_is_unknown_and_sent_to_no_other_box() -> None:
    broken, other = Script(b""), Script(SERVED)
    with ScriptedReplica(broken) as box, ScriptedReplica(other) as second:
        peers = ScriptedPeers(box.address, second.address)
        reply = make_passing_on(peers).forward(progress_of(RouteKind.UNSAFE))
    assert reply is not None
    assert (reply.head.status, reply.reason) == (502, "outcome_unknown")
    assert len(broken.received) == 1
    assert not other.received


def test_a_stream_that_breaks_on_its_way_does_not_appear_complete() -> None:
    with ScriptedReplica(Script(STREAM_HEAD + b"id: 1\ndata: a\n\n")) as box:
        reply = make_passing_on(ScriptedPeers(box.address)).forward(
            progress_of(RouteKind.STREAMING)
        )
        assert reply is not None
        with pytest.raises(AnswerCut):
            b"".join(reply.body)


def test_a_stream_that_another_box_ends_inside_an_event_does_not_appear_complete() -> None:
    body = b"id: 1\ndata: a\n\nid: 2\nda"
    ended = STREAM_HEAD.replace(b"40", b"%d" % len(body)) + body
    received = []
    with ScriptedReplica(Script(ended)) as box:
        reply = make_passing_on(ScriptedPeers(box.address)).forward(
            progress_of(RouteKind.STREAMING)
        )
        assert reply is not None
        with pytest.raises(AnswerCut):
            for data in reply.body:
                received.append(data)
    assert b"".join(received) == b"id: 1\ndata: a\n\n"


def test_a_box_that_is_behind_is_left_out_for_the_next_and_asked_again_later() -> None:
    with ScriptedReplica(Script(BEHIND)) as behind, ScriptedReplica(Script(SERVED)) as box:
        peers = ScriptedPeers(behind.address, box.address)
        reply = make_passing_on(peers).forward(progress_of(RouteKind.UNSAFE))
    assert reply is not None
    assert (reply.head.status, b"".join(reply.body)) == (200, b"hi")
    assert not peers.failed


def test_a_box_of_an_earlier_build_that_finds_no_route_is_left_out_for_a_time() -> None:
    with ScriptedReplica(Script(NO_ROUTE)) as earlier, ScriptedReplica(Script(SERVED)) as box:
        peers = ScriptedPeers(earlier.address, box.address)
        reply = make_passing_on(peers).forward(progress_of(RouteKind.UNSAFE))
    assert reply is not None
    assert reply.head.status == 200
    assert peers.failed == [earlier.address]


@pytest.mark.parametrize("refusal", [BEHIND, NO_ROUTE])
def test_a_request_that_no_other_box_handled_is_replied_nothing(refusal: bytes) -> None:
    with ScriptedReplica(Script(refusal)) as box:
        assert make_passing_on(ScriptedPeers(box.address)).forward(progress_of()) is None


@pytest.mark.parametrize("answer", [FAULT, SERVED.replace(HANDLED, b"")])
def test_an_answer_that_does_not_say_what_the_box_did_leaves_the_outcome_unknown(
    answer: bytes,
) -> None:
    other = Script(SERVED)
    with ScriptedReplica(Script(answer)) as box, ScriptedReplica(other) as second:
        peers = ScriptedPeers(box.address, second.address)
        reply = make_passing_on(peers).forward(progress_of(RouteKind.UNSAFE))
    assert reply is not None
    assert (reply.head.status, reply.reason) == (502, "outcome_unknown")
    assert not other.received


FIRST_EVENT = b"id: 1\ndata: a\n\n"
LAST_EVENT = b"id: 2\ndata: bcdefghijkl\n\n"


def stream_of(box: ScriptedReplica, *, deadline_s: float) -> Reply:
    request = make_request(deadline_s=deadline_s)
    route = make_route(kind=RouteKind.STREAMING, target_s=0.1, gap_s=0.01)
    progress = RequestProgress(request, route, "s", known=Knowledge(7, 3))
    reply = make_passing_on(ScriptedPeers(box.address)).forward(progress)
    assert reply is not None
    return reply


def after_the_first_event(then: Scripted) -> Scripted:
    """Return a script that sends a stream's head and its first event, and goes on as told."""

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(STREAM_HEAD + FIRST_EVENT)
        then(connection)

    return _script


def test_a_stream_goes_on_after_a_silence_of_the_other_box() -> None:
    def _go_on_late(connection: socket.socket) -> None:
        time.sleep(2.3)
        connection.sendall(LAST_EVENT)

    with ScriptedReplica(after_the_first_event(_go_on_late)) as box:
        body = b"".join(stream_of(box, deadline_s=10.0).body)
    assert body == FIRST_EVENT + LAST_EVENT


def test_a_stream_whose_other_box_stays_silent_ends_with_the_deadline() -> None:
    with ScriptedReplica(after_the_first_event(lambda connection: time.sleep(3.0))) as box:
        began_at = monotonic()
        with pytest.raises(AnswerCut):
            b"".join(stream_of(box, deadline_s=0.5).body)
    assert 0.45 <= monotonic() - began_at < 1.5


def test_a_stream_whose_other_box_is_killed_ends_at_once() -> None:
    """Its system ends the connection; that is no silence."""
    with ScriptedReplica(after_the_first_event(reset)) as box:
        began_at = monotonic()
        with pytest.raises(AnswerCut):
            b"".join(stream_of(box, deadline_s=10.0).body)
    assert monotonic() - began_at < 1.0


def test_the_leaving_of_a_client_ends_the_wait_for_a_silent_other_box(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("springrock.forwarding.connection.socket", gevent_socket)
    ended = threading.Event()

    def _wait_for_end(connection: socket.socket) -> None:
        connection.settimeout(5.0)
        if connection.recv(1) == b"":
            ended.set()

    received: list[bytes] = []
    with ScriptedReplica(after_the_first_event(_wait_for_end)) as box:
        reply = stream_of(box, deadline_s=10.0)
        client = gevent.spawn(lambda: received.extend(reply.body))
        with gevent.Timeout(2.0):
            while not received:
                gevent.sleep(0.01)
            gevent.kill(client, CallerGone("left"))
            while not ended.is_set():
                gevent.sleep(0.01)


@pytest.mark.parametrize("at", [0, 30, len(SERVED) - 1], ids=["begin", "head", "body"])
def test_a_plain_answer_goes_on_after_a_silence_of_the_other_box(at: int) -> None:
    def _pause(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SERVED[:at])
        time.sleep(1.9)
        connection.sendall(SERVED[at:])

    with ScriptedReplica(_pause) as box:
        request = make_request(deadline_s=5.0)
        progress = RequestProgress(request, make_route(), "s", known=Knowledge(7, 3))
        reply = make_passing_on(ScriptedPeers(box.address)).forward(progress)
    assert reply is not None
    assert (reply.head.status, b"".join(reply.body)) == (200, b"hi")


def stop_in(seconds: float) -> PlannedStop:
    stop = PlannedStop(RunTimes())
    stop.begin(ends_at=monotonic() + seconds)
    return stop


def test_a_request_is_not_passed_on_too_late_in_a_planned_stop() -> None:
    """It would end with this box, without an answer, whatever the other box does."""
    late = make_passing_on(ScriptedPeers("box:1"), stop=stop_in(0.5))
    assert not late.is_due(progress_of())
    unreachable = attempted(AttemptOutcome.UNREACHABLE)
    assert not late.is_last_resort(unreachable, NoReplica("no_replica", 0.5))
    assert make_passing_on(ScriptedPeers("box:1"), stop=stop_in(5.0)).is_due(progress_of())


def test_another_box_is_given_no_more_time_than_the_planned_stop_leaves() -> None:
    script = Script(SERVED)
    with ScriptedReplica(script) as box:
        passing_on = make_passing_on(ScriptedPeers(box.address), stop=stop_in(1.5))
        assert passing_on.forward(progress_of()) is not None
    [deadline] = [
        line
        for line in script.received[0].decode().split("\r\n")
        if line.startswith(names.DEADLINE_MS)
    ]
    assert int(deadline.split()[1]) < 1500


def test_a_silent_other_box_is_answered_for_before_the_planned_stop_ends() -> None:
    def _stay_silent(connection: socket.socket) -> None:
        read_request(connection)
        time.sleep(2.0)

    with ScriptedReplica(_stay_silent) as box:
        began_at = monotonic()
        passing_on = make_passing_on(ScriptedPeers(box.address), stop=stop_in(1.2))
        reply = passing_on.forward(progress_of())
    assert reply is not None
    assert reply.reason == "outcome_unknown"
    assert monotonic() - began_at < 1.2
