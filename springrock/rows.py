"""A store of versioned rows, as this package needs one."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from springrock.errors import SpringrockError

ABSENT_VERSION = 0
"""The expected version of a row that must not exist."""


class RowStoreError(SpringrockError):
    """A call to the store that did not do what was asked."""


class RowStoreUnavailable(RowStoreError):
    """No usable answer came; a write may or may not have taken effect."""


class WrittenInAnotherEra(RowStoreUnavailable):
    """A write that took effect in a store which had come back from a copy since it was meant.

    Its condition named a number that the store has given out again, or that the copy has.

    Args:
        version: The newest of the store after it.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__("the store came back from a copy before the write")


class HelpersSilent(RowStoreUnavailable):
    """No box that was to ask the store answered, so that nothing is known of the store."""


class RowConflict(RowStoreError):
    """A conditional write whose expectation did not hold; nothing was written.

    Args:
        row: The row as it stands, or None if there is none.
        version: The newest of the store; 0 if it is not told.
    """

    def __init__(self, row: Row | None, *, version: int = 0) -> None:
        self.row = row
        self.version = version
        super().__init__("the row was changed meanwhile")


class HistoryGone(RowStoreError):
    """The changes asked for are no longer kept; the table must be read whole."""


class Row(NamedTuple):
    """One row of a table.

    Attributes:
        version: From one counter of the store, which rises with each transaction; see
            `springrock.eras`.
    """

    key: str
    value: bytes
    version: int


class Removed(NamedTuple):
    """Tells that a row was removed.

    Attributes:
        version: Of the transaction that removed it; 0 if the store does not say.
    """

    key: str
    version: int = 0


Change = Row | Removed


class Snapshot(NamedTuple):
    """All rows of a table as of one moment.

    Attributes:
        version: Where to go on from with the changes.
        store_s: What the store's steady clock read in the answer; None if it does not say.
    """

    rows: Sequence[Row]
    version: int
    store_s: float | None = None


class Changes(NamedTuple):
    """What changed in a table, in order; a row may change more than once.

    Attributes:
        version: Where to go on from.
        store_s: What the store's steady clock read in the answer; None if it does not say.
    """

    changes: Sequence[Change]
    version: int
    store_s: float | None = None


class TableReading(NamedTuple):
    """What one read of a table brought.

    Attributes:
        after: The version after which the rows changed.
        version: The version up to which all is known.
        changes: What changed, in order.
        whole: Whether it is the whole table, and what is not in it is gone.
        as_of_s: A moment of the store's steady clock from before the question; nothing newer than
            `version` had been written by then. None if it is not known.
    """

    table: str
    after: int
    version: int
    changes: Sequence[Change]
    whole: bool = False
    as_of_s: float | None = None


class RowWriter(Protocol):
    """Writes rows under a condition."""

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return its new one, or a later of the store.

        Raises:
            RowConflict: If it has another version.
            RowStoreUnavailable: If no answer came; the write may take effect, even later.
        """


class RowKeeper(RowWriter, Protocol):
    """Writes and removes rows under a condition."""

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version.

        Raises:
            RowConflict: If it has another version, or is gone.
            RowStoreUnavailable: If no answer came; the removal may take effect, even later.
        """


class RowStore(RowWriter, Protocol):
    """A client of the store."""

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table as of one moment.

        Raises:
            RowStoreUnavailable: If no answer came.
        """

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version.

        Raises:
            HistoryGone: If they are no longer kept.
            RowStoreUnavailable: If no answer came.
        """


class TableListener(Protocol):
    """Learns what stands in a table."""

    def replace(self, rows: Sequence[Row]) -> None:
        """Take the whole table."""

    def change(self, row: Row) -> None:
        """Take a new or changed row."""

    def remove(self, key: str) -> None:
        """Learn that a row is gone."""


class ListenersByKey:
    """Implements `TableListener`: hands each row to who listens to keys of its kind.

    Args:
        listeners: By the beginning of their keys; rows of other keys are passed over.
    """

    def __init__(self, listeners: Mapping[str, TableListener]) -> None:
        self._listeners = listeners

    def replace(self, rows: Sequence[Row]) -> None:
        """Take the whole table."""
        for prefix, listener in self._listeners.items():
            listener.replace([row for row in rows if row.key.startswith(prefix)])

    def change(self, row: Row) -> None:
        """Take a new or changed row."""
        for listener in self._of(row.key):
            listener.change(row)

    def remove(self, key: str) -> None:
        """Learn that a row is gone."""
        for listener in self._of(key):
            listener.remove(key)

    def _of(self, key: str) -> list[TableListener]:
        return [item for prefix, item in self._listeners.items() if key.startswith(prefix)]
