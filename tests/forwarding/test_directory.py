"""The replica directory: restarts under the same id, and records that arrive out of order."""

from __future__ import annotations

from typing import Any

import pytest

from springrock.forwarding import directory as directory_module
from springrock.forwarding.directory import Directory, LeavingSource, ReplicaRecord, incarnation_of
from springrock.log import Log


def make_directory() -> Directory:
    return Directory(Log("directory", "test"))


def make_record(born_ms: int | None, replica_id: str = "i-1", **overrides: Any) -> ReplicaRecord:
    fields = {"service": "s", "address": "127.0.0.1:1", "zone": "z", **overrides}
    instance = incarnation_of(replica_id, born_ms)
    return ReplicaRecord(instance=instance, born_ms=born_ms, **fields)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    now = [1000.0]
    monkeypatch.setattr(directory_module, "monotonic", lambda: now[0])
    return now


def test_a_new_incarnation_has_no_state_of_the_old_one() -> None:
    directory = make_directory()
    directory.update(make_record(5, sequence=90))
    old = directory.find("i-1@5")
    assert old is not None
    old.running = 3
    old.health.record_unreachable()
    directory.update(make_record(6, sequence=1))
    new = directory.find("i-1@6")
    assert new is not None
    assert (new.running, new.health.resting) == (0, False)
    assert new.pool is not old.pool
    assert directory.find("i-1@5") is None


def test_a_removed_replica_is_marked_as_leaving_for_requests_that_chose_it() -> None:
    directory = make_directory()
    directory.update(make_record(5))
    old = directory.find("i-1@5")
    assert old is not None
    directory.update(make_record(6))
    assert old.record.leaving
    assert directory.leaving() == ()


def test_an_earlier_start_never_replaces_a_newer_one() -> None:
    directory = make_directory()
    directory.update(make_record(6))
    directory.update(make_record(5, sequence=99))
    directory.replace([make_record(5, sequence=99)])
    assert [replica.instance for replica in directory.of_service("s")] == ["i-1@6"]
    directory.remove("i-1")
    directory.update(make_record(5, sequence=99))
    assert directory.of_service("s") == []
    directory.update(make_record(6))
    assert directory.find("i-1@6") is not None


def test_a_replica_that_left_and_started_again_is_not_leaving() -> None:
    directory = make_directory()
    directory.update(make_record(5, leaving=True))
    directory.remove("i-1")
    directory.update(make_record(5))
    assert directory.leaving() == ("i-1@5",)
    directory.update(make_record(6))
    assert directory.leaving() == ()
    directory.record_leaving("i-1@5", LeavingSource.BOX)
    assert directory.leaving() == ()
    directory.record_leaving("i-1@6", LeavingSource.BOX)
    assert directory.leaving() == ("i-1@6",)


def test_the_memory_of_leaving_incarnations_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(directory_module, "_INCARNATIONS_KEPT", 3)
    directory = make_directory()
    directory.update(make_record(5, leaving=True))
    for number in range(10):
        directory.record_leaving(f"i-other-{number}", LeavingSource.BOX)
    assert len(directory._leaving_incarnations) == 3
    directory.update(make_record(5, sequence=8))
    assert directory.leaving() == ("i-1@5",)


def test_a_record_with_a_lower_sequence_is_deferred_and_dropped_if_a_newer_one_follows(
    clock: list[float],
) -> None:
    directory = make_directory()
    directory.update(make_record(5, sequence=8, running_limit=8))
    directory.update(make_record(5, sequence=7, running_limit=7))
    known = directory.find("i-1@5")
    assert known is not None
    assert known.record.running_limit == 8
    directory.update(make_record(5, sequence=9, running_limit=9))
    clock[0] += 60
    directory.update(make_record(None, "i-2"))
    assert known.record.running_limit == 9


def test_a_lower_sequence_is_applied_after_a_delay_if_no_higher_one_follows(
    clock: list[float],
) -> None:
    directory = make_directory()
    directory.update(make_record(5, sequence=10**15, running_limit=1))
    directory.update(make_record(5, sequence=8, running_limit=8))
    clock[0] += 60
    directory.update(make_record(None, "i-2"))
    known = directory.find("i-1@5")
    assert known is not None
    assert known.record.running_limit == 8


@pytest.mark.parametrize("born_ms, sequence", [(5, 8), (5, 0), (None, 3)])
def test_records_with_equal_or_missing_sequences_are_applied(
    born_ms: int | None, sequence: int
) -> None:
    directory = make_directory()
    directory.update(make_record(born_ms, sequence=8, running_limit=8))
    directory.update(make_record(born_ms, sequence=sequence, running_limit=9))
    [known] = directory.of_service("s")
    assert known.record.running_limit == 9


def test_connections_follow_a_change_of_the_address() -> None:
    directory = make_directory()
    directory.update(make_record(5))
    directory.update(make_record(5, address="127.0.0.1:2"))
    known = directory.find("i-1@5")
    assert known is not None
    assert known.pool.address == "127.0.0.1:2"


class PooledConnection:
    """A connection that can be reused."""

    reusable = True
    closed = False

    def mark_idle(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        self.closed = True


def test_connections_to_an_earlier_incarnation_are_not_reused() -> None:
    directory = make_directory()
    directory.update(make_record(5))
    old = directory.find("i-1@5")
    assert old is not None
    idle, in_use = PooledConnection(), PooledConnection()
    old.pool.release(idle)  # type: ignore[arg-type]
    directory.update(make_record(6))
    old.pool.release(in_use)  # type: ignore[arg-type]
    assert (idle.closed, in_use.closed) == (True, True)
