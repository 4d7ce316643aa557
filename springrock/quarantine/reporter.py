"""Writes the crash reports of this box to the store, and removes stale ones."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from springrock.bounded_dict import BoundedDict
from springrock.log import Condition, Log
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import KEY_PREFIX, CrashReport, report_from
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row, RowConflict, RowEditor, RowStoreUnavailable

_MAX_WAITING = 200
"""The most reports that wait while the store does not answer; beyond it the oldest are dropped."""

_FIRST_RETRY_S = 0.25
_MAX_RETRY_S = 2.0

_MIN_REWRITE_DELAY_S = 1.0
_MAX_REWRITE_DELAY_S = 4.0
"""Bounds of the random delay before a box writes the lost reports of other boxes again. The other
boxes read what the first one wrote, and do not write it themselves."""

_SWEEP_INTERVAL_S = 30.0
_MAX_AGE_FACTOR = 2.0
"""A box removes rows older than their lifetime times a random factor from 1 to this. The box with
the lowest factor usually removes them, and the others read that they are gone."""


class Reporter:
    """Implements `springrock.quarantine.crash_detector.Publisher`.

    Reports are written to the store instead of being sent over links only: a box that starts must
    know them before it sends any request, and a box that collected them could die between two
    crashes. Each box writes rows of its own, so that writes need no coordination.

    Args:
        store: The store.
        box: The name of this box.
        table: The name of the table in the store that all boxes follow.
        book: Has the versions of the rows that were read, and finds stale rows.
        terms: Returns how long a crash counts against a request.
        log: The log to write to.
    """

    def __init__(
        self,
        store: RowEditor,
        *,
        box: str,
        table: str,
        book: CrashBook,
        terms: Callable[[], QuarantineTerms],
        log: Log,
    ) -> None:
        self._store = store
        self._box = box
        self._table = table
        self._book = book
        self._terms = terms
        self._log = log
        self._waiting: OrderedDict[str, CrashReport] = OrderedDict()
        self._written: BoundedDict[CrashReport] = BoundedDict(at_most=_MAX_WAITING)
        self._has_waiting = Event()
        self._store_outage = Condition(
            log,
            begins="Crash reports wait for the store.",
            ends="Crash reports are written again.",
        )
        self._age_factor = random.uniform(1.0, _MAX_AGE_FACTOR)
        self._tasks: list[gevent.Greenlet[..., Any]] = []

    def start(self) -> None:
        """Start the tasks that write reports and remove stale rows."""
        self._tasks = [gevent.spawn(self._write_loop), gevent.spawn(self._sweep_loop)]

    def stop(self) -> None:
        """Stop both tasks."""
        for task in self._tasks:
            task.kill()

    def publish(self, key: str, report: CrashReport) -> None:
        """Queue a report for writing; return at once."""
        self._waiting[key] = report
        if len(self._waiting) > _MAX_WAITING:
            dropped, _ = self._waiting.popitem(last=False)
            self._log.info("Dropped a crash report, as too many wait for the store.", key=dropped)
        self._has_waiting.set()

    def write_again(self, rows: Sequence[Row]) -> None:
        """Write again the reports that a store restored from a copy has lost.

        Each box writes its own reports at once. Those of other boxes, which may be gone, follow
        after a random delay unless another box has written them by then.

        Args:
            rows: The known rows of all kinds that the restored store lacks.
        """
        for key, report in self._written.items():
            if not self._book.version(key):
                self.publish(key, report)
        for row in rows:
            lost = report_from(row) if row.key.startswith(KEY_PREFIX) else None
            if lost is None:
                continue
            if lost.box == self._box:
                self.publish(row.key, lost)
            else:
                later_s = random.uniform(_MIN_REWRITE_DELAY_S, _MAX_REWRITE_DELAY_S)
                gevent.spawn_later(later_s, self._write_if_lost, row, lost)

    def _write_if_lost(self, row: Row, report: CrashReport) -> None:
        if self._book.version(row.key) == row.version:
            self.publish(row.key, report)

    def sweep(self) -> None:
        """Remove stale rows; those that could not be removed are retried at the next sweep."""
        for row in self._book.stale(older_than_s=self._terms().for_s * self._age_factor):
            try:
                self._store.remove(self._table, row.key, expected=row.version)
            except RowConflict:
                pass  # Another box removed it first.
            except RowStoreUnavailable as error:
                self._log.info("Did not remove old crash reports.", error=str(error))
                return

    def _sweep_loop(self) -> None:
        while True:
            gevent.sleep(_SWEEP_INTERVAL_S * random.uniform(0.5, 1.0))
            self.sweep()

    def _write_loop(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            self._has_waiting.wait()
            if not self._waiting:
                self._has_waiting.clear()
                continue
            key, report = next(iter(self._waiting.items()))
            try:
                self._write(key, report)
                self._waiting.pop(key, None)
                self._store_outage.end()
                retry_s = _FIRST_RETRY_S
            except RowStoreUnavailable as error:
                self._store_outage.begin(error=str(error), count=len(self._waiting))
                gevent.sleep(retry_s * random.uniform(0.8, 1.0))
                retry_s = min(_MAX_RETRY_S, retry_s * 1.5)

    def _write(self, key: str, report: CrashReport) -> None:
        self._written.record(key, report)
        try:
            self._store.write(self._table, key, msgspec.json.encode(report), expected=0)
        except RowConflict:
            pass  # An earlier write succeeded, but its answer was lost.
