"""Following a table of the store: what changed is taken in the order in which it changed."""

from __future__ import annotations

from collections.abc import Sequence

import gevent
import pytest

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
    """Keeps what it is told, and how."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.reported: list[str] = []

    def replace(self, rows: Sequence[Row]) -> None:
        self.rows = {row.key: row.value for row in rows}
        self.reported.append("all")

    def change(self, row: Row) -> None:
        self.rows[row.key] = row.value
        self.reported.append(f"+{row.key}")

    def remove(self, key: str) -> None:
        self.rows.pop(key, None)
        self.reported.append(f"-{key}")


class ScriptedStore:
    """Answers with batches of changes, one each time, and then nothing more."""

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


def follow(store: RowStore) -> tuple[TableFollower, Listener]:
    listener = Listener()
    follower = TableFollower(store, TABLE, listener, pause_s=0.0, log=Log("test", "box"))
    follower.start()
    return follower, listener


def reported(listener: Listener, *, count: int) -> list[str]:
    with gevent.Timeout(10):
        while len(listener.reported) < count:
            gevent.sleep(0.01)
    return listener.reported


def test_a_row_that_is_removed_and_put_again_at_once_stays() -> None:
    store = ScriptedStore([Removed("a"), Removed("b"), Row("a", b"2", 4)])
    follower, listener = follow(store)
    assert reported(listener, count=3) == ["all", "-b", "+a"]
    assert listener.rows == {"a": b"2"}
    follower.stop()


def test_a_row_that_is_put_and_removed_at_once_is_gone() -> None:
    store = ScriptedStore([Row("a", b"2", 3), Removed("a")], [Row("b", b"2", 5)])
    follower, listener = follow(store)
    assert reported(listener, count=4) == ["all", "+a", "-a", "+b"]
    assert listener.rows == {"b": b"2"}
    follower.stop()


def test_what_another_box_has_read_is_taken_where_it_joins_what_is_known() -> None:
    follower, listener = follow(ScriptedStore())
    assert reported(listener, count=1) == ["all"]
    follower.apply_reading(TableReading(TABLE, 5, 6, [Row("a", b"6", 6)]))
    assert listener.reported == ["all"], "changes between 1 and 5 are missing"
    follower.apply_reading(TableReading(TABLE, 0, 3, [Row("b", b"0", 1), Row("a", b"3", 3)]))
    assert listener.reported == ["all", "+a"], "what was known already is passed over"
    follower.apply_reading(TableReading(TABLE, 3, 4, [Removed("a", 4)]))
    assert listener.rows == {"b": b"1"}
    follower.stop()


def test_a_box_that_tells_less_than_is_known_is_named_once() -> None:
    journal = Journal()
    log = Log("test", "box", journal=journal)
    follower = TableFollower(ScriptedStore(), TABLE, Listener(), pause_s=0.0, log=log)
    follower.apply_copy(TableReading(TABLE, 0, 9, [], whole=True), newest_at=monotonic())
    for version in (5, 6, 9):
        follower.apply_reading(TableReading(TABLE, 4, version, []), source_zone="zone-2")
    reported = [
        (line.fields["told"], line.fields["known"]) for line in journal.about("teller", "zone-2")
    ]
    assert reported == [("5", "9"), ("9", "9")]


class CountingStore(ScriptedStore):
    """Counts how often it is asked for changes, and never has any."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = 0
        self.waits: list[float] = []

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self.asked += 1
        self.waits.append(wait_s)
        gevent.sleep(0.01)
        return Changes([], after)


def test_the_store_is_not_asked_while_another_box_tells_and_again_when_it_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "_TOLD_FRESH_S", 0.3)
    store = CountingStore()
    follower, listener = follow(store)
    reported(listener, count=1)
    follower.apply_reading(TableReading(TABLE, 1, 1, []))
    gevent.sleep(0.05)
    asked = store.asked
    gevent.sleep(0.1)
    assert store.asked == asked
    with gevent.Timeout(10):
        while store.asked == asked:
            gevent.sleep(0.01)
    follower.stop()


def test_who_reads_for_others_tells_every_read_and_asks_often() -> None:
    store = CountingStore()
    readings: list[TableReading] = []
    follower = TableFollower(store, TABLE, Listener(), pause_s=0.0, log=Log("test", "box"))
    follower.sharing = lambda: True
    follower.shared_with = lambda reading, is_own: readings.append(reading)
    follower.start()
    with gevent.Timeout(10):
        while len(readings) < 3:
            gevent.sleep(0.01)
    whole = [Row("a", b"1", 1), Row("b", b"1", 1)]
    assert readings[0] == TableReading(TABLE, 0, 1, whole, whole=True)
    assert readings[1] == TableReading(TABLE, 1, 1, [])
    assert max(store.waits) <= 0.5
    follower.stop()


def test_who_is_told_passes_it_on_to_those_who_go_by_it() -> None:
    follower, listener = follow(ScriptedStore())
    assert reported(listener, count=1) == ["all"]
    passed_on: list[tuple[TableReading, bool]] = []
    follower.sharing = lambda: True
    follower.shared_with = lambda reading, is_own: passed_on.append((reading, is_own))
    reading = TableReading(TABLE, 1, 2, [Row("a", b"2", 2)])
    follower.apply_reading(reading)
    assert passed_on == [(reading, False)]
    follower.stop()


def test_a_whole_table_replaces_what_is_known_unless_it_is_older() -> None:
    follower, listener = follow(ScriptedStore())
    assert reported(listener, count=1) == ["all"]
    follower.apply_reading(TableReading(TABLE, 0, 9, [Row("c", b"9", 9)], whole=True))
    assert listener.rows == {"c": b"9"}
    follower.apply_reading(TableReading(TABLE, 0, 8, [Row("d", b"8", 8)], whole=True))
    assert listener.rows == {"c": b"9"}
    follower.apply_reading(TableReading(TABLE, 9, 10, [Row("d", b"10", 10)]))
    assert listener.rows == {"c": b"9", "d": b"10"}
    follower.stop()


def test_who_may_not_rely_on_being_told_goes_on_reading() -> None:
    store = CountingStore()
    follower, listener = follow(store)
    reported(listener, count=1)
    follower.apply_reading(TableReading(TABLE, 1, 2, [Row("a", b"2", 2)]), relied_on=False)
    assert listener.rows["a"] == b"2"
    asked = store.asked
    with gevent.Timeout(10):
        while store.asked < asked + 3:
            gevent.sleep(0.01)
    follower.stop()


class FailingStore(ScriptedStore):
    """Tells the whole table once, and then answers nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = 0

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self.asked += 1
        raise RowStoreUnavailable("down")


def test_who_the_store_does_not_answer_relies_on_whoever_tells() -> None:
    store = FailingStore()
    follower, listener = follow(store)
    with gevent.Timeout(10):
        while not store.asked:
            gevent.sleep(0.01)
    follower.apply_reading(TableReading(TABLE, 1, 2, [Row("a", b"2", 2)]), relied_on=False)
    assert listener.rows["a"] == b"2"
    assert follower.age_s < 1.0
    gevent.sleep(0.3)
    asked = store.asked
    gevent.sleep(0.5)
    assert store.asked == asked, "it is told: it need not ask"
    follower.stop()


def test_who_is_no_longer_told_can_read_at_once() -> None:
    store = CountingStore()
    follower, listener = follow(store)
    reported(listener, count=1)
    gevent.sleep(0.02)
    follower.apply_reading(TableReading(TABLE, 1, 1, []))
    gevent.sleep(0.05)
    asked = store.asked
    follower.read_alone()
    with gevent.Timeout(0.5):
        while store.asked == asked:
            gevent.sleep(0.01)
    follower.stop()


class SlowStore(ScriptedStore):
    """Answers after a while, and tells its clock."""

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        gevent.sleep(0.1)
        return Changes([], after, store_s=50.0)

    def read_all(self, table: str) -> Snapshot:
        gevent.sleep(0.1)
        return Snapshot([Row("a", b"1", 1)], 1, store_s=50.0)


def test_how_stale_a_table_is_counts_from_before_the_question() -> None:
    follower, listener = follow(SlowStore())
    assert follower.staleness_s == float("inf")
    assert reported(listener, count=1) == ["all"]
    assert follower.staleness_s >= 0.1 > follower.age_s
    follower.stop()


def test_a_reading_that_was_held_up_on_its_way_is_as_old_as_it_tells() -> None:
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
    assert follower.staleness_s >= 0.1, "an older word makes nothing newer"
    follower.apply_reading(TableReading(TABLE, 1, 1, [], as_of_s=900.0))
    assert follower.staleness_s >= 0.1, "nor does one from the future"
    follower.apply_reading(TableReading(TABLE, 5, 6, [], as_of_s=500.0))
    assert follower.staleness_s >= 0.1, "nor does one that does not join what is known"
    follower.stop()


class OneTable(ScriptedStore):
    """Tells a whole table, of a version that rises."""

    def __init__(self, version: int) -> None:
        super().__init__()
        self.version = version

    def read_all(self, table: str) -> Snapshot:
        return Snapshot([Row("a", b"store", self.version)], self.version)


def copied(store: RowStore, version: int) -> tuple[TableFollower, Listener]:
    """A follower that another box has told its table."""
    listener = Listener()
    follower = TableFollower(store, TABLE, listener, pause_s=0.01, log=Log("rows", "test"))
    reported = TableReading(TABLE, 0, version, [Row("a", b"copy", version)], whole=True)
    follower.apply_copy(reported, newest_at=monotonic() - 2.0)
    return follower, listener


def wait_for_value(listener: Listener, value: bytes) -> None:
    with gevent.Timeout(10):
        while listener.rows != {"a": value}:
            gevent.sleep(0.005)


def test_the_store_s_first_word_replaces_what_another_box_told() -> None:
    follower, listener = copied(OneTable(9), 7)
    assert listener.rows == {"a": b"copy"}
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_store_that_is_behind_what_another_box_told_reverts_nothing() -> None:
    store = OneTable(6)
    follower, listener = copied(store, 7)
    follower.start()
    gevent.sleep(0.1)
    assert listener.rows == {"a": b"copy"}
    assert follower.staleness_s >= 2.0
    store.version = 8
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_store_that_stays_behind_a_copy_is_another_one_and_right(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "_COPY_KEPT_S", 0.05)
    follower, listener = copied(OneTable(6), 7)
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


def test_a_copy_that_is_newer_than_the_store_s_own_word_gives_way_to_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One table may be read already while a box asks others for the rest."""
    monkeypatch.setattr(follower_module, "_COPY_KEPT_S", 0.05)
    listener = Listener()
    follower = TableFollower(
        OneTable(6), TABLE, listener, pause_s=0.01, log=Log("rows", "test"), poll_wait_s=lambda: 0.0
    )
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()
    reported = TableReading(TABLE, 0, 7, [Row("a", b"copy", 7)], whole=True)
    follower.apply_copy(reported, newest_at=monotonic())
    assert listener.rows == {"a": b"copy"}
    follower.start()
    wait_for_value(listener, b"store")
    follower.stop()


ERA = 3


class ReturnedStore(ScriptedStore):
    """Came back from a copy that lacks the second row, and tells nothing more."""

    def __init__(self, *rows: Row) -> None:
        super().__init__()
        self.rows = rows

    def read_all(self, table: str) -> Snapshot:
        return Snapshot(self.rows, version_in(ERA, 1))


def known(
    store: RowStore, kept: RetentionPeriods, *changes: Change
) -> tuple[TableFollower, Listener]:
    """Return a follower that knows two rows of the era before, and some changes of them."""
    listener = Listener()
    follower = TableFollower(
        store, TABLE, listener, pause_s=0.0, kept_s=lambda key: kept, log=Log("test", "box")
    )
    before = version_in(ERA - 1, 100)
    rows = [Row("a", b"new", before), Row("b", b"new", before)]
    whole = TableReading(TABLE, 0, before, rows, whole=True)
    follower.apply_copy(whole, newest_at=monotonic())
    reading = TableReading(TABLE, before, before + 9, changes)
    follower.apply_reading(reading, relied_on=False)
    return follower, listener


def returned(number: int, *changes: Change) -> TableReading:
    """Return what another box read of the store after its return."""
    return TableReading(TABLE, 0, version_in(ERA, number), changes, whole=True)


COPIED = Row("a", b"old", version_in(ERA, 1))


def test_a_row_that_a_returned_store_lacks_stays_until_nobody_has_written_it_again() -> None:
    follower, listener = known(ScriptedStore(), RetentionPeriods(missing=0.1))
    lost: list[str] = []
    follower.on_lost = lambda rows: lost.extend(row.key for row in rows)
    follower.apply_reading(returned(1, COPIED))
    assert listener.rows == {"a": b"old", "b": b"new"}
    assert lost == ["b"]
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 2), []))
    assert "b" in listener.rows
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 2), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old"}


def test_a_row_that_is_written_again_stays() -> None:
    follower, listener = known(ScriptedStore(), RetentionPeriods(missing=0.1))
    follower.apply_reading(returned(1, COPIED))
    again = Row("b", b"again", version_in(ERA, 2))
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 2), [again]))
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 2), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old", "b": b"again"}


def test_a_row_that_was_removed_does_not_come_back_with_the_copy_at_once() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    follower, listener = known(ScriptedStore(), RetentionPeriods(missing=9.0, removed=0.1), removed)
    follower.apply_reading(returned(1, COPIED))
    assert listener.rows == {"b": b"new"}
    gevent.sleep(0.15)
    follower.apply_reading(TableReading(TABLE, version_in(ERA, 1), version_in(ERA, 3), []))
    assert listener.rows == {"a": b"old", "b": b"new"}


def test_what_is_kept_outlasts_a_second_reading_of_the_same_copy() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    store = ReturnedStore(COPIED)
    follower, listener = known(store, RetentionPeriods(missing=9.0, removed=9.0), removed)
    follower.apply_reading(returned(1, COPIED), relied_on=False)
    # The store itself has not told this box a whole table yet.
    follower.start()
    gevent.sleep(0.1)
    assert not follower.unread
    assert listener.reported[-1] == "all"
    assert listener.rows == {"b": b"new"}
    follower.stop()


def test_where_nothing_is_kept_the_copy_counts_at_once() -> None:
    removed = Removed("a", version_in(ERA - 1, 105))
    follower, listener = known(ScriptedStore(), RetentionPeriods(), removed)
    follower.apply_reading(returned(1, COPIED))
    assert listener.rows == {"a": b"old"}


def test_who_tells_of_an_earlier_era_is_not_relied_on() -> None:
    follower, listener = known(ScriptedStore(), RetentionPeriods())
    follower.apply_reading(returned(1, COPIED))
    read_at = follower.read_at
    for era in (0, ERA - 1):
        row = Row("a", b"stale", version_in(era, 500))
        follower.apply_reading(TableReading(TABLE, 0, version_in(era, 500), [row], whole=True))
    assert listener.rows == {"a": b"old"}
    assert follower.read_at == read_at, "the box reads for itself"


def test_a_starting_box_takes_the_returned_store_in_place_of_an_older_copy_at_once() -> None:
    store = ReturnedStore(COPIED)
    follower, listener = known(store, RetentionPeriods())
    follower.start()
    with gevent.Timeout(1.0):
        while listener.rows != {"a": b"old"}:
            gevent.sleep(0.01)
    follower.stop()


def test_a_store_of_an_earlier_era_than_another_box_told_is_not_taken() -> None:
    store = ReturnedStore(COPIED)
    follower, listener = known(store, RetentionPeriods())
    later = Row("a", b"later", version_in(ERA + 1, 1))
    whole = TableReading(TABLE, 0, version_in(ERA + 1, 1), [later], whole=True)
    follower.apply_reading(whole, relied_on=False)
    follower.start()
    gevent.sleep(0.1)
    assert listener.rows == {"a": b"later"}
    assert follower.staleness_s > 0.05
    follower.stop()
