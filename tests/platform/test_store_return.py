"""Followers of a store that is restored from a copy, against the stand-in in a separate process.

The restored store assigns version numbers again, so a box that compares only numbers takes later
rows for known ones and misses changes, or writes under a condition that holds by accident.
"""

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

LONG_PAUSE_S = 30.0
COPY_S = 1.0


class Listener:
    """Holds the rows that a follower passed on."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}

    def replace(self, rows: Sequence[Row]) -> None:
        self.rows = {row.key: row.value for row in rows}

    def change(self, row: Row) -> None:
        self.rows[row.key] = row.value

    def remove(self, key: str) -> None:
        self.rows.pop(key, None)


class ThreadedStore:
    """Calls the store in threads, as sockets in the test process would block its event loop."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def read_all(self, table: str) -> Snapshot:
        snapshot: Snapshot = _call_in_thread(lambda: self._store.read_all(table))
        return snapshot

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        ask = partial(self._store.changes, table, after=after, wait_s=wait_s)
        changes: Changes = _call_in_thread(ask)
        return changes

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        raise NotImplementedError


def _call_in_thread(call: Callable[[], Any]) -> Any:
    return gevent.get_hub().threadpool.apply(call)


class RestorableStore:
    """Controls the stand-in: changes rows, makes it busy and restores it from a copy."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/standin"
        self.client = ThreadedStore(PlatformStore(address))

    def put(self, key: str, value: str) -> None:
        self._post("transaction", {"put": [{"table": TABLE, "key": key, "value": value}]})

    def remove(self, key: str) -> None:
        self._post("transaction", {"remove": [{"table": TABLE, "key": key}]})

    def busy(self, busy: bool) -> None:
        self._post("faults", {"busy": busy})

    def restore_from_copy(self, copy_s: float = COPY_S) -> None:
        self._post("return", {"copy_s": copy_s})

    def _post(self, what: str, body: object) -> None:
        assert urllib3.request("POST", f"{self._url}/{what}", body=json.dumps(body)).status == 200


@pytest.fixture
def store(address: str) -> RestorableStore:
    return RestorableStore(address)


def follow(store: RestorableStore, *, pause_s: float) -> tuple[TableFollower, Listener]:
    """Return a follower with a pause between reads, and its listener."""
    listener = Listener()
    follower = TableFollower(store.client, TABLE, listener, pause_s=pause_s, log=Log("test", "box"))
    return follower, listener


def publish_to(receiver: TableFollower) -> Callable[[TableReading, bool], None]:
    """Return a callback that passes each reading to a follower, encoded as on a link."""

    def _publish(reading: TableReading, is_own: bool) -> None:
        updates = decode(encode(table_news_from(reading)))
        assert isinstance(updates, TableNews)
        receiver.apply_reading(reading_from(updates))

    return _publish


def eventually(condition: Callable[[], bool], what: str, within_s: float = 2.0) -> None:
    """Wait for a condition, by default for the longest time that a change may take to arrive."""
    with gevent.Timeout(within_s, TimeoutError(what)):
        while not condition():
            gevent.sleep(0.02)


def test_a_condition_on_a_reassigned_version_number_writes_nothing_or_raises(
    store: RestorableStore, address: str
) -> None:
    current_client, outdated_client = PlatformStore(address), PlatformStore(address)
    # A copy that is 60 s old has none of the version numbers 0 to 2.
    store.restore_from_copy(copy_s=60.0)
    first = current_client.write(TABLE, "lease", b"first", expected=0)
    outdated_client.read_all(TABLE)
    store.restore_from_copy(copy_s=60.0)
    second = current_client.write(TABLE, "lease", b"second", expected=0)
    assert number_of(first) == number_of(second)
    with pytest.raises(RowConflict) as conflict:
        current_client.write(TABLE, "lease", b"stale", expected=first)
    assert conflict.value.row == Row("lease", b"second", second)
    with pytest.raises(WrittenInAnotherEra):
        outdated_client.write(TABLE, "lease", b"late", expected=first)
    with pytest.raises(RowConflict):
        outdated_client.remove(TABLE, "lease", expected=first)


def test_an_answer_of_an_earlier_era_is_rejected(store: RestorableStore, address: str) -> None:
    client = PlatformStore(address)
    client.read_all(TABLE)
    store.restore_from_copy()
    client.read_all(TABLE)
    client._era += 1
    with pytest.raises(RowStoreUnavailable):
        client.read_all(TABLE)


def test_the_feed_after_a_version_of_an_earlier_era_needs_a_full_read(
    store: RestorableStore, address: str
) -> None:
    client = PlatformStore(address)
    version = client.read_all(TABLE).version
    store.restore_from_copy()
    with pytest.raises(HistoryGone):
        client.changes(TABLE, after=version, wait_s=0.0)


def test_a_box_that_gets_readings_of_a_restored_store_misses_no_change(
    store: RestorableStore,
) -> None:
    source, _ = follow(store, pause_s=0.0)
    receiver, listener = follow(store, pause_s=LONG_PAUSE_S)
    for number in range(5):
        store.put(f"before-{number}", "aaaa")
    receiver.start()
    eventually(lambda: "before-4" in listener.rows, "the table is read")
    source.publishes = lambda: True
    source.publisher = publish_to(receiver)
    source.start()
    gevent.sleep(0.2)
    store.restore_from_copy(copy_s=COPY_S + 5.0)
    store.put("after", "bbbb")
    eventually(lambda: "after" in listener.rows, "a change after the restore arrives")
    source.stop()
    receiver.stop()


def test_a_box_that_reads_after_version_numbers_were_reassigned_misses_no_change(
    store: RestorableStore,
) -> None:
    follower, listener = follow(store, pause_s=1.0)
    for number in range(3):
        store.put(f"before-{number}", "aaaa")
    follower.start()
    eventually(lambda: "before-2" in listener.rows, "the table is read")
    store.restore_from_copy(copy_s=COPY_S + 5.0)
    for number in range(5):
        store.put(f"after-{number}", "bbbb")
    eventually(lambda: "after-0" in listener.rows, "the first change after the restore arrives")
    follower.stop()
