"""The placers' rows of all zones, as last read of the store or told by a box that reads it."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gevent.event import Event

from springrock.eras import era_of
from springrock.placement.placer_row import PlacerRow, placer_row_from
from springrock.placement.succession import Successor
from springrock.rows import Row, RowStoreUnavailable

_STALE_S = 3.0
"""A reading older than this proves nothing any more: a read takes at most 2.6 s while the store
answers, the wait for a change included, and leases are renewed more often than that."""


class PlacerBoard:
    """Implements `springrock.rows.TableListener`; the election of each zone goes by it.

    Args:
        age_s: Returns the seconds since the rows were last known to be current.
        version: Returns the version up to which they are known.
    """

    def __init__(
        self, *, age_s: Callable[[], float], version: Callable[[], int] = lambda: 0
    ) -> None:
        self._age_s = age_s
        self._version = version
        self._rows: dict[str, Row] = {}
        self._successors: dict[str, Successor] = {}
        self._updates: dict[str, Event] = {}
        self._known = Event()

    def current_row(self, key: str) -> Row | None:
        """Return a row; None if there is none.

        Raises:
            RowStoreUnavailable: If nothing current is known.
        """
        self._event(key).clear()
        age_s = self._age_s()
        if age_s > _STALE_S:
            raise RowStoreUnavailable(f"the placers' rows were last read {age_s:.1f} s ago")
        return self._rows.get(key)

    @property
    def era(self) -> int:
        """The store's era of the rows."""
        return era_of(self._version())

    def holder(self, key: str) -> PlacerRow | Successor | None:
        """Return who was last known to place; None if nobody was.

        That may be long ago: whoever is asked for a link knows whether it still places.
        """
        row = self._rows.get(key)
        existing = None if row is None else placer_row_from(row)
        successor = self._successors.get(key)
        if successor is not None and (existing is None or successor.follows(existing)):
            return successor
        return existing if existing is not None and existing.incarnation else None

    def record_successor(self, key: str, successor: Successor) -> None:
        """Learn that a placer has handed its role over; what is older is passed over."""
        known = self._successors.get(key)
        if known is None or successor.fence > known.fence:
            self._successors[key] = successor
            self._event(key).set()

    def successors(self) -> list[tuple[str, Successor]]:
        """Return who goes on in the stead of a placer, each with the key of the placer's row."""
        return list(self._successors.items())

    def wait(self, key: str, *, timeout_s: float) -> None:
        """Wait until a row changes that `current_row` has returned, or the time is over."""
        self._event(key).wait(timeout=timeout_s)

    @property
    def known(self) -> bool:
        """Whether the rows were read at least once."""
        return self._known.is_set()

    def wait_known(self) -> None:
        """Wait until the rows were read for the first time."""
        self._known.wait()

    def boxes(self) -> set[str]:
        """Return the boxes that hold a lease, as far as is known."""
        decoded = (placer_row_from(row) for row in self._rows.values())
        return {row.box for row in decoded if row is not None and row.incarnation}

    def record(self, row: Row) -> None:
        """Learn of a row that is perhaps newer than what was read, as from a failed write."""
        known = self._rows.get(row.key)
        if known is None or row.version > known.version:
            self._rows[row.key] = row
            self._event(row.key).set()

    # What was read of the table.

    def replace(self, rows: Sequence[Row]) -> None:
        """Take the whole table."""
        self._rows = {row.key: row for row in rows}
        self._known.set()
        for event in self._updates.values():
            event.set()

    def change(self, row: Row) -> None:
        """Take a new or changed row."""
        self.record(row)

    def remove(self, key: str) -> None:
        """Learn that a row is gone."""
        self._rows.pop(key, None)
        self._event(key).set()

    def _event(self, key: str) -> Event:
        return self._updates.setdefault(key, Event())
