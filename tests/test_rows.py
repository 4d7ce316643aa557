"""Following a table of the store: what changed is taken in the order in which it changed."""

from __future__ import annotations

from collections.abc import Sequence

import gevent

from springrock.log import Log
from springrock.rows import Change, Changes, Removed, Row, RowStore, Snapshot, TableFollower

TABLE = "replicas"


class Listener:
    """Keeps what it is told, and how."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.told: list[str] = []

    def replace(self, rows: Sequence[Row]) -> None:
        self.rows = {row.key: row.value for row in rows}
        self.told.append("all")

    def change(self, row: Row) -> None:
        self.rows[row.key] = row.value
        self.told.append(f"+{row.key}")

    def remove(self, key: str) -> None:
        self.rows.pop(key, None)
        self.told.append(f"-{key}")


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


def told(listener: Listener, *, count: int) -> list[str]:
    with gevent.Timeout(10):
        while len(listener.told) < count:
            gevent.sleep(0.01)
    return listener.told


def test_a_row_that_is_removed_and_put_again_at_once_stays() -> None:
    store = ScriptedStore([Removed("a"), Removed("b"), Row("a", b"2", 4)])
    follower, listener = follow(store)
    assert told(listener, count=3) == ["all", "-b", "+a"]
    assert listener.rows == {"a": b"2"}
    follower.stop()


def test_a_row_that_is_put_and_removed_at_once_is_gone() -> None:
    store = ScriptedStore([Row("a", b"2", 3), Removed("a")], [Row("b", b"2", 5)])
    follower, listener = follow(store)
    assert told(listener, count=4) == ["all", "+a", "-a", "+b"]
    assert listener.rows == {"b": b"2"}
    follower.stop()
