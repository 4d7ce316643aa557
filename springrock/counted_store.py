"""Counts the calls to a row store, as each call costs money, refused ones included."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from prometheus_client import Counter

from springrock.rows import (
    Changes,
    HistoryGone,
    RowConflict,
    RowEditor,
    RowStore,
    RowStoreUnavailable,
    Snapshot,
)

T = TypeVar("T")


class EditableRowStore(RowStore, RowEditor, Protocol):
    """A client of the store that can also remove rows."""


class CountedStore:
    """Implements `EditableRowStore` with another store whose calls it counts.

    Args:
        store: The store that receives the calls.
        calls: The counter, with the labels call, table and answer.
    """

    def __init__(self, store: EditableRowStore, *, calls: Counter) -> None:
        self._store = store
        self._calls = calls

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table."""
        return self._count_call("read", table, lambda: self._store.read_all(table))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Return the changes of a table after a version; wait for some if there are none yet."""
        return self._count_call(
            "changes", table, lambda: self._store.changes(table, after=after, wait_s=wait_s)
        )

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version."""
        return self._count_call(
            "write", table, lambda: self._store.write(table, key, value, expected=expected)
        )

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version."""
        self._count_call("remove", table, lambda: self._store.remove(table, key, expected=expected))

    def _count_call(self, call: str, table: str, send: Callable[[], T]) -> T:
        answer = "failed"
        try:
            result = send()
            answer = "done"
            return result
        except RowConflict:
            answer = "conflict"
            raise
        except HistoryGone:
            answer = "history_gone"
            raise
        except RowStoreUnavailable:
            answer = "unanswered"
            raise
        finally:
            self._calls.labels(call, table, answer).inc()
