"""The quarantine of one box: what it sees, holds and reports, put together."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.quarantine.book import CrashBook
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.reporter import Reporter
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row, RowKeeper


class Quarantine:
    """Knows which requests crash replicas, and keeps what it sees of that in the store.

    Args:
        box: The name of this box.
        store: The store.
        table: The table that all boxes follow.
        terms: Returns what convicts a request.
        metrics: The metrics to show it in.
        log: The log to write to.

    Attributes:
        book: What is held against requests; it listens to the rows of crash reports.
        crash_detector: Learns how requests end at replicas.
    """

    def __init__(
        self,
        *,
        box: str,
        store: RowKeeper,
        table: str,
        terms: Callable[[], QuarantineTerms],
        metrics: ForwardingMetrics,
        log: Log,
    ) -> None:
        self.book = CrashBook(terms=terms, log=log)
        metrics.quarantined.set_function(lambda: float(self.book.quarantined_count))
        self._reporter = Reporter(store, box=box, table=table, book=self.book, terms=terms, log=log)
        self.crash_detector = CrashDetector(
            box=box, book=self.book, reports=self._reporter, log=log
        )

    def write_again(self, rows: Sequence[Row]) -> None:
        """Have the reports among some rows written that a store lacks after its return."""
        self._reporter.write_again(rows)

    def start(self) -> None:
        """Begin to report."""
        self._reporter.start()

    def stop(self) -> None:
        """End reporting."""
        self._reporter.stop()
