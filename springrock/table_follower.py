"""Follows one table of the store, read by this box or told by another."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.eras import era_of, shown, version_in
from springrock.log import Condition, Log
from springrock.rows import (
    Change,
    HistoryGone,
    Removed,
    Row,
    RowStore,
    RowStoreUnavailable,
    TableListener,
    TableReading,
)
from springrock.store_clock import StoreClock
from springrock.unconfirmed_rows import RetentionPeriods, UnconfirmedRows

POLL_WAIT_S = 1.8
"""With the time for an answer it is under three seconds: so soon after a cut has healed silently a
box must know of it."""

_SHARED_POLL_WAIT_S = 0.5
"""Who reads for others asks again this often although nothing changed, so that they soon know
that it still reads."""

_SHARED_PAUSE_AT_MOST_S = 0.4
_TOLD_FRESH_S = 1.3
"""How long what another box read counts as fresh: a little more than its longest time between two
reads. With a read of the own after it, a change is known in under two seconds all the same, if the
store answers at once."""

_EXTRA_WAIT_S = 0.4
"""How much longer at most those wait who tell nobody, so that one who does reads first."""

_COPY_KEPT_S = 5.0
"""A store that tells less than a copy of another box for so long knows better: its reads may be a
few seconds behind, but the copy may be of another store."""

_FIRST_RETRY_S = 0.25
_LONGEST_RETRY_S = 1.0
_LONGEST_UNKNOWN_RETRY_S = 0.4
"""A box that knows nothing of a table yet serves nobody, and so asks more often."""


class TableFollower:
    """Keeps a listener up to date with one table, in a task of its own.

    Another box may tell what it reads of the same table; as long as it does, this one does not
    ask the store. What it told last must join what is known here, else it is passed over, and so
    is what tells less than is known, as the store may have come back from a copy.

    A store that did so is read whole. Its rows are taken, as those who wrote others write them
    again; what it lacks or has got back stays as it is known for a while.

    Args:
        store: The store.
        table: The name of the table.
        listener: Who learns of the rows.
        pause_s: How long changes are let gather between two reads.
        poll_wait_s: Returns how long the store is to wait for a change, where this box reads for
            itself.
        clock: The store's steady clock, shared by the followers of a box.
        eager: Whether changes are waited for at once after the whole table was read.
        kept_s: Returns how long what is known of a row outlasts a copy that the store came back
            from.
        log: The log to write to.

    Attributes:
        table: The name of the table.
        sharing: Says whether other boxes go by what this one learns.
        shared_with: Told of each reading while `sharing`, and whether it was this box's own.
        on_lost: Called with the rows that a store lacks that came back from a copy.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        listener: TableListener,
        *,
        pause_s: float,
        log: Log,
        poll_wait_s: Callable[[], float] = lambda: POLL_WAIT_S,
        clock: StoreClock | None = None,
        eager: bool = False,
        kept_s: Callable[[str], RetentionPeriods] = lambda key: RetentionPeriods(),
    ) -> None:
        self._unconfirmed = UnconfirmedRows(kept_s)
        self._whole_stands = False
        self._poll_wait_s = poll_wait_s
        self._clock = StoreClock() if clock is None else clock
        self._newest_at = float("-inf")
        self._rows: dict[str, Row] = {}
        self._copied = False
        self._less_since: float | None = None
        self._store = store
        self.table = table
        self._listener = listener
        self._pause_s = pause_s
        self._eager = eager
        self._version: int | None = None
        self._log = log
        self._unread = Condition(
            log, begins=f"Lost the table {table}.", ends=f"Regained the table {table}."
        )
        self._task: gevent.Greenlet[..., Any] | None = None
        self._reported_until = 0.0
        self._reported_by = ""
        self._behind = Condition(
            log,
            begins=f"Is told of the table {table} what is behind what is known.",
            ends=f"Is told of the table {table} what follows what is known.",
        )
        self._alone = Event()
        self.read_at: float | None = None
        self.sharing: Callable[[], bool] = lambda: False
        self.shared_with: Callable[[TableReading, bool], None] = lambda reading, is_own: None
        self.on_lost: Callable[[Sequence[Row]], None] = lambda rows: None

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

    @property
    def staleness_s(self) -> float:
        """Seconds since what is known was surely the newest; infinite if it never was.

        Unlike `age_s` it counts from before the store was asked, by whichever box asked it, so that
        no delay of an answer or of a message between boxes makes anything look newer than it is.
        """
        return monotonic() - self._newest_at

    @property
    def version(self) -> int:
        """The version up to which the table is known; 0 if it is not."""
        return self._version or 0

    @property
    def origin(self) -> dict[str, object]:
        """Where the newest of what is known comes from, as fields of a log line."""
        stale_s = self.staleness_s
        return {
            "table_version": shown(self.version),
            "told_by": self._reported_by,
            "table_stale_ms": round(1000 * stale_s) if math.isfinite(stale_s) else None,
        }

    def apply_reading(
        self, reading: TableReading, *, relied_on: bool = True, source_zone: str = ""
    ) -> None:
        """Learn what another box has read just now.

        Args:
            reading: What it read.
            source_zone: The zone whose placer's box told it, for logs.
            relied_on: Whether it will tell what follows, so that this box need not read. A box
                that the store does not answer relies on whoever tells.
        """
        if self._version is None:
            return
        if reading.after > self._version:
            if era_of(reading.after) > era_of(self._version):
                self.read_alone()
            return
        self._record_behind(reading, source_zone)
        if reading.version < self._version:
            return
        self._reported_by = source_zone
        self._apply(reading)
        self._record_newest(reading)
        self.read_at = monotonic()
        if relied_on or self._unread.holds:
            extra_wait_s = 0.0 if self.sharing() else random.uniform(0.5, 1.0) * _EXTRA_WAIT_S
            self._reported_until = self.read_at + _TOLD_FRESH_S + extra_wait_s
        if self.sharing():
            self.shared_with(reading, False)

    @property
    def unread(self) -> bool:
        """Whether the store did not answer the last read."""
        return self._unread.holds

    @property
    def is_known(self) -> bool:
        """Whether the whole table is known, from the store or another box."""
        return self._version is not None

    def known(self) -> TableReading | None:
        """Return the whole table as it is known; None if it is not."""
        if self._version is None:
            return None
        rows = [self._in_era(row) for row in self._rows.values()]
        return TableReading(self.table, 0, self._version, rows, whole=True)

    def _in_era(self, row: Row) -> Row:
        """Return a row as others are told of it; one of an earlier era is older than all."""
        era = era_of(self.version)
        return row if era_of(row.version) == era else row._replace(version=version_in(era, 0))

    def apply_copy(self, reading: TableReading, *, newest_at: float) -> None:
        """Learn the whole table from another box, as old as it may be; never what is older.

        Args:
            reading: The whole table.
            newest_at: When it was surely the newest, on the local monotonic clock.
        """
        if reading.version < (self._version or 0):
            return
        self._copied = self._copied or self._version != reading.version
        self._apply(reading)
        self._newest_at = max(self._newest_at, newest_at)
        self.read_at = newest_at if self.read_at is None else max(self.read_at, newest_at)

    def read_alone(self) -> None:
        """Read the store at once, as nobody tells any more."""
        self._reported_until = 0.0
        self._alone.set()

    def _follow(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            reported_s = self._reported_until - monotonic()
            if reported_s > 0:
                self._alone.clear()
                self._alone.wait(timeout=reported_s)
                continue
            try:
                was_known = self._version is not None
                self._step()
                self.read_at = monotonic()
                self._unread.end()
                retry_s = _FIRST_RETRY_S
                if was_known or not self._eager:
                    gevent.sleep(self._pause_now_s())
            except HistoryGone:
                self._whole_stands = True
            except RowStoreUnavailable as error:
                self._unread.begin(error=str(error), age_s=round(self.age_s, 1))
                gevent.sleep(retry_s * random.uniform(0.8, 1.0))
                is_known = self._version is not None
                longest_s = _LONGEST_RETRY_S if is_known else _LONGEST_UNKNOWN_RETRY_S
                retry_s = min(longest_s, retry_s * 1.5)

    def _step(self) -> None:
        asked_at = monotonic()
        reading, store_s = self._read()
        if self._copied and not self._replaces_copy(reading):
            return
        self._check_era(reading)
        if store_s is not None:
            era = era_of(reading.version)
            self._clock.record(store_s, sent_at=asked_at, received_at=monotonic(), era=era)
        self._reported_by = ""
        self._apply(reading)
        self._whole_stands = False
        self._newest_at = max(self._newest_at, asked_at)
        if self.sharing():
            as_of_s = self._clock.earliest_store(asked_at)
            self.shared_with(reading._replace(as_of_s=as_of_s), True)

    def _read(self) -> tuple[TableReading, float | None]:
        """Ask the store; return what it told, and its clock."""
        after = self._version
        if after is None or self._copied or self._whole_stands:
            # The store itself has never told this box a whole table.
            snapshot = self._store.read_all(self.table)
            whole = TableReading(self.table, 0, snapshot.version, snapshot.rows, whole=True)
            return whole, snapshot.store_s
        wait_s = _SHARED_POLL_WAIT_S if self.sharing() else self._poll_wait_s()
        read = self._store.changes(self.table, after=after, wait_s=wait_s)
        changes = _without_overtaken_removals(read.changes)
        return TableReading(self.table, after, read.version, changes), read.store_s

    def _replaces_copy(self, reading: TableReading) -> bool:
        """Whether the store's first word is taken in place of what another box told."""
        known = self._version or 0
        now = monotonic()
        if reading.version < known:
            self._less_since = now if self._less_since is None else self._less_since
            if now - self._less_since < _COPY_KEPT_S:
                return False
            self._log.say(
                "The store tells less than another box did.",
                table=self.table,
                version=shown(reading.version),
                told=shown(known),
            )
            self._version = None
        self._copied = False
        self._whole_stands = True
        return True

    def _record_behind(self, reading: TableReading, source_zone: str) -> None:
        """Say when a box tells less than is known, and when it no longer does."""
        if reading.version < self.version:
            self._behind.begin(
                teller=source_zone, told=shown(reading.version), known=shown(self.version)
            )
        else:
            self._behind.end(
                teller=source_zone, told=shown(reading.version), known=shown(self.version)
            )

    def _record_newest(self, reading: TableReading) -> None:
        """Learn up to when what another box has read was the newest."""
        if reading.as_of_s is None:
            return
        newest_at = self._clock.earliest_local(reading.as_of_s, era=era_of(reading.version))
        if newest_at is not None and newest_at <= monotonic():
            self._newest_at = max(self._newest_at, newest_at)

    def _check_era(self, reading: TableReading) -> None:
        """Raise `RowStoreUnavailable` if a reading is of an earlier era than what is known."""
        if era_of(reading.version) < era_of(self.version):
            raise RowStoreUnavailable(
                f"the store tells version {shown(reading.version)}, known is {shown(self.version)}"
            )

    def _apply(self, reading: TableReading) -> None:
        """Hand on what is newer than what is known."""
        if reading.whole:
            self._apply_full_table(reading)
        else:
            self._apply_changes(reading)
        for change in self._unconfirmed.expired():
            self._apply_change(change)

    def _apply_full_table(self, reading: TableReading) -> None:
        known = self._version
        rows = [row for row in reading.changes if isinstance(row, Row)]
        if known is not None and era_of(reading.version) > era_of(known):
            self._apply_restored_table(rows, version=reading.version)
        elif known is None or reading.version > known or self._whole_stands:
            self._replace(rows)
        else:
            return
        self._version = reading.version

    def _replace(self, rows: Sequence[Row]) -> None:
        self._rows = self._unconfirmed.record_full_table(rows, known=self._rows)
        self._listener.replace(list(self._rows.values()))

    def _apply_changes(self, reading: TableReading) -> None:
        known = self.version
        for change in reading.changes:
            if not change.version or change.version > known:
                self._apply_change(change)
        self._version = max(known, reading.version)

    def _apply_change(self, change: Change) -> None:
        self._unconfirmed.record_applied(change)
        match change:
            case Row(key=key):
                self._rows[key] = change
                self._listener.change(change)
            case Removed(key=key):
                self._rows.pop(key, None)
                self._listener.remove(key)

    def _apply_restored_table(self, rows: Sequence[Row], *, version: int) -> None:
        """Take the whole table of a store that came back from a copy."""
        reported = {row.key for row in rows}
        lost = [row for key, row in self._rows.items() if key not in reported]
        for row in self._unconfirmed.apply_restored_table(rows, lost=lost):
            self._apply_change(row)
        self._log.say(
            "The store came back from a copy.",
            table=self.table,
            version=shown(version),
            known=shown(self.version),
            lost=len(lost),
            doubted=len(self._unconfirmed),
            told_by=self._reported_by,
        )
        self.on_lost(lost)

    def _pause_now_s(self) -> float:
        return min(self._pause_s, _SHARED_PAUSE_AT_MOST_S) if self.sharing() else self._pause_s


def _without_overtaken_removals(changes: Sequence[Change]) -> list[Change]:
    """Leave out each removal of a row that was put again afterwards, as if it had stayed."""
    put_last_at = {change.key: at for at, change in enumerate(changes) if isinstance(change, Row)}
    return [
        change
        for at, change in enumerate(changes)
        if isinstance(change, Row) or put_last_at.get(change.key, -1) < at
    ]
