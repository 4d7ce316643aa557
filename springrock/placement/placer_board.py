"""The placer rows of all zones, as last read from the store or received from another box."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gevent.event import Event

from springrock.eras import era_of
from springrock.placement.placer_row import PlacerRow, placer_row_from
from springrock.placement.succession import Successor
from springrock.rows import Row, RowStoreUnavailable

_STALE_S = 3.0
"""Age from which a reading is treated as outdated. A read takes at most 2.6 s while the store
answers, including the wait for a change, and leases are renewed more often than that."""


class PlacerBoard:
    """The last known placer rows, on which the election of each zone is based.

    Implements `springrock.rows.TableListener`.

    Args:
        age_s: Returns the seconds since the rows were last known to be current.
        version: Returns the version of the store up to which the rows are known.
    """

    def __init__(
        self, *, age_s: Callable[[], float], version: Callable[[], int] = lambda: 0
    ) -> None:
        self._age_s = age_s
        self._version = version
        self._rows: dict[str, Row] = {}
        self._successors: dict[str, Successor] = {}
        self._ended_fences: dict[str, int] = {}
        self._updates: dict[str, Event] = {}
        self._known = Event()

    def current_row(self, key: str) -> Row | None:
        """Return a row; None if there is none.

        Raises:
            RowStoreUnavailable: If the rows were not read recently enough.
        """
        self._update_event(key).clear()
        age_s = self._age_s()
        if age_s > _STALE_S:
            raise RowStoreUnavailable(f"the placers' rows were last read {age_s:.1f} s ago")
        return self._rows.get(key)

    @property
    def era(self) -> int:
        """The era of the store that the rows were read in."""
        return era_of(self._version())

    def holder(self, key: str) -> PlacerRow | Successor | None:
        """Return the last known placer of a row; None if there is none.

        It may be outdated: a box that is no longer the placer rejects links.
        """
        row = self._rows.get(key)
        existing = None if row is None else placer_row_from(row)
        successor = self._successors.get(key)
        if successor is not None and (existing is None or successor.continues_lease_of(existing)):
            return successor
        return existing if existing is not None and existing.incarnation else None

    def record_successor(self, key: str, successor: Successor) -> None:
        """Record the handover of a placer's lease; an older handover is ignored."""
        known = self._successors.get(key)
        newest_fence = self._ended_fences.get(key, -1) if known is None else known.fence
        if successor.fence > newest_fence:
            self._successors[key] = successor
            self._update_event(key).set()

    def successors(self) -> list[tuple[str, Successor]]:
        """Return the boxes to which leases were handed over, each with the key of the row."""
        return list(self._successors.items())

    def wait(self, key: str, *, timeout_s: float) -> None:
        """Wait until a row changes since `current_row` returned it, or until the timeout."""
        self._update_event(key).wait(timeout=timeout_s)

    @property
    def known(self) -> bool:
        """Whether the rows have been read at least once."""
        return self._known.is_set()

    def wait_known(self) -> None:
        """Wait until the rows have been read for the first time."""
        self._known.wait()

    def rows(self) -> list[PlacerRow]:
        """Return the last known rows, also of placers that are gone."""
        decoded = (placer_row_from(row) for row in self._rows.values())
        return [row for row in decoded if row is not None]

    def boxes(self) -> set[str]:
        """Return the boxes that are known to hold a lease."""
        return {row.box for row in self.rows() if row.incarnation}

    def record(self, row: Row) -> None:
        """Record a row that may be newer than the last reading, as from a failed write."""
        known = self._rows.get(row.key)
        if known is None or row.version > known.version:
            self._rows[row.key] = row
            self._end_handover(row)
            self._update_event(row.key).set()

    # Implementation of `TableListener`.

    def replace(self, rows: Sequence[Row]) -> None:
        """Replace all rows with those of a full reading."""
        self._rows = {row.key: row for row in rows}
        for row in rows:
            self._end_handover(row)
        self._known.set()
        for event in self._updates.values():
            event.set()

    def change(self, row: Row) -> None:
        """Apply a new or changed row."""
        self.record(row)

    def remove(self, key: str) -> None:
        """Apply the removal of a row."""
        self._rows.pop(key, None)
        self._update_event(key).set()

    def _end_handover(self, row: Row) -> None:
        """Forget the successor of a lease once a later one was acquired.

        A box that handed the lease over may acquire it again later.
        """
        decoded = placer_row_from(row)
        successor = self._successors.get(row.key)
        if decoded is None or successor is None or successor.continues_lease_of(decoded):
            return
        del self._successors[row.key]
        self._ended_fences[row.key] = successor.fence

    def _update_event(self, key: str) -> Event:
        return self._updates.setdefault(key, Event())
