"""Streams whose replica breaks off, whatever marks the end of its answer."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator

import gevent.socket
import pytest

from springrock.clock import monotonic
from springrock.errors import AnswerCut
from springrock.forwarding import connection as connection_module
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.configuration import RouteKind
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.errors import AnswerBroken, NoReplica
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.sending import Sender
from springrock.forwarding.streaming import StreamRelay
from springrock.forwarding.work_probe import WorkProbe
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.topology import Topology
from tests.factories import make_crash_detector, make_notices, make_reach, make_warmup
from tests.forwarding.scripted import SUCCESS, Script, ScriptedReplica, read_request
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_values import make_request, make_route


@pytest.fixture(autouse=True)
def cooperative_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let tasks run while a connection is read, as in a box."""
    monkeypatch.setattr(connection_module, "socket", gevent.socket)


HEAD = SUCCESS + b"Content-Type: text/event-stream\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(1, 6)]
HALF = b"id: 3\nda"


def unframed(body: bytes) -> bytes:
    return HEAD + b"\r\n" + body


def chunked(body: bytes) -> bytes:
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def with_length(body: bytes) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def sending(data: bytes) -> Script:
    def script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    return script


class ScriptedChooser:
    """Returns the replicas in turn, then rejects; implements what `StreamRelay` asks for."""

    def __init__(self, *addresses: str) -> None:
        records = (
            ReplicaRecord(instance=f"i-{number}", service="s", address=address, zone="z-1")
            for number, address in enumerate(addresses, 1)
        )
        self.replicas = [Replica(record) for record in records]
        self._next = iter(self.replicas)

    def next_replica(self, progress: RequestProgress, *, until: float) -> ChosenReplica:
        for replica in self._next:
            return ChosenReplica(replica, None)
        raise NoReplica("no_replica")


class Stream:
    """A stream that a relay reads from scripted replicas."""

    def __init__(
        self, *addresses: str, resumable: bool, work_probe: WorkProbe | None = None
    ) -> None:
        self.chooser = ScriptedChooser(*addresses)
        log = Log("test", "box-1")
        sender = Sender(
            dialect=PlatformDialect(),
            adapters=ScriptedAdapters(waits=0),
            warmup=make_warmup(),
            crash_detector=make_crash_detector(),
            notices=make_notices(),
            reach=make_reach(),
            may_send=lambda progress, chosen: True,
            work_probe=work_probe,
            log=log,
            byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
        )
        self._relay = StreamRelay(chooser=self.chooser, sender=sender, log=log)  # type: ignore[arg-type]
        route = make_route(kind=RouteKind.STREAMING, attempts=2, resumable=resumable)
        self.progress = RequestProgress(make_request(deadline_s=5.0), route, "s")

    def events(self) -> Iterator[bytes]:
        _, run = self._relay.open(self.progress, until=self.progress.ends_at)
        yield from self._relay.relay(self.progress, run)


def collect(events: Iterator[bytes]) -> tuple[list[bytes], bool]:
    """Return what is yielded, and whether the stream was cut."""
    received = []
    try:
        for data in events:
            received.append(data)
    except AnswerCut:
        return received, True
    return received, False


Framing = Callable[[bytes], bytes]
every_framing = pytest.mark.parametrize("framed", [unframed, chunked, with_length])


@every_framing
def test_a_stream_that_ends_inside_an_event_is_cut_and_the_half_event_is_not_sent_on(
    framed: Framing,
) -> None:
    with ScriptedReplica(sending(framed(b"".join(EVENTS[:2]) + HALF))) as replica:
        stream = Stream(replica.address, resumable=False)
        received, cut = collect(stream.events())
    assert b"".join(received) == b"".join(EVENTS[:2])
    assert cut
    assert stream.chooser.replicas[0].health.failure_rate > 0


@every_framing
def test_a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_replica(
    framed: Framing,
) -> None:
    requests: list[bytes] = []

    def _send_rest(connection: socket.socket) -> None:
        requests.append(read_request(connection))
        connection.sendall(chunked(b"".join(EVENTS[2:])))

    with (
        ScriptedReplica(sending(framed(b"".join(EVENTS[:2]) + HALF))) as first,
        ScriptedReplica(_send_rest) as second,
    ):
        stream = Stream(first.address, second.address, resumable=True)
        received, cut = collect(stream.events())
    assert b"".join(received) == b"".join(EVENTS)
    assert not cut
    assert b"Last-Event-Id: 2" in requests[0]


def test_a_stream_that_ends_inside_its_first_event_gave_no_answer() -> None:
    with ScriptedReplica(sending(unframed(HALF))) as replica:
        stream = Stream(replica.address, resumable=False)
        with pytest.raises(AnswerBroken):
            next(stream.events())


def test_a_failure_on_a_stream_route_is_sent_on_although_it_holds_no_events() -> None:
    failure = chunked(b"failed").replace(b"200 OK", b"500 Failed")
    with ScriptedReplica(sending(failure)) as replica:
        assert collect(Stream(replica.address, resumable=False).events()) == ([b"failed"], False)


def test_events_split_over_many_reads_are_sent_on_whole() -> None:
    def _send_bytewise(connection: socket.socket) -> None:
        read_request(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in chunked(b"".join(EVENTS).replace(b"\n", b"\r\n")):
            connection.send(bytes([byte]))

    with ScriptedReplica(_send_bytewise) as replica:
        received, cut = collect(Stream(replica.address, resumable=False).events())
    assert b"".join(received) == b"".join(EVENTS).replace(b"\n", b"\r\n")
    assert not cut


def test_a_stream_without_length_is_cut_if_its_replica_is_gone_at_the_end() -> None:
    def _crash(connection: socket.socket) -> None:
        sending(unframed(b"".join(EVENTS[:2])))(connection)
        replica.stop_listening()

    with ScriptedReplica(_crash) as replica:
        received, cut = collect(Stream(replica.address, resumable=False).events())
    assert b"".join(received) == b"".join(EVENTS[:2])
    assert cut


def test_a_resumable_stream_without_length_goes_on_elsewhere_if_its_replica_is_gone() -> None:
    def _crash(connection: socket.socket) -> None:
        sending(unframed(b"".join(EVENTS[:2])))(connection)
        first.stop_listening()

    with (
        ScriptedReplica(_crash) as first,
        ScriptedReplica(sending(chunked(b"".join(EVENTS[2:])))) as second,
    ):
        stream = Stream(first.address, second.address, resumable=True)
        assert collect(stream.events()) == ([b"".join(EVENTS[:2]), b"".join(EVENTS[2:])], False)


def test_a_stream_without_length_is_complete_if_its_replica_lives_on() -> None:
    with ScriptedReplica(sending(unframed(b"".join(EVENTS)))) as replica:
        received, cut = collect(Stream(replica.address, resumable=False).events())
    assert b"".join(received) == b"".join(EVENTS)
    assert not cut


def test_the_log_tells_what_marked_the_end_of_a_stream_that_broke(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(Log, "info", lambda self, text, **fields: lines.append((text, fields)))
    with ScriptedReplica(sending(chunked(b"".join(EVENTS[:2]) + HALF))) as replica:
        collect(Stream(replica.address, resumable=False).events())
    [fields] = [fields for text, fields in lines if text == "Cut a stream."]
    assert fields["body_end"] == "chunks"
    assert f"{len(HALF)} bytes" in str(fields["error"])


def sending_with_pause(before: bytes, after: bytes, *, pause_s: float) -> Script:
    """Return a script that sends a part of a stream, is silent for a while and sends the rest."""

    def script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(HEAD + b"\r\n" + before)
        time.sleep(pause_s)
        connection.sendall(after)

    return script


def test_the_log_tells_how_long_a_replica_was_silent_and_why_no_other_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(Log, "info", lambda self, text, **fields: lines.append((text, fields)))
    with ScriptedReplica(sending(chunked(b"".join(EVENTS[:2]) + HALF))) as replica:
        collect(Stream(replica.address, resumable=True).events())
    [fields] = [fields for text, fields in lines if text == "Cut a stream."]
    assert fields["refused"] == "no_replica"
    assert fields["silent_ms"] < 1000  # type: ignore[operator]


def silent(connection: socket.socket) -> None:
    """Accept a request and stay silent until the box closes the connection."""
    read_request(connection)
    connection.recv(1)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_is_not_cut_while_its_replica_is_silent_and_no_other_may_go_on(
    resumable: bool,
) -> None:
    script = sending_with_pause(b"".join(EVENTS[:2]), b"".join(EVENTS[2:]), pause_s=1.9)
    with ScriptedReplica(script) as replica:
        received, cut = collect(Stream(replica.address, resumable=resumable).events())
    assert b"".join(received) == b"".join(EVENTS)
    assert not cut


def test_a_stream_is_not_cut_by_an_estimate_of_how_long_its_client_waits() -> None:
    script = sending_with_pause(b"".join(EVENTS[:2]), b"".join(EVENTS[2:]), pause_s=4.3)
    with ScriptedReplica(script) as replica:
        received, cut = collect(Stream(replica.address, resumable=False).events())
    assert b"".join(received) == b"".join(EVENTS)
    assert not cut


def test_a_stream_goes_on_at_its_silent_replica_if_the_one_asked_to_go_on_is_silent_too() -> None:
    script = sending_with_pause(b"".join(EVENTS[:2]), b"".join(EVENTS[2:]), pause_s=2.5)
    with ScriptedReplica(script) as first, ScriptedReplica(silent) as second:
        stream = Stream(first.address, second.address, resumable=True)
        received, cut = collect(stream.events())
    assert b"".join(received) == b"".join(EVENTS)
    assert not cut


def test_events_without_end_are_cut_at_the_deadline() -> None:
    def _send_on(connection: socket.socket) -> None:
        read_request(connection)
        with contextlib.suppress(OSError):
            connection.sendall(HEAD + b"\r\n")
            while True:
                connection.sendall(b"data: token\n\n")
                time.sleep(0.005)

    with ScriptedReplica(_send_on) as replica:
        stream = Stream(replica.address, resumable=False)
        began_at = monotonic()
        ends_at = stream.progress.ends_at
        cut = False
        try:
            for _ in stream.events():
                assert monotonic() < ends_at + 0.5
        except AnswerCut:
            cut = True
    assert cut
    assert monotonic() - began_at < 5.5
