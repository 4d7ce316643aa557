"""How the outcomes of attempts make a box suspect that a replica has restarted."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    ConnectionRefused,
    ExchangeError,
    ReplicaChanged,
    ReplicaFull,
    ReplicaUnreachable,
    SendingForbidden,
)
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.sending import Sender
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.warmup import WarmupTracker
from springrock.platform.dialect import PlatformDialect
from springrock.topology import Topology
from tests.factories import make_crash_detector, make_notices, make_reach, make_warmup
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_values import make_request, make_route

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")


class Setup:
    """A sender and one replica of a service with slow start."""

    def __init__(self) -> None:
        slow = Service(name="s", slow_start=SlowStart(lasts_s=5.0, per_s=4.0))
        configuration = Configuration(version=1, services={"s": slow})
        self.warmup: WarmupTracker = make_warmup(lambda: configuration)
        self.warmup.apply_record(RECORD, "i-1")
        self.reported: list[bool] = []
        self.warmup.on_observation.append(lambda record, answered: self.reported.append(answered))
        self.replica = Replica(RECORD)
        self.sender = Sender(
            dialect=PlatformDialect(),
            adapters=ScriptedAdapters(waits=1),
            warmup=self.warmup,
            crash_detector=make_crash_detector(),
            notices=make_notices(),
            reach=make_reach(),
            may_send=lambda progress, chosen: True,
            log=Log("forwarder", "box-1"),
            byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
        )

    def attempt(self, outcome: ExchangeError | int, *, age_s: float = 1.0) -> AttemptOutcome:
        request = make_request(deadline_s=9.0, received_at=monotonic() - age_s)
        progress = RequestProgress(request, make_route(), "s")
        attempt = self.sender.start_attempt(progress, self.replica)
        if isinstance(outcome, int):
            self.sender.record_answer(progress, self.replica, attempt, outcome)
        else:
            self.sender.record_failure(progress, self.replica, attempt, outcome)
        self.sender.finish_attempt(ChosenReplica(self.replica, None), attempt)
        return attempt.outcome


def test_a_refused_connection_and_the_next_answer_are_reported_to_other_boxes() -> None:
    setup = Setup()
    setup.attempt(ConnectionRefused("scripted"))
    assert setup.warmup.is_cold(RECORD)
    setup.attempt(500)
    assert setup.reported == [False, True]


@pytest.mark.parametrize("error", [ReplicaUnreachable, AnswerBroken, AnswerSilent])
def test_other_failures_are_suspicions_of_this_box_alone(error: type[ExchangeError]) -> None:
    setup = Setup()
    setup.attempt(error("scripted"))
    assert setup.warmup.is_cold(RECORD)
    assert setup.reported == []


@pytest.mark.parametrize("error", [ReplicaChanged, ReplicaFull, SendingForbidden])
def test_refusals_by_the_replica_or_this_box_cause_no_suspicion(error: type[ExchangeError]) -> None:
    setup = Setup()
    setup.attempt(error("scripted"))
    assert not setup.warmup.is_cold(RECORD)


def test_a_timeout_too_short_to_mean_a_failure_causes_no_suspicion() -> None:
    setup = Setup()
    setup.attempt(AnswerSilent("scripted"), age_s=0.1)
    assert not setup.warmup.is_cold(RECORD)


def test_a_request_withheld_for_lack_of_time_neither_ran_nor_arrived() -> None:
    outcome = Setup().attempt(SendingForbidden("scripted"))
    assert outcome is AttemptOutcome.WITHHELD
    assert not outcome.arrived
    assert not outcome.may_have_run
