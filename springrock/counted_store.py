"""Counts the calls to a store of rows: each is paid for, and refused ones are too."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeVar

from prometheus_client import Counter

from springrock.rows import (
    Changes,
    HistoryGone,
    RowConflict,
    RowKeeper,
    RowStore,
    RowStoreUnavailable,
    Snapshot,
)

T = TypeVar("T")


class KeptStore(RowStore, RowKeeper, Protocol):
    """A client of the store that can remove rows, too."""


class CountedStore:
    """Implements `KeptStore` by another store, and counts its calls.

    Args:
        store: The store that is asked.
        calls: The counter, with the labels call, table and answer.
    """

    def __init__(self, store: KeptStore, *, calls: Counter) -> None:
        self._store = store
        self._calls = calls

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table."""
        return self._counted("read", table, lambda: self._store.read_all(table))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version."""
        return self._counted(
            "changes", table, lambda: self._store.changes(table, after=after, wait_s=wait_s)
        )

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version."""
        return self._counted(
            "write", table, lambda: self._store.write(table, key, value, expected=expected)
        )

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version."""
        self._counted("remove", table, lambda: self._store.remove(table, key, expected=expected))

    def _counted(self, call: str, table: str, ask: Callable[[], T]) -> T:
        answer = "failed"
        try:
            result = ask()
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
