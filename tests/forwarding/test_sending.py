"""What an attempt records about its replica and the request."""

from __future__ import annotations

import socket

import pytest

from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    ExchangeError,
    ReplicaUnreachable,
    SendingForbidden,
)
from springrock.forwarding.message import PromptPart
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.sending import Sender
from springrock.log import Journal, Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.messages import PermitStage
from springrock.platform.dialect import PlatformDialect
from springrock.quarantine.crash_detector import CrashDetector
from springrock.topology import Topology
from tests.factories import make_crash_detector, make_notices, make_reach, make_warmup
from tests.forwarding.scripted import Script, ScriptedReplica, read_request
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_values import make_request, make_route


def make_sender(reach: BoxReach | None = None, journal: Journal | None = None) -> Sender:
    """Return a sender whose requests are all withheld."""
    return Sender(
        dialect=PlatformDialect(),
        adapters=ScriptedAdapters(waits=0),
        warmup=make_warmup(),
        crash_detector=make_crash_detector(),
        notices=make_notices(),
        reach=reach or make_reach(),
        may_send=lambda progress, chosen: False,
        log=Log("test", "box-1", journal),
        byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
    )


def test_a_withheld_request_did_not_run_and_does_not_count_against_the_replica() -> None:
    def _read(connection: socket.socket) -> None:
        read_request(connection)

    sender = make_sender()
    with ScriptedReplica(_read) as scripted:
        replica = Replica(
            ReplicaRecord(instance="i", service="s", address=scripted.address, zone="z-1")
        )
        progress = RequestProgress(make_request(deadline_s=5.0), make_route(), "s")
        attempt = sender.start_attempt(progress, replica)
        with pytest.raises(SendingForbidden) as forbidden:
            sender.send(progress, ChosenReplica(replica, None), attempt, head_timeout_s=1.0)
        sender.record_failure(progress, replica, attempt, forbidden.value)
    assert attempt.outcome is AttemptOutcome.WITHHELD
    assert (progress.arrivals, progress.runs) == (0, 0)
    assert progress.tried_instances == {"i"}, "the next attempt is at another replica"
    assert not replica.health.resting
    assert replica.health.failure_rate == 0.0


def _answer_with(status: str, *headers: str) -> Script:
    """Return a script that answers one request with an empty body."""
    lines = [f"HTTP/1.1 {status}", "Springrock-Request-Id: r1", "Content-Length: 0", *headers]
    answer = "\r\n".join([*lines, "", ""]).encode()

    def _read_and_answer(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(answer)

    return _read_and_answer


def _break(connection: socket.socket) -> None:
    read_request(connection)


class StageSender:
    """A sender that records what became of requests, and which breaks may be crashes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, brittle: bool) -> None:
        self.stages: list[PermitStage] = []
        self.breaks = 0
        self.failure_rate = 0.0
        monkeypatch.setattr(CrashDetector, "record_break", self._record_break)
        self._sender = Sender(
            dialect=PlatformDialect(),
            adapters=ScriptedAdapters(waits=0),
            warmup=make_warmup(),
            crash_detector=make_crash_detector(),
            notices=make_notices(),
            reach=make_reach(),
            is_brittle=lambda record: brittle,
            record_use=lambda record, request, stage: self.stages.append(stage),
            may_send=lambda progress, chosen: True,
            log=Log("test", "box-1"),
            byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
        )

    def _record_break(self, *arguments: object, is_writing: bool) -> None:
        self.breaks += 1

    def send(self, script: Script) -> None:
        """Send a request to a replica that runs a script, as a forwarder does."""
        with ScriptedReplica(script) as scripted:
            record = ReplicaRecord(instance="i", service="s", address=scripted.address, zone="z-1")
            chosen = ChosenReplica(Replica(record), None)
            progress = RequestProgress(make_request(deadline_s=5.0), make_route(), "s")
            attempt = self._sender.start_attempt(progress, chosen.replica)
            try:
                self._sender.send(progress, chosen, attempt, head_timeout_s=2.0).close()
            except ExchangeError as error:
                self._sender.record_failure(progress, chosen.replica, attempt, error)
            self._sender.finish_attempt(chosen, attempt)
            self.failure_rate = chosen.replica.health.failure_rate


def test_what_becomes_of_a_request_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    sender = StageSender(monkeypatch, brittle=True)
    sender.send(_answer_with("200 OK"))
    assert sender.stages == [PermitStage.ADMITTED, PermitStage.ENDED]
    sender.send(_answer_with("503 Full", "Springrock-Not-Executed: 1"))
    assert sender.stages[2:] == [PermitStage.REFUSED]


@pytest.mark.parametrize(("brittle", "breaks"), [(True, 0), (False, 1)])
def test_the_fall_of_a_brittle_replica_is_no_crash_of_its_requests(
    monkeypatch: pytest.MonkeyPatch, brittle: bool, breaks: int
) -> None:
    sender = StageSender(monkeypatch, brittle=brittle)
    sender.send(_break)
    assert sender.breaks == breaks


def test_a_replica_that_sends_a_head_without_end_has_failed_but_not_crashed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sender = StageSender(monkeypatch, brittle=False)
    sender.send(_answer_with("200 OK", *["X-More: x"] * 200))
    assert sender.breaks == 0
    assert sender.failure_rate > 0.0


@pytest.mark.parametrize(
    ("error", "is_probed"),
    [(ReplicaUnreachable(""), True), (AnswerSilent(""), True), (AnswerBroken(""), False)],
)
def test_a_request_without_an_answer_in_its_time_is_a_reason_to_probe(
    error: ExchangeError, is_probed: bool
) -> None:
    reach = make_reach("s")
    sender = make_sender(reach)
    replica = Replica(ReplicaRecord(instance="i", service="s", address="h:1", zone="z-1"))
    progress = RequestProgress(make_request(deadline_s=5.0), make_route(), "s")
    attempt = sender.start_attempt(progress, replica)
    sender.record_failure(progress, replica, attempt, error)
    sender.finish_attempt(ChosenReplica(replica, None), attempt)
    assert reach.services_to_probe() == (["s"] if is_probed else [])


def test_a_failed_attempt_is_logged_with_the_parts_that_other_requests_share() -> None:
    journal = Journal()
    parts = tuple(PromptPart(part_id, 10) for part_id in ("5c", "91", "e4"))
    request = make_request(deadline_s=5.0, prompt=parts, last_event_id="7")
    progress = RequestProgress(request, make_route(), "s")
    replica = Replica(ReplicaRecord(instance="i", service="s", address="h:1", zone="z-1"))
    sender = make_sender(journal=journal)
    attempt = sender.start_attempt(progress, replica)
    sender.record_failure(progress, replica, attempt, AnswerBroken("scripted"))
    [line] = journal.lines_with("instance", "i")
    assert line.fields["parts"] == ("5c", "91")
    assert line.fields["number"] == 1
    assert line.fields["after_event"] == "7"
