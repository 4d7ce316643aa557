"""Which requests ran at which crashes, as all boxes report them, and which are quarantined."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine.report import CrashReport, report_from
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row

MAX_REPORTS = 1_000
"""The most reports kept in the store, the newest ones. A report of an ordinary crash takes less
than 2 KB."""

_MAX_HELD = 2 * MAX_REPORTS
"""The most reports that a box holds itself, as rows are not removed while the store is down."""

_COMPLETIONS_KEPT = 2_000
"""How many requests with a completed run on this box are remembered; frequent requests stay among
them."""


class _HeldReport(NamedTuple):
    """A report that counts against its requests.

    Attributes:
        version: The version of its row; 0 until the row is read.
        learned_at: When this box learned of the report, on the local monotonic clock.
    """

    report: CrashReport
    version: int
    learned_at: float


class StaleReport(NamedTuple):
    """A row to be removed: its report is too old, or there are too many."""

    key: str
    version: int


class CrashBook:
    """Implements `springrock.rows.TableListener` for the rows of crash reports.

    A crash counts against all requests that ran at the replica, though most of them did not cause
    it. A request is quarantined once as many crashes of different incarnations count against it as
    the terms require. A completed run on this box clears all crashes counted against a request, as
    a request that crashes replicas does not complete.

    Args:
        terms: Returns the rules by which requests are quarantined.
        log: The log to write to.
    """

    def __init__(self, *, terms: Callable[[], QuarantineTerms], log: Log) -> None:
        self._terms = terms
        self._log = log
        self._held: dict[str, _HeldReport] = {}
        self._keys_by_request: dict[Fingerprint, set[str]] = {}
        self._completed: BoundedDict[None] = BoundedDict(at_most=_COMPLETIONS_KEPT)
        self._quarantined: set[Fingerprint] = set()

    @property
    def quarantined_count(self) -> int:
        """How many requests are quarantined now."""
        return sum(self.quarantined_for_s(item) is not None for item in set(self._quarantined))

    def quarantined_for_s(self, fingerprint: Fingerprint) -> float | None:
        """Return for how many more seconds a request is quarantined; None if it is not.

        The end of a quarantine is detected, and logged, when the request comes again.
        """
        if fingerprint not in self._keys_by_request:
            return None
        terms = self._terms()
        ends = sorted(at + terms.for_s for at in self._crashes_of(fingerprint).values())
        if len(ends) < terms.crashes:
            self._release(fingerprint)
            return None
        # The quarantine ends when so many crashes have expired that the others are too few.
        return ends[len(ends) - terms.crashes] - monotonic()

    def may_be_retried(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request that may have run may be sent to another replica at once.

        It may not if one more crash would quarantine it. An immediate retry runs together with the
        other requests that failed at the same crash, so they would all be counted at the next one.
        A later retry by the client is allowed.
        """
        if fingerprint not in self._keys_by_request:
            return True
        return len(self._crashes_of(fingerprint)) < max(1, self._terms().crashes - 1)

    # Crashes that this box observed itself.

    def add_own(self, key: str, report: CrashReport) -> None:
        """Count a report of this box, or a longer version of it that replaces it until written."""
        self._add(key, report, version=0)

    def withdraw(self, key: str) -> None:
        """Remove one of this box's own reports, as the replica has not crashed."""
        self._drop(key)

    def consume_completion(self, fingerprint: Fingerprint) -> bool:
        """Return whether a crash is not counted against a request, as it completed here recently.

        A request that comes often was probably running at the crash by chance, but hardly twice
        without completing in between. So one completion exempts it from one crash only, and is
        consumed by this call.
        """
        if fingerprint not in self._completed:
            return False
        del self._completed[fingerprint]
        return True

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed, and clear the crashes counted against it."""
        self._completed.record(fingerprint, None)
        if self._keys_by_request.pop(fingerprint, None) is not None:
            self._release(fingerprint)

    # Crashes that boxes have reported in the store.

    def replace(self, rows: Sequence[Row]) -> None:
        """Apply a read of the whole table; drop reports that were read before and are gone now."""
        present = {row.key for row in rows}
        for key in [key for key, held in self._held.items() if held.version]:
            if key not in present:
                self.remove(key)
        for row in rows:
            self.change(row)

    def change(self, row: Row) -> None:
        """Apply a new row. Reports never change, and a known one is not counted again."""
        known = self._held.get(row.key)
        if known is not None:
            self._held[row.key] = known._replace(version=row.version)
            return
        report = report_from(row)
        if report is None:
            self._log.info("Ignored a malformed crash report.", key=row.key)
            return
        self._add(row.key, report, version=row.version)

    def version(self, key: str) -> int:
        """Return the version of a report's row as last read; 0 if it was not read."""
        held = self._held.get(key)
        return 0 if held is None else held.version

    def remove(self, key: str) -> None:
        """Drop a report, as its row is gone."""
        self._drop(key)

    def stale(self, *, older_than_s: float) -> list[StaleReport]:
        """Return the rows that may be removed: those too old, and the oldest of too many."""
        horizon = monotonic() - older_than_s
        read = sorted(
            (held.version, key, held.learned_at) for key, held in self._held.items() if held.version
        )
        excess = len(read) - MAX_REPORTS
        return [
            StaleReport(key, version)
            for number, (version, key, learned_at) in enumerate(read)
            if number < excess or learned_at < horizon
        ]

    def _add(self, key: str, report: CrashReport, *, version: int) -> None:
        self._held[key] = _HeldReport(report, version, monotonic())
        if len(self._held) > _MAX_HELD:
            self._drop(next(iter(self._held)))
        for fingerprint in report.fingerprints:
            self._keys_by_request.setdefault(fingerprint, set()).add(key)
            self._quarantine_if_due(fingerprint)

    def _drop(self, key: str) -> None:
        held = self._held.pop(key, None)
        if held is None:
            return
        for fingerprint in held.report.fingerprints:
            keys = self._keys_by_request.get(fingerprint, set())
            keys.discard(key)
            if not keys:
                self._keys_by_request.pop(fingerprint, None)
            if fingerprint in self._quarantined and self.quarantined_for_s(fingerprint) is None:
                self._release(fingerprint)

    def _crashes_of(self, fingerprint: Fingerprint) -> dict[str, float]:
        """Return the incarnations whose crashes count against a request, and when last learned."""
        horizon = monotonic() - self._terms().for_s
        found: dict[str, float] = {}
        for key in self._keys_by_request.get(fingerprint, ()):
            held = self._held[key]
            if held.learned_at > horizon:
                instance = held.report.instance
                found[instance] = max(held.learned_at, found.get(instance, 0.0))
        return found

    def _quarantine_if_due(self, fingerprint: Fingerprint) -> None:
        """Quarantine a request if enough crashes count against it now."""
        crashes = self._crashes_of(fingerprint)
        if fingerprint in self._quarantined or len(crashes) < self._terms().crashes:
            return
        self._quarantined.add(fingerprint)
        self._log.info(
            "A request is quarantined.",
            fingerprint=fingerprint.short,
            instances=sorted(crashes),
            for_s=round(self._terms().for_s),
        )

    def _release(self, fingerprint: Fingerprint) -> None:
        if fingerprint in self._quarantined:
            self._quarantined.discard(fingerprint)
            self._log.info("A request is no longer quarantined.", fingerprint=fingerprint.short)
