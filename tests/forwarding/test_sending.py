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
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.sending import Sender
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.platform.dialect import PlatformDialect
from springrock.topology import Topology
from tests.factories import make_crash_detector, make_notices, make_reach, make_warmup
from tests.forwarding.scripted import ScriptedReplica, read_request
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_values import make_request, make_route


def make_sender(reach: BoxReach | None = None) -> Sender:
    """Return a sender whose requests are all withheld."""
    return Sender(
        dialect=PlatformDialect(),
        adapters=ScriptedAdapters(waits=0),
        warmup=make_warmup(),
        crash_detector=make_crash_detector(),
        notices=make_notices(),
        reach=reach or make_reach(),
        may_send=lambda progress, chosen: False,
        log=Log("test", "box-1"),
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
