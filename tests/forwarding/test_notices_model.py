"""A model test of notices: answers, rows, restarts and waits in any order.

No request may be sent to a replica that has announced that it is leaving or has asked for a
back-off.
"""

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
    LeavingSource,
    Replica,
    ReplicaRecord,
    incarnation_of,
)
from springrock.forwarding.eligibility import ANYWHERE
from springrock.log import Log
from tests.factories import make_notices, make_routing_state

IDS = ("i-1", "i-2")
SERVICE = "s"


class RowRead(NamedTuple):
    """The row of an incarnation is read, for the first time or again."""

    replica_id: str
    born_ms: int


class RowGone(NamedTuple):
    """The row of a replica is removed, because the store or the replica is down."""

    replica_id: str


class Answered(NamedTuple):
    """A replica answers a request that was sent recently or long ago."""

    sent: int
    leaving: bool
    backoff_s: float


class ReportedByBox(NamedTuple):
    """Another box reports that an incarnation is leaving."""

    replica_id: str
    born_ms: int


class Waited(NamedTuple):
    """Time passes."""

    seconds: float


Step = RowRead | RowGone | Answered | ReportedByBox | Waited

_ids = st.sampled_from(IDS)
_start_times = st.integers(1, 3)
_steps = st.lists(
    st.one_of(
        st.builds(RowRead, _ids, _start_times),
        st.builds(RowGone, _ids),
        st.builds(Answered, st.integers(0, 20), st.booleans(), st.sampled_from([0.0, 0.2, 3.0])),
        st.builds(ReportedByBox, _ids, _start_times),
        st.builds(Waited, st.sampled_from([0.1, 0.5, 1.0, 6.0])),
    ),
    max_size=30,
)


class Box:
    """A box that sends a request to every eligible replica after each step."""

    def __init__(self) -> None:
        self.now = 1000.0
        self._directory = Directory(Log("directory", "box-1"))
        self._notices = make_notices(self._directory)
        self._balancer = Balancer(routing_state=make_routing_state, rng=random.Random(1))
        self._sent: list[Replica] = []
        self._left_incarnations: set[str] = set()
        self._backoff_until: dict[str, float] = {}

    def execute(self, step: Step) -> None:
        match step:
            case RowRead(replica_id, born_ms):
                self._directory.update(_record(replica_id, born_ms))
            case RowGone(replica_id):
                self._directory.remove(replica_id)
            case ReportedByBox(replica_id, born_ms):
                instance = incarnation_of(replica_id, born_ms)
                self._left_incarnations.add(instance)
                self._directory.record_leaving(instance, LeavingSource.BOX)
            case Waited(seconds):
                self.now += seconds
            case Answered() if self._sent:
                self._answer(step)
        self._send()

    def _answer(self, step: Answered) -> None:
        replica = self._sent[step.sent % len(self._sent)]
        self._notices.apply(replica, ReplicaNotice(step.leaving, step.backoff_s), sent_at=self.now)
        if step.leaving:
            self._left_incarnations.add(replica.instance)
        replica_id = replica.record.replica_id
        until = self.now + step.backoff_s
        self._backoff_until[replica_id] = max(self._backoff_until.get(replica_id, 0.0), until)

    def _send(self) -> None:
        """Send to each eligible replica, and check that it accepts requests."""
        replicas = self._directory.of_service(SERVICE)
        for replica in replicas:
            if self._balancer.obstacle(replica, bounds=ANYWHERE) is None:
                self._check(replica)
                self._sent.append(replica)
        for allow_resting in (False, True):
            chosen = self._balancer.choose(replicas, allow_resting=allow_resting)
            if chosen is not None:
                self._check(chosen)

    def _check(self, replica: Replica) -> None:
        assert replica.instance not in self._left_incarnations
        assert self.now >= self._backoff_until.get(replica.record.replica_id, 0.0)


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
def test_nothing_is_sent_to_a_replica_against_its_notices(steps: list[Step]) -> None:
    box = Box()
    with (
        patch.object(health_module, "monotonic", lambda: box.now),
        patch.object(directory_module, "monotonic", lambda: box.now),
        patch.object(backoff_module, "monotonic", lambda: box.now),
    ):
        for step in steps:
            box.execute(step)
