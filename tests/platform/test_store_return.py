"""Followers of a store that comes back from a copy, against the stand-in in its own process."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import gevent
import pytest
import urllib3

from springrock.eras import number_of
from springrock.log import Log
from springrock.placement.messages import TableNews, decode, encode
from springrock.placement.table_news import reading_from, table_news_from
from springrock.platform.store import PlatformStore
from springrock.rows import (
    Changes,
    HistoryGone,
    Row,
    RowConflict,
    RowStoreUnavailable,
    Snapshot,
    TableReading,
    WrittenInAnotherEra,
)
from springrock.table_follower import TableFollower
from tests.platform.conftest import TABLE

LATER_S = 30.0
COPY_S = 1.0


class Listener:
    """Keeps the rows as it is told of them."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}

    def replace(self, rows: Sequence[Row]) -> None:
        self.rows = {row.key: row.value for row in rows}

    def change(self, row: Row) -> None:
        self.rows[row.key] = row.value

    def remove(self, key: str) -> None:
        self.rows.pop(key, None)


class BesideStore:
    """Asks the store in threads, as the sockets of a test process block its loop."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def read_all(self, table: str) -> Snapshot:
        snapshot: Snapshot = _beside(lambda: self._store.read_all(table))
        return snapshot

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        ask = partial(self._store.changes, table, after=after, wait_s=wait_s)
        changes: Changes = _beside(ask)
        return changes

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        raise NotImplementedError


def _beside(call: Callable[[], Any]) -> Any:
    return gevent.get_hub().threadpool.apply(call)


class ReturningStore:
    """The stand-in, and what an operator and a drill do to it."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/standin"
        self.client = BesideStore(PlatformStore(address))

    def put(self, key: str, value: str) -> None:
        self._post("transaction", {"put": [{"table": TABLE, "key": key, "value": value}]})

    def remove(self, key: str) -> None:
        self._post("transaction", {"remove": [{"table": TABLE, "key": key}]})

    def busy(self, busy: bool) -> None:
        self._post("faults", {"busy": busy})

    def return_from_copy(self, copy_s: float = COPY_S) -> None:
        self._post("return", {"copy_s": copy_s})

    def _post(self, what: str, body: object) -> None:
        assert urllib3.request("POST", f"{self._url}/{what}", body=json.dumps(body)).status == 200


@pytest.fixture
def store(address: str) -> ReturningStore:
    return ReturningStore(address)


def follow(store: ReturningStore, *, pause_s: float) -> tuple[TableFollower, Listener]:
    """Return a follower that waits so long between two reads."""
    listener = Listener()
    follower = TableFollower(store.client, TABLE, listener, pause_s=pause_s, log=Log("test", "box"))
    return follower, listener


def notify(reported: TableFollower) -> Callable[[TableReading, bool], None]:
    """Return what tells a follower each reading over a link."""

    def _notify(reading: TableReading, is_own: bool) -> None:
        updates = decode(encode(table_news_from(reading)))
        assert isinstance(updates, TableNews)
        reported.apply_reading(reading_from(updates))

    return _notify


def eventually(condition: Callable[[], bool], what: str, within_s: float = 2.0) -> None:
    """Wait for a condition; the store's bound on how late a change may be known."""
    with gevent.Timeout(within_s, TimeoutError(what)):
        while not condition():
            gevent.sleep(0.02)


def test_a_condition_on_a_number_that_was_given_out_again_writes_nothing_or_says_so(
    store: ReturningStore, address: str
) -> None:
    knowing, unknowing = PlatformStore(address), PlatformStore(address)
    # Of 0 to 2 the copy has none.
    store.return_from_copy(copy_s=60.0)
    first = knowing.write(TABLE, "lease", b"first", expected=0)
    unknowing.read_all(TABLE)
    store.return_from_copy(copy_s=60.0)
    second = knowing.write(TABLE, "lease", b"second", expected=0)
    assert number_of(first) == number_of(second)
    with pytest.raises(RowConflict) as conflict:
        knowing.write(TABLE, "lease", b"stale", expected=first)
    assert conflict.value.row == Row("lease", b"second", second)
    with pytest.raises(WrittenInAnotherEra):
        unknowing.write(TABLE, "lease", b"late", expected=first)
    with pytest.raises(RowConflict):
        unknowing.remove(TABLE, "lease", expected=first)


def test_an_answer_of_an_earlier_era_is_not_believed(store: ReturningStore, address: str) -> None:
    client = PlatformStore(address)
    client.read_all(TABLE)
    store.return_from_copy()
    client.read_all(TABLE)
    client._era += 1
    with pytest.raises(RowStoreUnavailable):
        client.read_all(TABLE)


def test_changes_after_a_version_of_an_earlier_era_must_be_read_whole(
    store: ReturningStore, address: str
) -> None:
    client = PlatformStore(address)
    version = client.read_all(TABLE).version
    store.return_from_copy()
    with pytest.raises(HistoryGone):
        client.changes(TABLE, after=version, wait_s=0.0)


def test_a_box_that_is_told_by_one_that_read_the_returned_store_misses_no_change(
    store: ReturningStore,
) -> None:
    source_zone, _ = follow(store, pause_s=0.0)
    reported, listener = follow(store, pause_s=LATER_S)
    for number in range(5):
        store.put(f"before-{number}", "aaaa")
    reported.start()
    eventually(lambda: "before-4" in listener.rows, "the table is read")
    source_zone.publishes = lambda: True
    source_zone.publisher = notify(reported)
    source_zone.start()
    gevent.sleep(0.2)
    store.return_from_copy(copy_s=COPY_S + 5.0)
    store.put("after", "bbbb")
    eventually(lambda: "after" in listener.rows, "a change after the return is known")
    source_zone.stop()
    reported.stop()


def test_a_box_that_asks_only_after_versions_were_given_out_again_misses_no_change(
    store: ReturningStore,
) -> None:
    follower, listener = follow(store, pause_s=1.0)
    for number in range(3):
        store.put(f"before-{number}", "aaaa")
    follower.start()
    eventually(lambda: "before-2" in listener.rows, "the table is read")
    store.return_from_copy(copy_s=COPY_S + 5.0)
    for number in range(5):
        store.put(f"after-{number}", "bbbb")
    eventually(lambda: "after-0" in listener.rows, "the first change after the return is known")
    follower.stop()
