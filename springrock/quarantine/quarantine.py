"""The quarantine of one box: crash detection, the crash book and the reporter."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from springrock.forwarding.reach_probe import is_out_of_reach
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.quarantine.book import CrashBook
from springrock.quarantine.clearances import Clearances
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.reporter import Reporter
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row, RowEditor


class Quarantine:
    """Tracks which requests crash replicas, and writes the crashes that it observes to the store.

    Args:
        box: The name of this box.
        store: The store.
        table: The name of the table in the store that all boxes follow.
        terms: Returns the rules by which requests are quarantined.
        metrics: The metrics in which the number of quarantined requests is shown.
        log: The log to write to.

    Attributes:
        book: The crashes counted against requests; it listens to the rows of crash reports.
        crash_detector: Receives the outcomes of requests at replicas.
    """

    def __init__(
        self,
        *,
        box: str,
        store: RowEditor,
        table: str,
        terms: Callable[[], QuarantineTerms],
        metrics: ForwardingMetrics,
        log: Log,
    ) -> None:
        self.book = CrashBook(box=box, terms=terms, log=log)
        metrics.quarantined.set_function(lambda: float(self.book.quarantined_count))
        self._reporter = Reporter(store, box=box, table=table, book=self.book, terms=terms, log=log)
        clearances = Clearances(box=box, book=self.book, reports=self._reporter)
        self.book.on_cleared = clearances.add
        self.crash_detector = CrashDetector(
            box=box,
            book=self.book,
            reports=self._reporter,
            log=log,
            is_out_of_reach=is_out_of_reach,
        )

    def write_again(self, rows: Sequence[Row]) -> None:
        """Write the crash reports among some rows again, as a restored store has lost them."""
        self._reporter.write_again(rows)

    def start(self) -> None:
        """Start the reporter's tasks."""
        self._reporter.start()

    def stop(self) -> None:
        """Stop the reporter's tasks."""
        self._reporter.stop()
