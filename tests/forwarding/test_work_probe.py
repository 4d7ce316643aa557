"""How often replicas are asked whether they are at work."""

from __future__ import annotations

import gevent

from springrock.clock import monotonic
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.work_probe import WorkProbe


def make_replica(*, models: frozenset[str] = frozenset({"base"})) -> Replica:
    return Replica(
        ReplicaRecord(instance="i-1", service="s", address="h:1", zone="z", models=models)
    )


def test_a_replica_that_answers_is_at_work_and_many_streams_ask_it_once() -> None:
    asked: list[Replica] = []
    replica = make_replica()
    probe = WorkProbe(lambda item: asked.append(item) is None)
    before = monotonic()
    for _ in range(10):
        probe.ask(replica)
    gevent.sleep(0.01)
    assert asked == [replica]
    assert replica.at_work_at >= before


def test_a_replica_that_does_not_answer_is_asked_again_later() -> None:
    asked: list[Replica] = []
    replica = make_replica()
    probe = WorkProbe(lambda item: asked.append(item) is not None)
    probe.ask(replica)
    gevent.sleep(0.01)
    assert replica.at_work_at == float("-inf")
    replica.probed_at -= 1.0
    probe.ask(replica)
    gevent.sleep(0.01)
    assert len(asked) == 2


def test_neither_one_that_was_heard_lately_nor_a_plain_service_is_asked() -> None:
    asked: list[Replica] = []
    probe = WorkProbe(lambda item: asked.append(item) is None)
    heard, plain = make_replica(), make_replica(models=frozenset())
    heard.heard_at = monotonic()
    probe.ask(heard)
    probe.ask(plain)
    gevent.sleep(0.01)
    assert asked == []
