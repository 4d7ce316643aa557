"""Which replicas count as brittle."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.log import Log
from springrock.permits import brittle as module
from springrock.permits.brittle import BrittleReplicas
from springrock.permits.messages import NamedLimit
from tests.factories import make_limits


def make_record(instance: str, service: str = "s") -> ReplicaRecord:
    return ReplicaRecord(instance=instance, service=service, address="127.0.0.1:1", zone="zone-1")


@pytest.fixture
def brittle(monkeypatch: pytest.MonkeyPatch) -> BrittleReplicas:
    monkeypatch.setattr(module, "_SERVICE_WORD_VALID_S", 0.0)
    directory = Directory(Log("directory", "box-1"))
    for instance in ("i-1", "i-2", "i-3"):
        directory.update(make_record(instance))
    directory.update(make_record("j-1", "other"))
    return BrittleReplicas(make_limits(), directory=directory)


def test_a_replica_that_has_not_answered_is_as_brittle_as_its_service(
    brittle: BrittleReplicas,
) -> None:
    assert not brittle.is_brittle(make_record("i-3"))
    brittle.words.record_limit_named("i-1", 8.0, sent_at=monotonic())
    brittle.words.apply_placer_limits("zone-1", [NamedLimit("i-2", 5.0)])
    assert brittle.per_s("s", "i-1") == 8.0
    assert brittle.per_s("s", "i-2") == 5.0
    assert brittle.per_s("s", "i-3") == 5.0
    assert brittle.per_s("other", "j-1") is None


def test_a_replica_that_is_no_longer_brittle_is_not_taken_for_it(
    brittle: BrittleReplicas,
) -> None:
    for instance in ("i-1", "i-2"):
        brittle.words.record_limit_named(instance, 8.0, sent_at=monotonic())
    brittle.words.record_limit_absent("i-1", sent_at=monotonic())
    assert brittle.per_s("s", "i-1") is None
    assert brittle.per_s("s", "i-3") == 8.0
    brittle.words.record_limit_absent("i-2", sent_at=monotonic())
    assert brittle.per_s("s", "i-3") is None
