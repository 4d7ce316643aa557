"""A store of versioned rows, as this package needs one, and a follower of one of its tables."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

import gevent

from springrock.clock import monotonic
from springrock.errors import SpringrockError
from springrock.log import Condition, Log

_POLL_WAIT_S = 1.8
"""With the time for an answer it is under three seconds: so soon after a cut has healed silently a
box must know of it."""

_FIRST_RETRY_S = 0.25
_LONGEST_RETRY_S = 1.0

ABSENT_VERSION = 0
"""The expected version of a row that must not exist."""


class RowStoreError(SpringrockError):
    """A call to the store that did not do what was asked."""


class RowStoreUnavailable(RowStoreError):
    """No usable answer came; a write may or may not have taken effect."""


class RowConflict(RowStoreError):
    """A conditional write whose expectation did not hold; nothing was written.

    Args:
        row: The row as it stands, or None if there is none.
    """

    def __init__(self, row: Row | None) -> None:
        self.row = row
        super().__init__("the row was changed meanwhile")


class HistoryGone(RowStoreError):
    """The changes asked for are no longer kept; the table must be read whole."""


class Row(NamedTuple):
    """One row of a table.

    Attributes:
        version: From one counter of the store, which rises with each transaction.
    """

    key: str
    value: bytes
    version: int


class Removed(NamedTuple):
    """Tells that a row was removed."""

    key: str


Change = Row | Removed


class Snapshot(NamedTuple):
    """All rows of a table as of one moment.

    Attributes:
        version: Where to go on from with the changes.
    """

    rows: Sequence[Row]
    version: int


class Changes(NamedTuple):
    """What changed in a table, in order; a row may change more than once.

    Attributes:
        version: Where to go on from.
    """

    changes: Sequence[Change]
    version: int


class RowStore(Protocol):
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

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return its new one.

        Raises:
            RowConflict: If it has another version.
            RowStoreUnavailable: If no answer came; the write may take effect, even later.
        """


class TableListener(Protocol):
    """Learns what stands in a table."""

    def replace(self, rows: Sequence[Row]) -> None:
        """Take the whole table."""

    def change(self, row: Row) -> None:
        """Take a new or changed row."""

    def remove(self, key: str) -> None:
        """Learn that a row is gone."""


class TableFollower:
    """Keeps a listener up to date with one table, in a task of its own.

    Args:
        store: The store.
        table: The name of the table.
        listener: Who learns of the rows.
        pause_s: How long changes are let gather between two reads.
        log: The log to write to.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        listener: TableListener,
        *,
        pause_s: float,
        log: Log,
    ) -> None:
        self._store = store
        self._table = table
        self._listener = listener
        self._pause_s = pause_s
        self._version: int | None = None
        self._unread = Condition(
            log, begins=f"Lost the table {table}.", ends=f"Regained the table {table}."
        )
        self._task: gevent.Greenlet[..., Any] | None = None
        self.read_at: float | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.kill()

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered; infinite before the first time."""
        return float("inf") if self.read_at is None else monotonic() - self.read_at

    def _follow(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                self._step()
                self.read_at = monotonic()
                self._unread.end()
                retry_s = _FIRST_RETRY_S
                gevent.sleep(self._pause_s)
            except HistoryGone:
                self._version = None
            except RowStoreUnavailable as error:
                self._unread.begin(error=str(error), age_s=round(self.age_s, 1))
                gevent.sleep(retry_s * random.uniform(0.8, 1.0))
                retry_s = min(_LONGEST_RETRY_S, retry_s * 1.5)

    def _step(self) -> None:
        if self._version is None:
            whole = self._store.read_all(self._table)
            self._listener.replace(whole.rows)
            self._version = whole.version
            return
        changes = self._store.changes(self._table, after=self._version, wait_s=_POLL_WAIT_S)
        for change in _without_overtaken_removals(changes.changes):
            match change:
                case Row():
                    self._listener.change(change)
                case Removed(key=key):
                    self._listener.remove(key)
        self._version = changes.version


def _without_overtaken_removals(changes: Sequence[Change]) -> list[Change]:
    """Leave out each removal of a row that was put again afterwards, as if it had stayed."""
    put_last_at = {change.key: at for at, change in enumerate(changes) if isinstance(change, Row)}
    return [
        change
        for at, change in enumerate(changes)
        if isinstance(change, Row) or put_last_at.get(change.key, -1) < at
    ]
