"""The interface to a store of versioned rows, with its data types and errors."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from springrock.errors import SpringrockError

ABSENT_VERSION = 0
"""The expected version for a write that must create the row."""


class RowStoreError(SpringrockError):
    """A call to the store that failed."""


class RowStoreUnavailable(RowStoreError):
    """The store gave no usable answer; a write may or may not have taken effect."""


class WrittenInAnotherEra(RowStoreUnavailable):
    """A write that took effect after the store had been restored from a copy.

    The condition of the write held by accident: the restored store has assigned the number of the
    expected version again, or the copy contains it.

    Args:
        version: The newest version of the store after the write.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        super().__init__("the store was restored from a copy before the write")


class HelpersSilent(RowStoreUnavailable):
    """No box that was asked to relay a call answered, so the state of the store is unknown."""


class RowConflict(RowStoreError):
    """A conditional write whose expected version did not match; nothing was written.

    Args:
        row: The current row, or None if there is none.
        version: The newest version of the store; 0 if unknown.
    """

    def __init__(self, row: Row | None, *, version: int = 0) -> None:
        self.row = row
        self.version = version
        super().__init__("the row does not have the expected version")


class HistoryGone(RowStoreError):
    """The requested changes are no longer kept; the full table must be read."""


class Row(NamedTuple):
    """One row of a table.

    Attributes:
        version: The store's transaction counter at the row's last write, combined with the store's
            era; see `springrock.eras`.
    """

    key: str
    value: bytes
    version: int


class Removed(NamedTuple):
    """The removal of a row.

    Attributes:
        version: The version of the transaction that removed it; 0 if the store does not say.
    """

    key: str
    version: int = 0


Change = Row | Removed


class Snapshot(NamedTuple):
    """All rows of a table at one point in time.

    Attributes:
        version: The version of the store at that time; pass it to `changes` to read what follows.
        store_s: The time of the answer on the store's steady clock; None if it does not say.
    """

    rows: Sequence[Row]
    version: int
    store_s: float | None = None


class Changes(NamedTuple):
    """The changes of a table, in order; a row may change more than once.

    Attributes:
        version: The version up to which the changes were read; the next read starts there.
        store_s: The time of the answer on the store's steady clock; None if it does not say.
    """

    changes: Sequence[Change]
    version: int
    store_s: float | None = None


class TableReading(NamedTuple):
    """The result of one read of a table.

    Attributes:
        after: The version after which the rows changed.
        version: The version that the table has with these changes.
        changes: The changes, in order.
        is_full_table: Whether `changes` is the full table; rows that are not in it do not exist.
        as_of_s: A time on the store's steady clock from before the read was sent; nothing newer
            than `version` had been written by then. None if unknown.
    """

    table: str
    after: int
    version: int
    changes: Sequence[Change]
    is_full_table: bool = False
    as_of_s: float | None = None


class RowWriter(Protocol):
    """Writes rows conditionally."""

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version.

        Returns:
            The new version of the row, or a later version of the store.

        Raises:
            RowConflict: If the row has another version.
            RowStoreUnavailable: If no answer came; the write may still take effect, even later.
        """


class RowEditor(RowWriter, Protocol):
    """Writes and removes rows conditionally."""

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version.

        Raises:
            RowConflict: If the row has another version, or does not exist.
            RowStoreUnavailable: If no answer came; the removal may still take effect, even later.
        """


class RowStore(RowWriter, Protocol):
    """A client of the store."""

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table at one point in time.

        Raises:
            RowStoreUnavailable: If no answer came.
        """

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Return the changes of a table after a version; wait for some if there are none yet.

        Args:
            table: The name of the table.
            after: The version.
            wait_s: How long to wait for a change.

        Raises:
            HistoryGone: If they are no longer kept.
            RowStoreUnavailable: If no answer came.
        """


class TableListener(Protocol):
    """Receives the rows of a table."""

    def replace(self, rows: Sequence[Row]) -> None:
        """Replace all known rows by the full table."""

    def change(self, row: Row) -> None:
        """Add or update a row."""

    def remove(self, key: str) -> None:
        """Drop a row that was removed."""


class ListenersByPrefix:
    """Implements `TableListener`: passes each row to the listeners of its key prefix.

    Args:
        listeners: The listeners by key prefix; rows with other prefixes are ignored.
    """

    def __init__(self, listeners: Mapping[str, TableListener]) -> None:
        self._listeners = listeners

    def replace(self, rows: Sequence[Row]) -> None:
        """Replace all known rows by the full table."""
        for prefix, listener in self._listeners.items():
            listener.replace([row for row in rows if row.key.startswith(prefix)])

    def change(self, row: Row) -> None:
        """Add or update a row."""
        for listener in self._of(row.key):
            listener.change(row)

    def remove(self, key: str) -> None:
        """Drop a row that was removed."""
        for listener in self._of(key):
            listener.remove(key)

    def _of(self, key: str) -> list[TableListener]:
        return [item for prefix, item in self._listeners.items() if key.startswith(prefix)]
