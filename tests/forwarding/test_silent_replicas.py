"""Streams whose replica falls silent while another one is asked to go on with them."""

from __future__ import annotations

import random
import socket
import time

import gevent.socket
import pytest

from springrock.clock import monotonic
from springrock.errors import AnswerCut
from springrock.forwarding import connection as connection_module
from springrock.forwarding import resumption, silence_guard
from springrock.forwarding.request_progress import AttemptOutcome
from springrock.log import Log
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request, reset
from tests.forwarding.test_streaming import EVENTS, HALF, HEAD, Stream, collect

STALL_S = 0.2
BEGUN, REST = b"".join(EVENTS[:2]), b"".join(EVENTS[2:])
WHOLE = BEGUN + REST


@pytest.fixture(autouse=True)
def short_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use cooperative sockets, as in a box, and search early."""
    monkeypatch.setattr(connection_module, "socket", gevent.socket)
    monkeypatch.setattr(silence_guard, "STALL_TIMEOUT_S", STALL_S)
    monkeypatch.setattr(resumption, "_NEXT_REPLICA_AFTER_S", 2 * STALL_S)
    monkeypatch.setattr(resumption, "_FIND_AGAIN_S", 0.05)


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, object]]]:
    """The lines that are logged."""
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(Log, "info", lambda self, text, **fields: lines.append((text, fields)))
    return lines


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Playing:
    """A script that sends parts of a stream after pauses.

    Args:
        parts: Pairs of a pause in seconds and the bytes of the body to be sent after it.
        ends: Whether the answer ends after the parts; else the replica is silent then.

    Attributes:
        request: The request that it received.
        closed_at: When the box closed the connection, on the local monotonic clock.
    """

    def __init__(self, *parts: tuple[float, bytes], ends: bool = True) -> None:
        self._parts = parts
        self._ends = ends
        self.request = b""
        self.closed_at: float | None = None
        self.sent_at: list[float] = []

    def __call__(self, connection: socket.socket) -> None:
        self.request = read_request(connection)
        try:
            connection.sendall(CHUNKED_HEAD)
            for pause_s, data in self._parts:
                time.sleep(pause_s)
                connection.sendall(chunk(data))
                self.sent_at.append(monotonic())
            if self._ends:
                connection.sendall(LAST_CHUNK)
            while connection.recv(1000):
                continue
        except OSError:
            pass
        self.closed_at = monotonic()


class Mute(Playing):
    """A script that receives a request and sends nothing."""

    def __call__(self, connection: socket.socket) -> None:
        self.request = read_request(connection)
        try:
            connection.recv(1)
        except OSError:
            pass
        self.closed_at = monotonic()


def all_running(stream: Stream) -> int:
    gevent.sleep(0.05)
    return sum(replica.running for replica in stream.chooser.replicas)


def play(*scripts: Script) -> tuple[Stream, bytes, bool]:
    """Relay a resumable stream from replicas with these scripts, in the order of the attempts."""
    replicas = [ScriptedReplica(script) for script in scripts]
    for replica in replicas:
        replica.__enter__()
    try:
        stream = Stream(*[replica.address for replica in replicas], resumable=True)
        received, cut = collect(stream.events())
        assert all_running(stream) == 0
        return stream, b"".join(received), cut
    finally:
        for replica in replicas:
            replica.__exit__(None, None, None)


def wait_closed(script: Playing, *, within_s: float) -> None:
    until = monotonic() + within_s
    while script.closed_at is None:
        assert monotonic() < until, "the connection is still open"
        gevent.sleep(0.01)


def test_another_replica_goes_on_and_the_silent_run_is_closed(
    lines: list[tuple[str, dict[str, object]]],
) -> None:
    first, second = Playing((0.0, BEGUN), ends=False), Playing((0.0, REST))
    stream, received, cut = play(first, second)
    assert (received, cut) == (WHOLE, False)
    assert b"Last-Event-Id: 2" in second.request
    wait_closed(first, within_s=0.5)
    assert first.closed_at is not None
    assert first.closed_at - second.sent_at[0] < 0.5
    assert [attempt.outcome for attempt in stream.progress.attempts] == [
        AttemptOutcome.SILENT,
        AttemptOutcome.ANSWERED,
    ]
    texts = [text for text, _ in lines]
    assert texts.count("A replica is silent during a stream.") == 1
    assert texts.count("Resumed a stream.") == 1


def test_the_silent_replica_goes_on_and_the_run_at_the_other_is_closed() -> None:
    first, second = Playing((0.0, BEGUN), (0.6, REST)), Mute()
    stream, received, cut = play(first, second)
    assert (received, cut) == (WHOLE, False)
    assert second.request
    wait_closed(second, within_s=0.5)
    assert stream.chooser.replicas[0].health.failure_rate == 0


@pytest.mark.parametrize("seed", range(20))
def test_no_event_comes_twice_or_is_left_out_where_both_replicas_speak_at_about_the_same_time(
    seed: int,
) -> None:
    rng = random.Random(seed)
    meet_s = 0.3
    first = Playing(
        (0.0, BEGUN),
        (STALL_S + meet_s + rng.uniform(-0.01, 0.01), EVENTS[2]),
        (rng.uniform(0.0, 0.01), EVENTS[3]),
        (0.0, EVENTS[4]),
    )
    second = Playing((meet_s, EVENTS[2]), (0.0, EVENTS[3] + EVENTS[4]))
    _, received, cut = play(first, second)
    assert (received, cut) == (WHOLE, False)


def test_half_an_event_of_the_silent_replica_is_not_joined_with_the_other_ones_events() -> None:
    first, second = Playing((0.0, BEGUN + HALF), ends=False), Playing((0.0, REST))
    _, received, cut = play(first, second)
    assert (received, cut) == (WHOLE, False)


def test_an_event_that_a_silence_interrupts_is_completed_by_its_own_replica() -> None:
    first = Playing((0.0, BEGUN + HALF), (0.6, REST[len(HALF) :]))
    _, received, cut = play(first, Mute())
    assert (received, cut) == (WHOLE, False)


def test_a_silence_inside_the_framing_of_a_chunk_loses_nothing() -> None:
    def _first(connection: socket.socket) -> None:
        read_request(connection)
        data = chunk(REST)
        connection.sendall(CHUNKED_HEAD + chunk(BEGUN) + data[:1])
        time.sleep(0.6)
        connection.sendall(data[1:] + LAST_CHUNK)
        connection.recv(1)

    _, received, cut = play(_first, Mute())
    assert (received, cut) == (WHOLE, False)


def test_the_first_replica_is_still_read_after_the_other_one_broke_off() -> None:
    first = Playing((0.0, BEGUN), (0.8, REST))
    _, received, cut = play(first, reset_after_request)
    assert (received, cut) == (WHOLE, False)


def reset_after_request(connection: socket.socket) -> None:
    read_request(connection)
    reset(connection)


def test_a_refusal_of_the_other_replica_leaves_the_stream_to_the_next_one() -> None:
    def _refuse(connection: socket.socket) -> None:
        read_request(connection)
        full = "503 Service Unavailable"
        connection.sendall(answer("r1", b"", "Springrock-Not-Executed: full", status=full))
        connection.recv(1)

    first = Playing((0.0, BEGUN), ends=False)
    _, received, cut = play(first, _refuse, Playing((0.0, REST)))
    assert (received, cut) == (WHOLE, False)


def test_the_other_replica_is_waited_for_if_the_silent_one_breaks_off() -> None:
    def _first(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(CHUNKED_HEAD + chunk(BEGUN))
        time.sleep(0.5)
        reset(connection)

    _, received, cut = play(_first, Playing((1.5, REST)))
    assert (received, cut) == (WHOLE, False)


def test_a_stream_whose_replica_broke_off_waits_for_the_one_that_is_silent_after_it() -> None:
    def _first(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(CHUNKED_HEAD + chunk(BEGUN))
        time.sleep(0.05)
        reset(connection)

    _, received, cut = play(_first, Playing((2.5, REST)))
    assert (received, cut) == (WHOLE, False)


def test_a_stream_is_cut_at_its_deadline_if_all_replicas_stay_silent() -> None:
    first, second = Playing((0.0, BEGUN), ends=False), Mute()
    stream, received, cut = play(first, second)
    assert (received, cut) == (BEGUN, True)
    assert 0.0 <= monotonic() - stream.progress.ends_at < 0.5
    for script in (first, second):
        wait_closed(script, within_s=0.5)


def test_a_run_that_alone_is_silent_is_closed_soon_after_another_one_began() -> None:
    first, second = Playing((0.0, BEGUN), ends=False), Playing((1.5, REST))
    with ScriptedReplica(first) as one, ScriptedReplica(second) as other:
        stream = Stream(one.address, other.address, resumable=True)

        def _hear() -> None:
            while True:
                stream.chooser.replicas[0].heard_at = monotonic()
                gevent.sleep(0.05)

        hearing = gevent.spawn(_hear)
        received, cut = collect(stream.events())
        hearing.kill()
        assert (b"".join(received), cut) == (WHOLE, False)
        assert first.closed_at is not None
        assert second.sent_at[0] - first.closed_at > 0.9


def test_a_second_silence_is_survived_like_the_first() -> None:
    first = Playing((0.0, BEGUN), (0.5, EVENTS[2]), (0.5, EVENTS[3]), (0.5, EVENTS[4]))
    _, received, cut = play(first, Mute(), Mute())
    assert (received, cut) == (WHOLE, False)


def test_both_runs_are_closed_when_the_client_leaves_during_a_silence() -> None:
    first, second = Playing((0.0, BEGUN), ends=False), Mute()
    with ScriptedReplica(first) as one, ScriptedReplica(second) as other:
        stream = Stream(one.address, other.address, resumable=True)
        serving = gevent.spawn(collect, stream.events())
        gevent.sleep(3 * STALL_S)
        assert second.request
        serving.kill(AnswerCut("the client left"))
        for script in (first, second):
            wait_closed(script, within_s=0.5)
        assert all_running(stream) == 0


def test_a_replica_that_speaks_again_does_not_pay_for_its_silence() -> None:
    first = Playing((0.0, BEGUN), (0.6, EVENTS[2]), (0.1, EVENTS[3] + EVENTS[4]))
    rates = []
    with ScriptedReplica(first) as one, ScriptedReplica(Mute()) as other:
        stream = Stream(one.address, other.address, resumable=True)
        health = stream.chooser.replicas[0].health
        sampling = gevent.spawn_later(0.5, lambda: rates.append(health.failure_rate))
        _, cut = collect(stream.events())
        sampling.join()
    assert not cut
    assert rates[0] > 0, "it is not avoided while it is silent"
    assert health.failure_rate == 0
