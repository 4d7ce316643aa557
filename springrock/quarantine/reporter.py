"""Keeps the crash reports of this box in the store, and removes those that say nothing any more."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from springrock.log import Condition, Log
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import KEY_PREFIX, CrashReport, report_from
from springrock.quarantine.terms import QuarantineTerms
from springrock.remembered import Remembered
from springrock.rows import Row, RowConflict, RowKeeper, RowStoreUnavailable

_WAITING_AT_MOST = 200
"""Reports that wait for a store that does not answer; of more the oldest are given up."""

_FIRST_RETRY_S = 0.25
_LONGEST_RETRY_S = 2.0

_OTHERS_AFTER_S = 1.0
_OTHERS_WITHIN_S = 4.0
"""Over this time boxes write reports of others again: the first of them is read by the rest."""

_SWEEP_EVERY_S = 30.0
_SWEEP_LATENESS = 2.0
"""Each box leaves old rows to others up to so many times their life: the most eager one removes
them, and the others read that they are gone."""


class Reporter:
    """Implements `springrock.quarantine.crash_detector.Publishes`.

    Reports are written to the store, and not only told over links: a box that starts must know
    them before it sends anything, and whoever gathered them may die between two crashes. Each box
    writes rows of its own, so that there is nothing to agree on.

    Args:
        store: The store.
        box: The name of this box.
        table: The table that all boxes follow.
        book: Knows which rows are old.
        terms: Returns how long reports count.
        log: The log to write to.
    """

    def __init__(
        self,
        store: RowKeeper,
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
        self._unread: Remembered[CrashReport] = Remembered(at_most=_WAITING_AT_MOST)
        self._filled = Event()
        self._unwritten = Condition(
            log,
            begins="Crash reports wait for the store.",
            ends="Crash reports are written again.",
        )
        self._lateness = random.uniform(1.0, _SWEEP_LATENESS)
        self._tasks: list[gevent.Greenlet[..., Any]] = []

    def start(self) -> None:
        """Begin to write and to sweep."""
        self._tasks = [gevent.spawn(self._write_loop), gevent.spawn(self._sweep_loop)]

    def stop(self) -> None:
        """End both."""
        for task in self._tasks:
            task.kill()

    def publish(self, key: str, report: CrashReport) -> None:
        """Have a report written; returns at once."""
        self._waiting[key] = report
        if len(self._waiting) > _WAITING_AT_MOST:
            given_up, _ = self._waiting.popitem(last=False)
            self._log.say("Gave a crash report up.", key=given_up)
        self._filled.set()

    def write_again(self, rows: Sequence[Row]) -> None:
        """Have reports written that a store lacks which came back from a copy.

        Each box writes its own at once, and those of others, which may be gone, a little later.
        """
        for key, report in self._unread.items():
            if not self._book.version(key):
                self.publish(key, report)
        for row in rows:
            lost = report_from(row) if row.key.startswith(KEY_PREFIX) else None
            if lost is None:
                continue
            if lost.box == self._box:
                self.publish(row.key, lost)
            else:
                later_s = random.uniform(_OTHERS_AFTER_S, _OTHERS_WITHIN_S)
                gevent.spawn_later(later_s, self._write_if_lost, row, lost)

    def _write_if_lost(self, row: Row, report: CrashReport) -> None:
        if self._book.version(row.key) == row.version:
            self.publish(row.key, report)

    def sweep(self) -> None:
        """Remove the rows that may go; what is not removed now is tried again later."""
        for row in self._book.stale(older_than_s=self._terms().for_s * self._lateness):
            try:
                self._store.remove(self._table, row.key, expected=row.version)
            except RowConflict:
                pass  # Another box was first.
            except RowStoreUnavailable as error:
                self._log.say("Did not remove old crash reports.", error=str(error))
                return

    def _sweep_loop(self) -> None:
        while True:
            gevent.sleep(_SWEEP_EVERY_S * random.uniform(0.5, 1.0))
            self.sweep()

    def _write_loop(self) -> None:
        retry_s = _FIRST_RETRY_S
        while True:
            self._filled.wait()
            if not self._waiting:
                self._filled.clear()
                continue
            key, report = next(iter(self._waiting.items()))
            try:
                self._write(key, report)
                self._waiting.pop(key, None)
                self._unwritten.end()
                retry_s = _FIRST_RETRY_S
            except RowStoreUnavailable as error:
                self._unwritten.begin(error=str(error), count=len(self._waiting))
                gevent.sleep(retry_s * random.uniform(0.8, 1.0))
                retry_s = min(_LONGEST_RETRY_S, retry_s * 1.5)

    def _write(self, key: str, report: CrashReport) -> None:
        self._unread.record(key, report)
        try:
            self._store.write(self._table, key, msgspec.json.encode(report), expected=0)
        except RowConflict:
            pass  # An earlier write took effect, though its answer was lost.
