"""Rows that a store tells otherwise than they are known, as it came back from a copy."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.remembered import Remembered
from springrock.rows import Change, Removed, Row

_REMOVED_KEPT = 2_000
"""So many removed rows of a table are remembered."""


class RetentionPeriods(NamedTuple):
    """How long what is known of a row outlasts a store that came back from a copy without it.

    Attributes:
        missing: A row that the copy lacks: removed before, or not written again yet.
        removed: The removal of a row that the copy has: undone by it, or put again since.
    """

    missing: float = 0.0
    removed: float = 0.0


class _UnconfirmedRow(NamedTuple):
    """What the store tells of a row.

    Attributes:
        reported: The row; None if there is none.
        until: When the store's word is taken, on the local monotonic clock.
    """

    reported: Row | None
    until: float


class UnconfirmedRows:
    """Knows for how long which rows of a table stay as they were known.

    Args:
        kept_s: Returns how long what is known of a row outlasts a copy.
    """

    def __init__(self, kept_s: Callable[[str], RetentionPeriods]) -> None:
        self._kept_s = kept_s
        self._unconfirmed: dict[str, _UnconfirmedRow] = {}
        self._removed: Remembered[None] = Remembered(at_most=_REMOVED_KEPT)

    def __len__(self) -> int:
        return len(self._unconfirmed)

    def record_applied(self, change: Change) -> None:
        """Learn what counts for a row from now on."""
        self._unconfirmed.pop(change.key, None)
        if isinstance(change, Removed):
            self._removed.record(change.key, None)
        else:
            self._removed.pop(change.key, None)

    def apply_restored_table(self, rows: Sequence[Row], *, lost: Sequence[Row]) -> list[Row]:
        """Learn the whole table of a store that came back from a copy.

        Args:
            rows: What it has.
            lost: What is known that it lacks.

        Returns:
            The rows that count at once.
        """
        now = monotonic()
        self._unconfirmed = {
            row.key: _UnconfirmedRow(None, now + self._kept_s(row.key).missing) for row in lost
        }
        for row in rows:
            if row.key in self._removed:
                self._unconfirmed[row.key] = _UnconfirmedRow(
                    row, now + self._kept_s(row.key).removed
                )
        return [row for row in rows if row.key not in self._removed]

    def record_full_table(self, rows: Sequence[Row], *, known: Mapping[str, Row]) -> dict[str, Row]:
        """Learn the whole table once more; return it but for what stays as it is known."""
        present = {row.key: row for row in rows}
        self._unconfirmed = {
            key: unconfirmed
            for key, unconfirmed in self._unconfirmed.items()
            if present.get(key) == unconfirmed.reported
        }
        for key, unconfirmed in self._unconfirmed.items():
            if unconfirmed.reported is None:
                present[key] = known[key]
            else:
                del present[key]
        for key in known.keys() - present.keys():
            self._removed.record(key, None)
        for key in present:
            self._removed.pop(key, None)
        return present

    def expired(self) -> list[Change]:
        """Return what the store tells of rows that nobody has written again in time."""
        now = monotonic()
        return [
            Removed(key) if unconfirmed.reported is None else unconfirmed.reported
            for key, unconfirmed in self._unconfirmed.items()
            if unconfirmed.until <= now
        ]
