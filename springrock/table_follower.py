"""Follows one table of the store, by own reads or by readings that another box publishes."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.eras import era_of, format_version, version_in
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
from springrock.shared_read import SharedRead
from springrock.store_clock import StoreClock
from springrock.unconfirmed_rows import RetentionPeriods, UnconfirmedRows

POLL_WAIT_S = 1.8
"""How long the store may hold a poll open. With the time for its answer this is under three
seconds, the bound on how long after the end of a network cut, which may close no connection, a box
may not know the current table."""

_PUBLISHER_POLL_WAIT_S = 0.5
"""How long the store may hold a poll of a publishing box open. Other boxes rely on its readings, so
it publishes one at least this often even without changes, to show that it still reads."""

_PUBLISHER_MAX_PAUSE_S = 0.4
"""Upper limit on the pause between the reads of a publishing box."""

_PEER_READING_VALID_S = 1.3
"""How long this box skips its own reads after a reading from another box: a little more than the
longest time between two reads of that box. With an own read afterwards, a change is still known in
under two seconds, if the store answers at once."""

_PEER_READING_MAX_AGE_S = 1.8
"""How long after it was made a reading from another box is relied on at most. A poll of a
publishing box may take up to its wait; a reading that is older on arrival was delayed."""

_MAX_EXTRA_WAIT_S = 0.4
"""Upper limit on the extra wait of boxes that do not publish, so that a publishing box reads
first."""

_COPY_RETENTION_S = 5.0
"""If the store returns an older version than a copy from another box for this long, the copy is
dropped. Reads of the store may be a few seconds behind, but the copy may be of another store."""

_FIRST_RETRY_S = 0.25
_MAX_RETRY_S = 1.0
_REFRESH_RETRY_S = 1.0
"""For how long after a failed read the table is not read on demand, so that nobody waits for it."""

_MAX_UNKNOWN_TABLE_RETRY_S = 0.4
"""A box that does not know a table yet cannot serve requests, and so retries more often."""


class TableFollower:
    """Keeps a listener up to date with one table, in its own task.

    Another box may send its readings of the same table. As long as it does, this one does not read
    the store. A reading is ignored if it starts after the known version, so that changes between
    them are missing, or if it is older than that, as it may be after the store was restored from a
    copy.

    After a restore the full table is read. Its rows are applied at once, as the writers of newer
    values write these again. Two kinds of rows keep their known state for a retention period: rows
    that the copy lacks, and rows in the copy that are known to be removed.

    Args:
        store: The store.
        table: The name of the table.
        listener: Receives the rows.
        pause_s: Pause between two reads, so that changes are batched.
        poll_wait_s: Returns how long the store should wait for a change, while this box does not
            publish its readings.
        clock: The store's steady clock, shared by the followers of a box.
        skip_first_pause: Whether to read changes without a pause after the first full read.
        retention_of: Returns how long the known state of the row with a key is kept after the
            store was restored from a copy.
        log: The log to write to.

    Attributes:
        table: The name of the table.
        publishes: Returns whether this box publishes its readings to other boxes.
        publisher: Called with each reading while `publishes` returns true, and with whether this
            box read it from the store itself.
        on_lost: Called with the known rows that a store restored from a copy lacks.
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
        skip_first_pause: bool = False,
        retention_of: Callable[[str], RetentionPeriods] = lambda key: RetentionPeriods(),
    ) -> None:
        self._unconfirmed = UnconfirmedRows(retention_of)
        self._full_read_due = False
        self._poll_wait_s = poll_wait_s
        self._clock = StoreClock() if clock is None else clock
        self._newest_at = float("-inf")
        self._rows: dict[str, Row] = {}
        self._is_peer_copy = False
        self._store_behind_since: float | None = None
        self._store = store
        self.table = table
        self._listener = listener
        self._pause_s = pause_s
        self._skip_first_pause = skip_first_pause
        self._version: int | None = None
        self._log = log
        self._read_failing = Condition(
            log, begins=f"Lost the table {table}.", ends=f"Regained the table {table}."
        )
        self._task: gevent.Greenlet[..., Any] | None = None
        self._skip_reads_until = 0.0
        self._source_zone = ""
        self._peer_behind = Condition(
            log,
            begins=f"Another box sends older versions of the table {table} than the known one.",
            ends=f"Another box sends current versions of the table {table} again.",
        )
        self._resume_reads = Event()
        self._read_on_demand = SharedRead(self._read_now)
        self._failed_at = float("-inf")
        self.read_at: float | None = None
        self.publishes: Callable[[], bool] = lambda: False
        self.publisher: Callable[[TableReading, bool], None] = lambda reading, is_own: None
        self.on_lost: Callable[[Sequence[Row]], None] = lambda rows: None

    def start(self) -> None:
        """Start following the table."""
        self._task = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.kill()

    @property
    def age_s(self) -> float:
        """Seconds since the last reading, own or another box's; infinite before the first."""
        return float("inf") if self.read_at is None else monotonic() - self.read_at

    @property
    def staleness_s(self) -> float:
        """Upper bound on the age of the known table in seconds; infinite if unknown.

        Unlike `age_s` it counts from before the read was sent to the store, by this box or another,
        so that a delayed answer or message never makes the table look newer than it is.
        """
        return monotonic() - self._newest_at

    @property
    def version(self) -> int:
        """The version of the known table; 0 if none is known."""
        return self._version or 0

    @property
    def origin(self) -> dict[str, object]:
        """The version, source and age of the known table, as fields of a log line."""
        stale_s = self.staleness_s
        return {
            "table_version": format_version(self.version),
            "told_by": self._source_zone,
            "table_stale_ms": round(1000 * stale_s) if math.isfinite(stale_s) else None,
        }

    def apply_reading(
        self, reading: TableReading, *, relied_on: bool = True, source_zone: str = ""
    ) -> None:
        """Apply a reading that another box has just made.

        Args:
            reading: The reading.
            relied_on: Whether that box will also send the following readings, so that this one need
                not read. A box that the store does not answer relies on any sender.
            source_zone: The zone whose placer's box sent the reading, for logs.
        """
        if self._version is None:
            return
        if reading.after > self._version:
            if era_of(reading.after) > era_of(self._version):
                self.resume_reads()
            return
        self._log_if_behind(reading, source_zone)
        if reading.version < self._version:
            return
        self._source_zone = source_zone
        self._apply(reading)
        made_at = self._local_time_of(reading)
        if made_at is not None:
            self._newest_at = max(self._newest_at, made_at)
        self.read_at = monotonic()
        if relied_on or self._read_failing.holds:
            self._skip_reads(made_at, received_at=self.read_at)
        if self.publishes():
            self.publisher(reading, False)

    def _skip_reads(self, made_at: float | None, *, received_at: float) -> None:
        """Skip own reads for a time after a reading from another box, made at a local time."""
        valid_until = received_at + _PEER_READING_VALID_S
        if made_at is not None:
            valid_until = min(valid_until, made_at + _PEER_READING_MAX_AGE_S)
        extra_wait_s = 0.0 if self.publishes() else random.uniform(0.5, 1.0) * _MAX_EXTRA_WAIT_S
        self._skip_reads_until = valid_until + extra_wait_s

    @property
    def last_read_failed(self) -> bool:
        """Whether the store did not answer the last read."""
        return self._read_failing.holds

    @property
    def is_known(self) -> bool:
        """Whether the full table is known, from the store or another box."""
        return self._version is not None

    def full_reading(self) -> TableReading | None:
        """Return the known table in full; None if it is not known."""
        if self._version is None:
            return None
        rows = [self._in_era(row) for row in self._rows.values()]
        return TableReading(self.table, 0, self._version, rows, is_full_table=True)

    def _in_era(self, row: Row) -> Row:
        """Return a row with a version of the current era: number 0 for a row of an earlier era."""
        era = era_of(self.version)
        return row if era_of(row.version) == era else row._replace(version=version_in(era, 0))

    def apply_copy(self, reading: TableReading, *, newest_at: float) -> None:
        """Apply a copy of the full table from another box, unless it is older than the known one.

        Args:
            reading: The full table.
            newest_at: A time on the local monotonic clock at which the copy was up to date.
        """
        if reading.version < (self._version or 0):
            return
        self._is_peer_copy = self._is_peer_copy or self._version != reading.version
        self._apply(reading)
        self._newest_at = max(self._newest_at, newest_at)
        self.read_at = newest_at if self.read_at is None else max(self.read_at, newest_at)

    def refresh(self, *, timeout_s: float) -> bool:
        """Bring the table up to date, unless a read has failed lately.

        Args:
            timeout_s: How long to wait for the store.

        Returns:
            Whether all that was written before this call is known.
        """
        called_at = monotonic()
        if self.is_known and called_at - self._failed_at >= _REFRESH_RETRY_S:
            self._read_on_demand.wait(timeout_s=timeout_s)
        return self._newest_at >= called_at

    def _read_now(self) -> None:
        """Read the store without waiting for a change; the regular reads deal with its errors."""
        try:
            self._read_and_apply(wait_s=0.0)
        except HistoryGone:
            return
        except RowStoreUnavailable:
            self._failed_at = monotonic()
            return
        self.read_at = monotonic()

    def resume_reads(self) -> None:
        """Read the store again at once, as no other box sends readings any more."""
        self._skip_reads_until = 0.0
        self._resume_reads.set()

    def _follow(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            skip_s = self._skip_reads_until - monotonic()
            if skip_s > 0:
                self._resume_reads.clear()
                self._resume_reads.wait(timeout=skip_s)
                continue
            try:
                was_known = self._version is not None
                self._read_and_apply()
                self.read_at = monotonic()
                self._read_failing.end()
                retry_s = _FIRST_RETRY_S
                if was_known or not self._skip_first_pause:
                    gevent.sleep(self._current_pause_s())
            except HistoryGone:
                self._full_read_due = True
            except RowStoreUnavailable as error:
                self._failed_at = monotonic()
                self._read_failing.begin(error=str(error), age_s=round(self.age_s, 1))
                gevent.sleep(retry_s * random.uniform(0.8, 1.0))
                is_known = self._version is not None
                max_retry_s = _MAX_RETRY_S if is_known else _MAX_UNKNOWN_TABLE_RETRY_S
                retry_s = min(max_retry_s, retry_s * 1.5)

    def _read_and_apply(self, *, wait_s: float | None = None) -> None:
        """Read the store, which waits for a change for as long as usual unless given."""
        sent_at = monotonic()
        reading, store_s = self._read(wait_s=self._poll_length_s() if wait_s is None else wait_s)
        if self._is_peer_copy and not self._may_replace_copy(reading):
            return
        self._reject_earlier_era(reading)
        if store_s is not None:
            era = era_of(reading.version)
            self._clock.record(store_s, sent_at=sent_at, received_at=monotonic(), era=era)
        self._source_zone = ""
        self._apply(reading)
        self._full_read_due = False
        self._newest_at = max(self._newest_at, sent_at)
        if self.publishes():
            as_of_s = self._clock.earliest_store(sent_at)
            self.publisher(reading._replace(as_of_s=as_of_s), True)

    def _read(self, *, wait_s: float) -> tuple[TableReading, float | None]:
        """Read the store; return the reading, and the time on the store's clock if it gave one."""
        after = self._version
        if after is None or self._is_peer_copy or self._full_read_due:
            # No usable full table has been read from the store itself.
            snapshot = self._store.read_all(self.table)
            reading = TableReading(
                self.table, 0, snapshot.version, snapshot.rows, is_full_table=True
            )
            return reading, snapshot.store_s
        read = self._store.changes(self.table, after=after, wait_s=wait_s)
        changes = _without_overtaken_removals(read.changes)
        return TableReading(self.table, after, read.version, changes), read.store_s

    def _may_replace_copy(self, reading: TableReading) -> bool:
        """Whether the store's first reading is applied in place of a copy from another box."""
        known = self._version or 0
        now = monotonic()
        if reading.version < known:
            self._store_behind_since = (
                now if self._store_behind_since is None else self._store_behind_since
            )
            if now - self._store_behind_since < _COPY_RETENTION_S:
                return False
            self._log.info(
                "The store has an older version than the copy from another box.",
                table=self.table,
                version=format_version(reading.version),
                copied=format_version(known),
            )
            self._version = None
        self._is_peer_copy = False
        self._full_read_due = True
        return True

    def _log_if_behind(self, reading: TableReading, source_zone: str) -> None:
        """Log when readings of another box begin and cease to be older than the known table."""
        if reading.version < self.version:
            self._peer_behind.begin(
                source_zone=source_zone,
                reported=format_version(reading.version),
                known=format_version(self.version),
            )
        else:
            self._peer_behind.end(
                source_zone=source_zone,
                reported=format_version(reading.version),
                known=format_version(self.version),
            )

    def _local_time_of(self, reading: TableReading) -> float | None:
        """Return the earliest local time at which another box's reading was made, if known."""
        if reading.as_of_s is None:
            return None
        made_at = self._clock.earliest_local(reading.as_of_s, era=era_of(reading.version))
        return made_at if made_at is not None and made_at <= monotonic() else None

    def _reject_earlier_era(self, reading: TableReading) -> None:
        """Raise `RowStoreUnavailable` if a reading is of an earlier era than the known table."""
        if era_of(reading.version) < era_of(self.version):
            raise RowStoreUnavailable(
                f"the store has version {format_version(reading.version)},"
                f" known is {format_version(self.version)}"
            )

    def _apply(self, reading: TableReading) -> None:
        """Apply the changes that are newer than the known table, and expired unconfirmed rows."""
        if reading.is_full_table:
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
        elif known is None or reading.version > known or self._full_read_due:
            self._replace(rows)
        else:
            return
        self._version = reading.version

    def _replace(self, rows: Sequence[Row]) -> None:
        self._rows = self._unconfirmed.record_full_table(rows, known=self._rows)
        self._listener.replace(list(self._rows.values()))

    def _apply_changes(self, reading: TableReading) -> None:
        known = self.version
        if reading.version < known:
            # Another read that was sent later has overtaken this one.
            return
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
        """Apply the full table of a store that was restored from a copy."""
        present = {row.key for row in rows}
        lost = [row for key, row in self._rows.items() if key not in present]
        for row in self._unconfirmed.apply_restored_table(rows, lost=lost):
            self._apply_change(row)
        self._log.info(
            "The store was restored from a copy.",
            table=self.table,
            version=format_version(version),
            known=format_version(self.version),
            lost=len(lost),
            unconfirmed=len(self._unconfirmed),
            told_by=self._source_zone,
        )
        self.on_lost(lost)

    def _poll_length_s(self) -> float:
        return _PUBLISHER_POLL_WAIT_S if self.publishes() else self._poll_wait_s()

    def _current_pause_s(self) -> float:
        return min(self._pause_s, _PUBLISHER_MAX_PAUSE_S) if self.publishes() else self._pause_s


def _without_overtaken_removals(changes: Sequence[Change]) -> list[Change]:
    """Drop each removal of a row that is written again by a later change."""
    last_write = {
        change.key: index for index, change in enumerate(changes) if isinstance(change, Row)
    }
    return [
        change
        for index, change in enumerate(changes)
        if isinstance(change, Row) or last_write.get(change.key, -1) < index
    ]
