"""One run of a request with a plain answer: what is sent on, and what is recorded."""

from __future__ import annotations

import contextlib
import socket
import time

import gevent.socket
import pytest

from springrock.errors import AnswerCut
from springrock.forwarding import connection as connection_module
from springrock.forwarding.answer_limits import DEFAULT_LIMITS
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.plain_run import PlainRun
from springrock.forwarding.reply import Reply
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.sending import Sender
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.topology import Topology
from tests.factories import make_crash_detector, make_notices, make_reach, make_warmup
from tests.forwarding.scripted import SUCCESS, Script, ScriptedReplica, read_request
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_values import make_request, make_route

LONG_BYTES = 16 * 2**20
BEGINNING_BYTES = 2 * DEFAULT_LIMITS.kept_bytes


@pytest.fixture(autouse=True)
def cooperative_sockets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let tasks run while a connection is read, as in a box."""
    monkeypatch.setattr(connection_module, "socket", gevent.socket)


class Runs:
    """The runs of requests at one replica."""

    def __init__(self, address: str) -> None:
        record = ReplicaRecord(instance="i", service="s", address=address, zone="z-1")
        self.replica = Replica(record)
        self.sender = Sender(
            dialect=PlatformDialect(),
            adapters=ScriptedAdapters(waits=0),
            warmup=make_warmup(),
            crash_detector=make_crash_detector(),
            notices=make_notices(),
            reach=make_reach(),
            may_send=lambda progress, chosen: True,
            log=Log("test", "box-1"),
            byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
        )

    def open(self, *, deadline_s: float) -> tuple[RequestProgress, Reply]:
        progress = RequestProgress(make_request(deadline_s=deadline_s), make_route(), "s")
        chosen = ChosenReplica(self.replica, None)
        run = PlainRun(self.sender, progress, chosen, kept_bytes=DEFAULT_LIMITS.kept_bytes)
        return progress, run.open()


def long_answer(*, sent_bytes: int, then_silent_s: float = 0.0) -> Script:
    """Return a script that sends the beginning of a long answer and is silent then."""

    def _send(connection: socket.socket) -> None:
        read_request(connection)
        with contextlib.suppress(OSError):
            connection.sendall(SUCCESS + b"Content-Length: %d\r\n\r\n" % LONG_BYTES)
            connection.sendall(b"x" * sent_bytes)
            time.sleep(then_silent_s)

    return _send


def trickle_without_end(connection: socket.socket) -> None:
    read_request(connection)
    with contextlib.suppress(OSError):
        connection.sendall(SUCCESS + b"\r\n" + b"x" * BEGINNING_BYTES)
        while True:
            connection.sendall(b"x" * 1000)
            time.sleep(0.02)


def read_all(reply: Reply, *, client_pause_s: float = 0.0) -> int:
    """Return how many bytes were sent on, the client pausing once after the first part."""
    size = 0
    try:
        for data in reply.body:
            if not size:
                gevent.sleep(client_pause_s)
            size += len(data)
    finally:
        close = getattr(reply.body, "close", None)
        if close is not None:
            close()
    return size


def test_a_long_answer_is_sent_on_whole_and_counts_for_its_replica() -> None:
    with ScriptedReplica(long_answer(sent_bytes=LONG_BYTES)) as scripted:
        runs = Runs(scripted.address)
        progress, reply = runs.open(deadline_s=10.0)
        assert read_all(reply) == LONG_BYTES
    assert progress.attempts[0].outcome is AttemptOutcome.ANSWERED
    assert runs.replica.health.failure_rate == 0.0
    assert runs.replica.running == 0


def test_a_replica_that_is_paused_inside_a_long_answer_is_silent_and_has_not_failed() -> None:
    script = long_answer(sent_bytes=BEGINNING_BYTES, then_silent_s=3.0)
    with ScriptedReplica(script) as scripted:
        runs = Runs(scripted.address)
        progress, reply = runs.open(deadline_s=1.5)
        with pytest.raises(AnswerCut):
            read_all(reply)
    assert progress.attempts[0].outcome is AttemptOutcome.SILENT
    runs.replica.health.record_heard()
    assert runs.replica.health.failure_rate == 0.0, "the silence counts although it is over"


def test_the_pause_of_a_client_inside_a_long_answer_is_no_silence_of_its_replica() -> None:
    with ScriptedReplica(long_answer(sent_bytes=LONG_BYTES)) as scripted:
        runs = Runs(scripted.address)
        _, reply = runs.open(deadline_s=1.0)
        with pytest.raises(AnswerCut):
            read_all(reply, client_pause_s=1.5)
    assert runs.replica.health.failure_rate == 0.0


def test_a_replica_whose_long_answers_have_no_end_gets_a_rest() -> None:
    with ScriptedReplica(trickle_without_end, trickle_without_end) as scripted:
        runs = Runs(scripted.address)
        for _ in range(2):
            _, reply = runs.open(deadline_s=0.7)
            with pytest.raises(AnswerCut):
                read_all(reply)
    assert runs.replica.health.resting


def test_a_replica_whose_long_answers_break_off_gets_a_rest() -> None:
    script = long_answer(sent_bytes=BEGINNING_BYTES)
    with ScriptedReplica(script, script) as scripted:
        runs = Runs(scripted.address)
        for _ in range(2):
            progress, reply = runs.open(deadline_s=5.0)
            with pytest.raises(AnswerCut):
                read_all(reply)
            assert progress.attempts[0].outcome is AttemptOutcome.BROKEN
    assert runs.replica.health.resting


def test_a_client_that_accepts_nothing_does_not_hold_a_place_at_the_replica_for_ever() -> None:
    with ScriptedReplica(long_answer(sent_bytes=LONG_BYTES)) as scripted:
        runs = Runs(scripted.address)
        _, reply = runs.open(deadline_s=0.5)
        parts = iter(reply.body)
        assert next(parts)
        assert runs.replica.running == 1
        gevent.sleep(1.0)
        assert runs.replica.running == 0
        with pytest.raises(AnswerCut):
            next(parts)
    assert runs.replica.health.failure_rate == 0.0


def test_the_last_part_of_a_long_answer_may_be_accepted_after_the_deadline() -> None:
    def _send(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SUCCESS + b"Content-Length: %d\r\n\r\n" % BEGINNING_BYTES)
        connection.sendall(b"x" * BEGINNING_BYTES)

    with ScriptedReplica(_send) as scripted:
        runs = Runs(scripted.address)
        _, reply = runs.open(deadline_s=0.5)
        size = 0
        for data in reply.body:
            size += len(data)
            if size == BEGINNING_BYTES:
                gevent.sleep(1.0)
    assert size == BEGINNING_BYTES
    assert runs.replica.running == 0
