"""Answers, rows, restarts and waits in any order: nothing is sent against a replica's own word."""

from __future__ import annotations

import random
from typing import NamedTuple
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from springrock import backoff as backoff_module
from springrock.forwarding import directory as directory_module
from springrock.forwarding import health as health_module
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.dialect import ReplicaNotice
from springrock.forwarding.directory import (
    Directory,
    LeavingSign,
    Replica,
    ReplicaRecord,
    incarnation_of,
)
from springrock.forwarding.eligibility import ANYWHERE
from springrock.log import Log
from tests.worlds import make_notices, make_world

IDS = ("i-1", "i-2")
SERVICE = "s"


class RowRead(NamedTuple):
    """The row of a start of a replica is read, for the first time or again."""

    replica_id: str
    born_ms: int


class RowGone(NamedTuple):
    """The row of a replica is gone, as the store is down or the replica is."""

    replica_id: str


class Answered(NamedTuple):
    """A replica that some request was sent to, lately or long ago, answers."""

    sent: int
    leaving: bool
    backoff_s: float


class ToldByBox(NamedTuple):
    """Another box tells that a start of a replica leaves."""

    replica_id: str
    born_ms: int


class Waited(NamedTuple):
    """Time passes."""

    seconds: float


Step = RowRead | RowGone | Answered | ToldByBox | Waited

_ids = st.sampled_from(IDS)
_births = st.integers(1, 3)
_steps = st.lists(
    st.one_of(
        st.builds(RowRead, _ids, _births),
        st.builds(RowGone, _ids),
        st.builds(Answered, st.integers(0, 20), st.booleans(), st.sampled_from([0.0, 0.2, 3.0])),
        st.builds(ToldByBox, _ids, _births),
        st.builds(Waited, st.sampled_from([0.1, 0.5, 1.0, 6.0])),
    ),
    max_size=30,
)


class Box:
    """A box that sends a request wherever it may, after each step."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._directory = Directory(Log("directory", "box-1"))
        self._notices = make_notices(self._directory)
        self._balancer = Balancer(world=make_world, chance=random.Random(1))
        self._sent: list[Replica] = []
        self._left: set[str] = set()
        self._rests: dict[str, float] = {}

    def take(self, step: Step) -> None:
        match step:
            case RowRead(replica_id, born_ms):
                self._directory.update(_record(replica_id, born_ms))
            case RowGone(replica_id):
                self._directory.remove(replica_id)
            case ToldByBox(replica_id, born_ms):
                instance = incarnation_of(replica_id, born_ms)
                self._left.add(instance)
                self._directory.record_leaving(instance, LeavingSign.BOX)
            case Waited(seconds):
                self.now += seconds
            case Answered() if self._sent:
                self._answer(step)
        self._send()

    def _answer(self, step: Answered) -> None:
        replica = self._sent[step.sent % len(self._sent)]
        self._notices.apply(replica, ReplicaNotice(step.leaving, step.backoff_s), sent_at=self.now)
        if step.leaving:
            self._left.add(replica.instance)
        replica_id = replica.record.replica_id
        until = self.now + step.backoff_s
        self._rests[replica_id] = max(self._rests.get(replica_id, 0.0), until)

    def _send(self) -> None:
        """Send to each replica that may get a request, and look at whether it wants one."""
        replicas = self._directory.of_service(SERVICE)
        for replica in replicas:
            if self._balancer.obstacle(replica, bounds=ANYWHERE) is None:
                self._check(replica)
                self._sent.append(replica)
        for even_resting in (False, True):
            chosen = self._balancer.choose(replicas, even_resting=even_resting)
            if chosen is not None:
                self._check(chosen)

    def _check(self, replica: Replica) -> None:
        assert replica.instance not in self._left
        assert self.now >= self._rests.get(replica.record.replica_id, 0.0)


def _record(replica_id: str, born_ms: int) -> ReplicaRecord:
    return ReplicaRecord(
        instance=incarnation_of(replica_id, born_ms),
        service=SERVICE,
        address="127.0.0.1:1",
        zone="zone-1",
        born_ms=born_ms,
    )


@settings(max_examples=400, deadline=None)
@given(steps=_steps)
def test_nothing_is_sent_against_a_replicas_own_word(steps: list[Step]) -> None:
    box = Box()
    with (
        patch.object(health_module, "monotonic", lambda: box.now),
        patch.object(directory_module, "monotonic", lambda: box.now),
        patch.object(backoff_module, "monotonic", lambda: box.now),
    ):
        for step in steps:
            box.take(step)
