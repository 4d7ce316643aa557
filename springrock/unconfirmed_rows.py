"""Rows on which a store that was restored from a copy differs from what was known before."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.rows import Change, Removed, Row

_MAX_REMOVED_KEYS = 2_000
"""How many keys of removed rows are remembered for each table."""


class RetentionPeriods(NamedTuple):
    """How long the known state of a row is kept against a store that was restored from a copy.

    Attributes:
        missing: Seconds to keep a row that the copy lacks. The row may have been removed without
            this box knowing, or its writer has not written it again yet.
        removed: Seconds to keep the removal of a row that the copy has. The restore may have undone
            the removal, or the row may have been written again since.
    """

    missing: float = 0.0
    removed: float = 0.0


class _UnconfirmedRow(NamedTuple):
    """The state of a row in the restored store, which is not applied yet.

    Attributes:
        store_row: The store's row; None if it has none.
        until: When the store's state is applied, on the local monotonic clock.
    """

    store_row: Row | None
    until: float


class UnconfirmedRows:
    """Keeps rows of a table as known for a time after the store was restored from a copy.

    Args:
        retention_of: Returns the retention periods of the row with a key.
    """

    def __init__(self, retention_of: Callable[[str], RetentionPeriods]) -> None:
        self._retention_of = retention_of
        self._unconfirmed: dict[str, _UnconfirmedRow] = {}
        self._removed: BoundedDict[None] = BoundedDict(at_most=_MAX_REMOVED_KEYS)

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def record_applied(self, change: Change) -> None:
        """Record a change that was applied; its row is no longer unconfirmed."""
        self._unconfirmed.pop(change.key, None)
        if isinstance(change, Removed):
            self._removed.record(change.key, None)
        else:
            self._removed.pop(change.key, None)

    def apply_restored_table(self, rows: Sequence[Row], *, lost: Sequence[Row]) -> list[Row]:
        """Compare the full table of a store that was restored from a copy with the known rows.

        Args:
            rows: The rows of the restored store.
            lost: The known rows that the restored store lacks.

        Returns:
            The rows to apply at once: those that were not known to be removed.
        """
        now = monotonic()
        self._unconfirmed = {
            row.key: _UnconfirmedRow(None, now + self._retention_of(row.key).missing)
            for row in lost
        }
        for row in rows:
            if row.key in self._removed:
                self._unconfirmed[row.key] = _UnconfirmedRow(
                    row, now + self._retention_of(row.key).removed
                )
        return [row for row in rows if row.key not in self._removed]

    def record_full_table(self, rows: Sequence[Row], *, known: Mapping[str, Row]) -> dict[str, Row]:
        """Record a later read of the full table.

        Returns:
            The rows by key, where unconfirmed rows keep their known state.
        """
        present = {row.key: row for row in rows}
        self._unconfirmed = {
            key: unconfirmed
            for key, unconfirmed in self._unconfirmed.items()
            if present.get(key) == unconfirmed.store_row
        }
        for key, unconfirmed in self._unconfirmed.items():
            if unconfirmed.store_row is None:
                present[key] = known[key]
            else:
                del present[key]
        for key in known.keys() - present.keys():
            self._removed.record(key, None)
        for key in present:
            self._removed.pop(key, None)
        return present

    def expired(self) -> list[Change]:
        """Return the store's state of the rows whose retention period has passed."""
        now = monotonic()
        return [
            Removed(key) if unconfirmed.store_row is None else unconfirmed.store_row
            for key, unconfirmed in self._unconfirmed.items()
            if unconfirmed.until <= now
        ]
