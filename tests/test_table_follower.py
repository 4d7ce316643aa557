"""Following a table of the store, by own reads and by readings of other boxes."""

from __future__ import annotations

from collections.abc import Sequence

import gevent
import pytest
from gevent.event import AsyncResult

from springrock import table_follower as follower_module
from springrock.clock import monotonic
from springrock.eras import version_in
from springrock.log import Journal, Log
from springrock.rows import (
    Change,
    Changes,
    Removed,
    Row,
    RowStore,
    RowStoreUnavailable,
    Snapshot,
    TableReading,
)
from springrock.store_clock import StoreClock
from springrock.table_follower import TableFollower
from springrock.unconfirmed_rows import RetentionPeriods

TABLE = "replicas"


class Listener:
    """Keeps the rows, and the calls by which it got them."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.calls: list[str] = []

    def replace(self, rows: Sequence[Row]) -> None:
        self.rows = {row.key: row.value for row in rows}
        self.calls.append("all")

    def change(self, row: Row) -> None:
        self.rows[row.key] = row.value
        self.calls.append(f"+{row.key}")

    def remove(self, key: str) -> None:
        self.rows.pop(key, None)
        self.calls.append(f"-{key}")


class ScriptedStore:
    """Answers with one batch of changes at a time, and then never again."""

    def __init__(self, *batches: list[Change]) -> None:
        self._batches = list(batches)

    def read_all(self, table: str) -> Snapshot:
        return Snapshot([Row("a", b"1", 1), Row("b", b"1", 1)], 1)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        if not self._batches:
            gevent.sleep(60)
        return Changes(self._batches.pop(0), after + 1)

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        raise NotImplementedError


def start_follower(store: RowStore) -> tuple[TableFollower, Listener]:
    listener = Listener()
    follower = TableFollower(store, TABLE, listener, pause_s=0.0, log=Log("test", "box"))
    follower.start()
    return follower, listener


def wait_for_calls(listener: Listener, *, count: int) -> list[str]:
    with gevent.Timeout(10):
        while len(listener.calls) < count:
            gevent.sleep(0.01)
    return listener.calls


def test_a_row_that_is_removed_and_written_again_in_one_read_stays() -> None:
    store = ScriptedStore([Removed("a"), Removed("b"), Row("a", b"2", 4)])
    follower, listener = start_follower(store)
    assert wait_for_calls(listener, count=3) == ["all", "-b", "+a"]
    assert listener.rows == {"a": b"2"}
    follower.stop()


def test_a_row_that_is_written_and_removed_in_one_read_is_gone() -> None:
    store = ScriptedStore([Row("a", b"2", 3), Removed("a")], [Row("b", b"2", 5)])
    follower, listener = start_follower(store)
    assert wait_for_calls(listener, count=4) == ["all", "+a", "-a", "+b"]
    assert listener.rows == {"b": b"2"}
    follower.stop()


def test_a_reading_of_another_box_is_applied_if_it_follows_the_known_version() -> None:
    follower, listener = start_follower(ScriptedStore())
    assert wait_for_calls(listener, count=1) == ["all"]
    follower.apply_reading(TableReading(TABLE, 5, 6, [Row("a", b"6", 6)]))
    assert listener.calls == ["all"], "changes between 1 and 5 are missing"
    follower.apply_reading(TableReading(TABLE, 0, 3, [Row("b", b"0", 1), Row("a", b"3", 3)]))
    assert listener.calls == ["all", "+a"], "changes up to the known version are ignored"
    follower.apply_reading(TableReading(TABLE, 3, 4, [Removed("a", 4)]))
    assert listener.rows == {"b": b"1"}
    follower.stop()


def test_a_box_that_sends_older_versions_than_known_is_logged_once() -> None:
    journal = Journal()
    log = Log("test", "box", journal=journal)
    follower = TableFollower(ScriptedStore(), TABLE, Listener(), pause_s=0.0, log=log)
    follower.apply_copy(TableReading(TABLE, 0, 9, [], is_full_table=True), newest_at=monotonic())
    for version in (5, 6, 9):
        follower.apply_reading(TableReading(TABLE, 4, version, []), source_zone="zone-2")
    logged = [
        (line.fields["reported"], line.fields["known"])
        for line in journal.lines_with("source_zone", "zone-2")
    ]
    assert logged == [("5", "9"), ("9", "9")]


class CountingStore(ScriptedStore):
    """Counts the reads of changes, and never has any."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0
        self.waits: list[float] = []

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self.reads += 1
        self.waits.append(wait_s)
        gevent.sleep(0.01)
        return Changes([], after)


def test_the_store_is_not_read_while_another_box_sends_readings_and_again_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "_PEER_READING_VALID_S", 0.3)
    store = CountingStore()
    follower, listener = start_follower(store)
    wait_for_calls(listener, count=1)
    follower.apply_reading(TableReading(TABLE, 1, 1, []))
    gevent.sleep(0.05)
    reads = store.reads
    gevent.sleep(0.1)
    assert store.reads == reads
    with gevent.Timeout(10):
        while store.reads == reads:
            gevent.sleep(0.01)
    follower.stop()


def test_a_publishing_box_publishes_every_read_and_reads_often() -> None:
    store = CountingStore()
    readings: list[TableReading] = []
    follower = TableFollower(store, TABLE, Listener(), pause_s=0.0, log=Log("test", "box"))
    follower.publishes = lambda: True
    follower.publisher = lambda reading, is_own: readings.append(reading)
    follower.start()
    with gevent.Timeout(10):
        while len(readings) < 3:
            gevent.sleep(0.01)
    full = [Row("a", b"1", 1), Row("b", b"1", 1)]
    assert readings[0] == TableReading(TABLE, 0, 1, full, is_full_table=True)
    assert readings[1] == TableReading(TABLE, 1, 1, [])
    assert max(store.waits) <= 0.5
    follower.stop()


def test_a_publishing_box_passes_on_the_readings_of_another_box() -> None:
    follower, listener = start_follower(ScriptedStore())
    assert wait_for_calls(listener, count=1) == ["all"]
    published: list[tuple[TableReading, bool]] = []
    follower.publishes = lambda: True
    follower.publisher = lambda reading, is_own: published.append((reading, is_own))
    reading = TableReading(TABLE, 1, 2, [Row("a", b"2", 2)])
    follower.apply_reading(reading)
    assert published == [(reading, False)]
    follower.stop()


def test_a_full_table_replaces_the_known_one_unless_it_is_older() -> None:
    follower, listener = start_follower(ScriptedStore())
    assert wait_for_calls(listener, count=1) == ["all"]
    follower.apply_reading(TableReading(TABLE, 0, 9, [Row("c", b"9", 9)], is_full_table=True))
    assert listener.rows == {"c": b"9"}
    follower.apply_reading(TableReading(TABLE, 0, 8, [Row("d", b"8", 8)], is_full_table=True))
    assert listener.rows == {"c": b"9"}
    follower.apply_reading(TableReading(TABLE, 9, 10, [Row("d", b"10", 10)]))
    assert listener.rows == {"c": b"9", "d": b"10"}
    follower.stop()


def test_a_box_that_may_not_rely_on_readings_of_another_keeps_reading() -> None:
    store = CountingStore()
    follower, listener = start_follower(store)
    wait_for_calls(listener, count=1)
    follower.apply_reading(TableReading(TABLE, 1, 2, [Row("a", b"2", 2)]), relied_on=False)
    assert listener.rows["a"] == b"2"
    reads = store.reads
    with gevent.Timeout(10):
        while store.reads < reads + 3:
            gevent.sleep(0.01)
    follower.stop()


class FailingStore(ScriptedStore):
    """Answers the first read of the full table, and then fails."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self.reads += 1
        raise RowStoreUnavailable("down")


def test_a_box_that_the_store_does_not_answer_relies_on_any_reading() -> None:
    store = FailingStore()
    follower, listener = start_follower(store)
    with gevent.Timeout(10):
        while not store.reads:
            gevent.sleep(0.01)
    follower.apply_reading(TableReading(TABLE, 1, 2, [Row("a", b"2", 2)]), relied_on=False)
    assert listener.rows["a"] == b"2"
    assert follower.age_s < 1.0
    gevent.sleep(0.3)
    reads = store.reads
    gevent.sleep(0.5)
    assert store.reads == reads, "it gets readings, so it need not read the store"
    follower.stop()


def test_a_box_that_gets_no_more_readings_can_read_at_once() -> None:
    store = CountingStore()
    follower, listener = start_follower(store)
    wait_for_calls(listener, count=1)
    gevent.sleep(0.02)
    follower.apply_reading(TableReading(TABLE, 1, 1, []))
    gevent.sleep(0.05)
    reads = store.reads
    follower.resume_reads()
    with gevent.Timeout(0.5):
        while store.reads == reads:
            gevent.sleep(0.01)
    follower.stop()


class SlowStore(ScriptedStore):
    """Answers after a delay, with its clock."""

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        gevent.sleep(0.1)
        return Changes([], after, store_s=50.0)

    def read_all(self, table: str) -> Snapshot:
        gevent.sleep(0.1)
        return Snapshot([Row("a", b"1", 1)], 1, store_s=50.0)


def test_the_staleness_of_a_table_counts_from_before_the_read_was_sent() -> None:
    follower, listener = start_follower(SlowStore())
    assert follower.staleness_s == float("inf")
    assert wait_for_calls(listener, count=1) == ["all"]
    assert follower.staleness_s >= 0.1 > follower.age_s
    follower.stop()


def test_a_delayed_reading_is_as_old_as_its_time_says() -> None:
    clock = StoreClock()
    follower = TableFollower(
        ScriptedStore(), TABLE, Listener(), pause_s=0.0, clock=clock, log=Log("test", "box")
    )
    follower.start()
    with gevent.Timeout(10):
        while follower.age_s == float("inf"):
            gevent.sleep(0.01)
    gevent.sleep(0.2)
    now = monotonic()
    clock.record(500.0, sent_at=now, received_at=now)
    follower.apply_reading(TableReading(TABLE, 1, 1, [], as_of_s=499.9))
    assert 0.1 <= follower.staleness_s < 0.2
    follower.apply_reading(TableReading(TABLE, 1, 1, [], as_of_s=400.0))
    follower.apply_reading(TableReading(TABLE, 1, 1, []))
    assert follower.staleness_s >= 0.1, "an older reading does not make the table newer"
    follower.apply_reading(TableReading(TABLE, 1, 1, [], as_of_s=900.0))
    assert follower.staleness_s >= 0.1, "nor does one from the future"
    follower.apply_reading(TableReading(TABLE, 5, 6, [], as_of_s=500.0))
    assert follower.staleness_s >= 0.1, "nor does one that does not follow the known version"
    follower.stop()


class ChangingStore(ScriptedStore):
    """Has one change, which its next answer contains."""

    def read_all(self, table: str) -> Snapshot:
        return Snapshot([Row("a", b"1", 1)], 1)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        if after >= 2:
            gevent.sleep(60)
        return Changes([Row("a", b"2", 2)], 2)


def test_a_box_does_not_rely_on_readings_that_arrive_long_after_they_were_made() -> None:
    clock, listener = StoreClock(), Listener()
    follower = TableFollower(
        ChangingStore(), TABLE, listener, pause_s=0.3, clock=clock, log=Log("test", "box")
    )
    follower.start()
    wait_for_calls(listener, count=1)
    now = monotonic()
    clock.record(500.0, sent_at=now, received_at=now)
    ends_at = now + 3.0
    while monotonic() < ends_at and listener.rows["a"] != b"2":
        made_at = 500.0 + monotonic() - now - 3.0
        follower.apply_reading(TableReading(TABLE, 1, 1, [], as_of_s=made_at))
        gevent.sleep(0.1)
    follower.stop()
    assert listener.rows == {"a": b"2"}


class OneTable(ScriptedStore):
    """Answers with a full table of one version, which tests raise."""

    def __init__(self, version: int) -> None:
        super().__init__()
        self.version = version

    def read_all(self, table: str) -> Snapshot:
        return Snapshot([Row("a", b"store", self.version)], self.version)


def follower_with_copy(store: RowStore, version: int) -> tuple[TableFollower, Listener]:
    """Return a follower that got a copy of the table from another box."""
    listener = Listener()
    follower = TableFollower(store, TABLE, listener, pause_s=0.01, log=Log("rows", "test"))
    copy = TableReading(TABLE, 0, version, [Row("a", b"copy", version)], is_full_table=True)
    follower.apply_copy(copy, newest_at=monotonic() - 2.0)
    return follower, listener


def wait_for_value(listener: Listener, value: bytes) -> None:
    with gevent.Timeout(10):
        while listener.rows != {"a": value}:
            gevent.sleep(0.005)


def test_the_store_s_first_reading_replaces_a_copy_from_another_box() -> None:
    follower, listener = follower_with_copy(OneTable(9), 7)
    assert listener.rows == {"a": b"copy"}
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_store_that_is_behind_a_copy_from_another_box_reverts_nothing() -> None:
    store = OneTable(6)
    follower, listener = follower_with_copy(store, 7)
    follower.start()
    gevent.sleep(0.1)
    assert listener.rows == {"a": b"copy"}
    assert follower.staleness_s >= 2.0
    store.version = 8
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_store_that_stays_behind_a_copy_replaces_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "_COPY_RETENTION_S", 0.05)
    follower, listener = follower_with_copy(OneTable(6), 7)
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_copy_that_is_newer_than_the_store_s_first_reading_is_replaced_by_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A box may have read one table already while it asks other boxes for the rest."""
    monkeypatch.setattr(follower_module, "_COPY_RETENTION_S", 0.05)
    listener = Listener()
    follower = TableFollower(
        OneTable(6), TABLE, listener, pause_s=0.01, log=Log("rows", "test"), poll_wait_s=lambda: 0.0
    )
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()
    copy = TableReading(TABLE, 0, 7, [Row("a", b"copy", 7)], is_full_table=True)
    follower.apply_copy(copy, newest_at=monotonic())
    assert listener.rows == {"a": b"copy"}
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


ERA = 3


class RestoredStore(ScriptedStore):
    """Was restored from a copy that lacks the second row, and has no further changes."""

    def __init__(self, *rows: Row) -> None:
        super().__init__()
        self.rows = rows

    def read_all(self, table: str) -> Snapshot:
        return Snapshot(self.rows, version_in(ERA, 1))


def follower_with_rows(
    store: RowStore, retention: RetentionPeriods, *changes: Change
) -> tuple[TableFollower, Listener]:
    """Return a follower that knows two rows of the previous era, and some changes of them."""
    listener = Listener()
    follower = TableFollower(
        store,
        TABLE,
        listener,
        pause_s=0.0,
        retention_of=lambda key: retention,
        log=Log("test", "box"),
    )
    before = version_in(ERA - 1, 100)
    rows = [Row("a", b"new", before), Row("b", b"new", before)]
    full = TableReading(TABLE, 0, before, rows, is_full_table=True)
    follower.apply_copy(full, newest_at=monotonic())
    reading = TableReading(TABLE, before, before + 9, changes)
    follower.apply_reading(reading, relied_on=False)
    return follower, listener


def restored(number: int, *changes: Change) -> TableReading:
    """Return a reading of the restored store by another box."""
    return TableReading(TABLE, 0, version_in(ERA, number), changes, is_full_table=True)


COPIED = Row("a", b"old", version_in(ERA, 1))


def test_a_row_that_a_restored_store_lacks_stays_for_its_retention_period() -> None:
    follower, listener = follower_with_rows(ScriptedStore(), RetentionPeriods(missing=0.1))
    lost: list[str] = []
    follower.on_lost = lambda rows: lost.extend(row.key for row in rows)
    follower.apply_reading(restored(1, COPIED))
    assert listener.rows == {"a": b"old", "b": b"new"}
    assert lost == ["b"]
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 2), []))
    assert "b" in listener.rows
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 2), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old"}


def test_a_row_that_is_written_again_stays() -> None:
    follower, listener = follower_with_rows(ScriptedStore(), RetentionPeriods(missing=0.1))
    follower.apply_reading(restored(1, COPIED))
    again = Row("b", b"again", version_in(ERA, 2))
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 2), [again]))
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 2), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old", "b": b"again"}


def test_a_removed_row_is_not_restored_with_the_copy_at_once() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    follower, listener = follower_with_rows(
        ScriptedStore(), RetentionPeriods(missing=9.0, removed=0.1), removed
    )
    follower.apply_reading(restored(1, COPIED))
    assert listener.rows == {"b": b"new"}
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old", "b": b"new"}


def test_unconfirmed_rows_outlast_a_second_reading_of_the_same_copy() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    store = RestoredStore(COPIED)
    follower, listener = follower_with_rows(
        store, RetentionPeriods(missing=9.0, removed=9.0), removed
    )
    follower.apply_reading(restored(1, COPIED), relied_on=False)
    # This box has not read the full table from the store itself yet.
    follower.start()
    gevent.sleep(0.1)
    assert not follower.last_read_failed
    assert listener.calls[-1] == "all"
    assert listener.rows == {"b": b"new"}
    follower.stop()


def test_without_retention_the_copy_applies_at_once() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    follower, listener = follower_with_rows(ScriptedStore(), RetentionPeriods(), removed)
    follower.apply_reading(restored(1, COPIED))
    assert listener.rows == {"a": b"old"}


def test_a_reading_of_an_earlier_era_is_not_relied_on() -> None:
    follower, listener = follower_with_rows(ScriptedStore(), RetentionPeriods())
    follower.apply_reading(restored(1, COPIED))
    read_at = follower.read_at
    for era in (0, ERA - 1):
        row = Row("a", b"stale", version_in(era, 500))
        follower.apply_reading(
            TableReading(TABLE, 0, version_in(era, 500), [row], is_full_table=True)
        )
    assert listener.rows == {"a": b"old"}
    assert follower.read_at == read_at, "the box reads the store itself"


def test_a_starting_box_applies_the_restored_store_over_an_older_copy_at_once() -> None:
    store = RestoredStore(COPIED)
    follower, listener = follower_with_rows(store, RetentionPeriods())
    follower.start()
    with gevent.Timeout(1.0):
        while listener.rows != {"a": b"old"}:
            gevent.sleep(0.01)
    follower.stop()


def test_a_store_of_an_earlier_era_than_a_reading_of_another_box_is_rejected() -> None:
    store = RestoredStore(COPIED)
    follower, listener = follower_with_rows(store, RetentionPeriods())
    later = Row("a", b"later", version_in(ERA + 1, 1))
    full = TableReading(TABLE, 0, version_in(ERA + 1, 1), [later], is_full_table=True)
    follower.apply_reading(full, relied_on=False)
    follower.start()
    gevent.sleep(0.1)
    assert listener.rows == {"a": b"later"}
    assert follower.staleness_s > 0.05
    follower.stop()


class HeldStore:
    """A store whose polls are held, while reads that ask for no wait are answered.

    Attributes:
        changed: What these answer.
        reads: How many of these were begun.
        failing: Whether these fail.
        takes_s: How long these take.
        poll_answer: What a poll is answered once it is set.
    """

    def __init__(self) -> None:
        self.changed = Changes([Removed("a"), Row("a", b"2", 3)], 3)
        self.reads = 0
        self.failing = False
        self.takes_s = 0.0
        self.poll_answer: AsyncResult[Changes] = AsyncResult()

    def read_all(self, table: str) -> Snapshot:
        return Snapshot([Row("a", b"1", 1)], 1)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        if wait_s:
            answer: Changes = self.poll_answer.get()
            self.poll_answer = AsyncResult()
            return answer
        self.reads += 1
        gevent.sleep(self.takes_s)
        if self.failing:
            raise RowStoreUnavailable("down")
        return self.changed

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        raise NotImplementedError


def start_held() -> tuple[HeldStore, TableFollower, Listener]:
    store = HeldStore()
    follower, listener = start_follower(store)
    wait_for_calls(listener, count=1)
    gevent.sleep(0.01)
    return store, follower, listener


def test_a_table_is_brought_up_to_date_while_a_poll_is_held() -> None:
    _, follower, listener = start_held()
    assert follower.refresh(timeout_s=1.0)
    assert listener.rows == {"a": b"2"}
    assert follower.staleness_s < 0.5
    follower.stop()


def test_a_poll_that_is_answered_after_a_later_read_undoes_nothing() -> None:
    """Guards against a removal without a version, of a row that was written again since."""
    store, follower, listener = start_held()
    assert follower.refresh(timeout_s=1.0)
    store.poll_answer.set(Changes([Removed("a")], 2))
    gevent.sleep(0.01)
    assert listener.rows == {"a": b"2"}
    assert follower.version == 3
    follower.stop()


def test_callers_at_the_same_time_share_a_read_that_began_after_their_calls() -> None:
    store, follower, _ = start_held()
    store.takes_s = 0.1
    calls = [gevent.spawn(follower.refresh, timeout_s=1.0) for _ in range(5)]
    gevent.sleep(0.05)
    calls += [gevent.spawn(follower.refresh, timeout_s=1.0) for _ in range(5)]
    gevent.joinall(calls)
    assert [call.value for call in calls] == [True] * 10
    assert store.reads == 2
    follower.stop()


def test_a_store_that_does_not_answer_is_waited_for_briefly() -> None:
    store, follower, _ = start_held()
    store.takes_s = 5.0
    began_at = monotonic()
    assert not follower.refresh(timeout_s=0.1)
    assert monotonic() - began_at < 0.5
    follower.stop()


def test_a_read_that_failed_is_not_repeated_at_once() -> None:
    store, follower, _ = start_held()
    store.failing = True
    assert not follower.refresh(timeout_s=1.0)
    assert not follower.refresh(timeout_s=1.0)
    assert store.reads == 1
    follower.stop()


def test_a_table_that_is_not_known_is_not_read_on_demand() -> None:
    store = HeldStore()
    follower = TableFollower(store, TABLE, Listener(), pause_s=0.0, log=Log("test", "box"))
    assert not follower.refresh(timeout_s=1.0)
    assert store.reads == 0
