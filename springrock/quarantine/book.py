"""Which requests were at which crashes, as all boxes have reported, and which are quarantined."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine.report import CrashReport, report_from
from springrock.quarantine.terms import QuarantineTerms
from springrock.remembered import Remembered
from springrock.rows import Row

REPORTS_AT_MOST = 1_000
"""So many reports are kept, the newest; of a usual crash each takes under 2 KB."""

_HELD_AT_MOST = 2 * REPORTS_AT_MOST
"""What a box holds itself while nobody removes rows, as when the store is out."""

_RUN_WELL_KEPT = 2_000
"""Of so many requests it is remembered that they have run well here: those that come often."""


class _Held(NamedTuple):
    """A report that is held against its requests.

    Attributes:
        version: Of its row; 0 as long as it was not read.
        learned_at: When this box learnt of it, on the local monotonic clock.
    """

    report: CrashReport
    version: int
    learned_at: float


class StaleReport(NamedTuple):
    """A row that says nothing any more, or is one too many."""

    key: str
    version: int


class CrashBook:
    """Implements `springrock.rows.TableListener` for the rows of crash reports.

    A crash accuses all that ran at the replica, most of it wrongly; who is accused by as many
    crashes as the terms say, of different incarnations, is quarantined. A run to a good end takes
    back all that was held against a request here, as such a request does not crash what runs it.

    Args:
        terms: Returns what convicts a request.
        log: The log to write to.
    """

    def __init__(self, *, terms: Callable[[], QuarantineTerms], log: Log) -> None:
        self._terms = terms
        self._log = log
        self._held: dict[str, _Held] = {}
        self._naming: dict[Fingerprint, set[str]] = {}
        self._ran_well: Remembered[None] = Remembered(at_most=_RUN_WELL_KEPT)
        self._quarantined: set[Fingerprint] = set()

    @property
    def quarantined_count(self) -> int:
        """How many requests are quarantined now."""
        return sum(self.quarantined_for_s(item) is not None for item in set(self._quarantined))

    def quarantined_for_s(self, fingerprint: Fingerprint) -> float | None:
        """Return for how long a request is sent to no replica; None if it may be sent.

        That a quarantine is over is noted, and logged, when the request comes again.
        """
        if fingerprint not in self._naming:
            return None
        terms = self._terms()
        ends = sorted(at + terms.for_s for at in self._crashes_of(fingerprint).values())
        if len(ends) < terms.crashes:
            self._record_released(fingerprint)
            return None
        # It is over when so many have lapsed that the others no longer suffice.
        return ends[len(ends) - terms.crashes] - monotonic()

    def may_be_retried(self, fingerprint: Fingerprint) -> bool:
        """Whether a request that may have run may run again in the same try.

        Not if one more crash would convict it: its client may come again, later and alone, while a
        retry moves on at once together with what broke beside it, and is accused with it.
        """
        if fingerprint not in self._naming:
            return True
        return len(self._crashes_of(fingerprint)) < max(1, self._terms().crashes - 1)

    # What this box has seen itself.

    def hold(self, key: str, report: CrashReport) -> None:
        """Hold a report of this box's own against its requests; it may grow until it is written."""
        self._hold(key, report, version=0)

    def withdraw(self, key: str) -> None:
        """Take a report back, as the replica has not crashed."""
        self._drop(key)

    def is_exempt(self, fingerprint: Fingerprint) -> bool:
        """Whether a crash is not held against a request, as it has run well here since the last.

        It comes often then, and was there by chance; so was it hardly twice without a good end
        between, so that one good end is good for one crash.
        """
        if fingerprint not in self._ran_well:
            return False
        del self._ran_well[fingerprint]
        return True

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Learn that a request ran to a good end."""
        self._ran_well.record(fingerprint, None)
        if self._naming.pop(fingerprint, None) is not None:
            self._record_released(fingerprint)

    # What boxes have reported.

    def replace(self, rows: Sequence[Row]) -> None:
        """Take all reports; of what was read before, that which is gone is forgotten."""
        present = {row.key for row in rows}
        for key in [key for key, held in self._held.items() if held.version]:
            if key not in present:
                self.remove(key)
        for row in rows:
            self.change(row)

    def change(self, row: Row) -> None:
        """Take a new report; none changes, and one that is known is not held twice."""
        known = self._held.get(row.key)
        if known is not None:
            self._held[row.key] = known._replace(version=row.version)
            return
        report = report_from(row)
        if report is None:
            self._log.say("Passed over a malformed crash report.", key=row.key)
            return
        self._hold(row.key, report, version=row.version)

    def version(self, key: str) -> int:
        """Return the version of the row of a report as it was last read; 0 if it was not."""
        held = self._held.get(key)
        return 0 if held is None else held.version

    def remove(self, key: str) -> None:
        """Learn that a report is gone."""
        self._drop(key)

    def stale(self, *, older_than_s: float) -> list[StaleReport]:
        """Return the rows that may go: those that are old, and the oldest of too many."""
        horizon = monotonic() - older_than_s
        read = sorted(
            (held.version, key, held.learned_at) for key, held in self._held.items() if held.version
        )
        too_many = len(read) - REPORTS_AT_MOST
        return [
            StaleReport(key, version)
            for number, (version, key, learned_at) in enumerate(read)
            if number < too_many or learned_at < horizon
        ]

    def _hold(self, key: str, report: CrashReport, *, version: int) -> None:
        self._held[key] = _Held(report, version, monotonic())
        if len(self._held) > _HELD_AT_MOST:
            self._drop(next(iter(self._held)))
        for fingerprint in report.fingerprints:
            self._naming.setdefault(fingerprint, set()).add(key)
            self._record_accused(fingerprint)

    def _drop(self, key: str) -> None:
        held = self._held.pop(key, None)
        if held is None:
            return
        for fingerprint in held.report.fingerprints:
            naming = self._naming.get(fingerprint, set())
            naming.discard(key)
            if not naming:
                self._naming.pop(fingerprint, None)
            if fingerprint in self._quarantined and self.quarantined_for_s(fingerprint) is None:
                self._record_released(fingerprint)

    def _crashes_of(self, fingerprint: Fingerprint) -> dict[str, float]:
        """Return the incarnations that crashed under a request, and when that was learnt last."""
        horizon = monotonic() - self._terms().for_s
        found: dict[str, float] = {}
        for key in self._naming.get(fingerprint, ()):
            held = self._held[key]
            if held.learned_at > horizon:
                instance = held.report.instance
                found[instance] = max(held.learned_at, found.get(instance, 0.0))
        return found

    def _record_accused(self, fingerprint: Fingerprint) -> None:
        crashes = self._crashes_of(fingerprint)
        if fingerprint in self._quarantined or len(crashes) < self._terms().crashes:
            return
        self._quarantined.add(fingerprint)
        self._log.say(
            "A request is quarantined.",
            fingerprint=fingerprint.shown,
            instances=sorted(crashes),
            for_s=round(self._terms().for_s),
        )

    def _record_released(self, fingerprint: Fingerprint) -> None:
        if fingerprint in self._quarantined:
            self._quarantined.discard(fingerprint)
            self._log.say("A request is no longer quarantined.", fingerprint=fingerprint.shown)
