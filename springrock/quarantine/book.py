"""Which requests ran at which crashes, as all boxes report them, and which are quarantined."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects
from springrock.log import Log
from springrock.quarantine.causes import Cause, CrashSets, find_causes
from springrock.quarantine.counted_crashes import CountedCrashes
from springrock.quarantine.exemptions import Exemptions
from springrock.quarantine.report import CrashReport, report_from
from springrock.quarantine.terms import QuarantineTerms
from springrock.quarantine.trials import Trials
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
    """A report that counts against its suspects.

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

    A crash counts against all requests that ran at the replica, and against what they share with
    others, though most of it did not cause the crash. What the crashes are put down to, once there
    are as many as the terms require, is decided by `find_causes`. A completed run on this box
    clears all crashes counted against a request, as a request that crashes replicas does not
    complete. An answer that a replica has begun to write on any box clears what the request shares.

    Args:
        box: The name of this box.
        terms: Returns the rules by which requests are quarantined.
        log: The log to write to.
        on_cleared: Called with a shared suspect that this box has cleared, if one more crash would
            have quarantined the requests with it: other boxes may have no reason to clear it.
    """

    def __init__(
        self,
        *,
        box: str = "",
        terms: Callable[[], QuarantineTerms],
        log: Log,
        on_cleared: Callable[[Fingerprint], None] = lambda suspect: None,
    ) -> None:
        self._box = box
        self._terms = terms
        self._log = log
        self.on_cleared = on_cleared
        self._held: dict[str, _HeldReport] = {}
        self._whole = CountedCrashes()
        self._shared = CountedCrashes()
        self._completed: BoundedDict[None] = BoundedDict(at_most=_COMPLETIONS_KEPT)
        self._exemptions = Exemptions()
        self._trials = Trials()
        self._causes: list[Cause] = []
        self._causes_valid_until = float("inf")
        """When the first of them ends, on the local monotonic clock; 0 to decide anew."""

    @property
    def quarantined_count(self) -> int:
        """How many causes of crashes are known now."""
        return len(self._current_causes())

    def quarantined_for_s(self, suspects: Suspects) -> float | None:
        """Return for how many more seconds a request is quarantined; None if it is not."""
        found = [
            cause
            for cause in self._current_causes()
            if cause.is_in(suspects) and not self._is_trial(cause, suspects.whole)
        ]
        return max((self._left_s(cause) for cause in found), default=None)

    def _is_trial(self, cause: Cause, whole: Fingerprint) -> bool:
        """Return whether a request tests whether what it shares with others still crashes replicas.

        Only the first by name of the boxes that reported the crashes sends one. All boxes read the
        same reports.
        """
        # A box of an earlier build reports nothing shared, and would try nothing.
        reports = [held for held in self._reports_of(cause) if held.report.shared]
        if whole in cause.suspects or self._box != min(held.report.box for held in reports):
            return False
        last_crash_at = max(held.learned_at for held in reports)
        return self._trials.allows(min(cause.suspects), whole, last_crash_at=last_crash_at)

    def may_be_retried(self, suspects: Suspects) -> bool:
        """Return whether a request that may have run may be sent to another replica at once.

        It may not if one more crash would quarantine it. An immediate retry runs together with the
        other requests that failed at the same crash, so they would all be counted at the next one.
        A later retry by the client is allowed.
        """
        causes = self._current_causes()
        if any(cause.is_in(suspects) for cause in causes):
            return False
        most = max(1, self._terms().crashes - 1) - 1
        explained = {instance for cause in causes for instance in cause.instances}
        return all(
            len(self._crashes_of(keys) - explained) <= most
            for keys in (
                self._whole.keys(suspects.whole),
                *(self._shared.keys(suspect) for suspect in suspects.shared),
            )
            if keys
        )

    # Crashes that this box observed itself.

    def add_own(self, key: str, report: CrashReport) -> None:
        """Count a report of this box, or a longer version of it that replaces it until written."""
        self._add(key, report, version=0, shared=report.shared)
        self._current_causes()

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

    def is_exempt(self, suspect: Fingerprint) -> bool:
        """Return whether a crash now is not counted against a shared suspect."""
        return self._exemptions.covers(suspect)

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed, and clear the crashes counted against it."""
        self._completed.record(fingerprint, None)
        self._clear(self._whole, fingerprint)

    def record_writing(self, shared: Iterable[Fingerprint]) -> None:
        """Record that a replica writes an answer on shared suspects, and clear them."""
        for suspect in shared:
            self._exemptions.grant(suspect)
            crashes = len(self._crashes_of(self._shared.keys(suspect)))
            self._clear(self._shared, suspect)
            if crashes >= max(1, self._terms().crashes - 1):
                self.on_cleared(suspect)

    # Crashes that boxes have reported in the store.

    def replace(self, rows: Sequence[Row]) -> None:
        """Apply a read of the whole table; drop reports that were read before and are gone now."""
        present = {row.key for row in rows}
        for key in [key for key, held in self._held.items() if held.version]:
            if key not in present:
                self.remove(key)
        # A report clears what earlier ones count.
        for row in sorted(rows, key=lambda row: row.version):
            self._apply(row)
        self._current_causes()

    def change(self, row: Row) -> None:
        """Apply a new row. Reports never change, and a known one is not counted again."""
        self._apply(row)
        self._current_causes()

    def _apply(self, row: Row) -> None:
        known = self._held.get(row.key)
        if known is not None:
            self._held[row.key] = known._replace(version=row.version)
            return
        report = report_from(row)
        if report is None:
            self._log.info("Ignored a malformed crash report.", key=row.key)
            return
        counted = [item for item in report.shared if not self.is_exempt(Fingerprint(item))]
        self._add(row.key, report, version=row.version, shared=counted)
        for digest in report.cleared:
            self._clear_for(report.box, Fingerprint(digest))

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

    def _add(self, key: str, report: CrashReport, *, version: int, shared: Iterable[str]) -> None:
        # The version that this one replaces may name suspects that it lacks, as the number of names
        # is bounded.
        self._drop(key)
        self._held[key] = _HeldReport(report, version, monotonic())
        if len(self._held) > _MAX_HELD:
            self._drop(next(iter(self._held)))
        for digest in report.requests:
            self._count(self._whole, Fingerprint(digest), key)
        for digest in shared:
            self._count(self._shared, Fingerprint(digest), key)

    def _drop(self, key: str) -> None:
        held = self._held.pop(key, None)
        if held is None:
            return
        for counted, digests in (
            (self._whole, held.report.requests),
            (self._shared, held.report.shared),
        ):
            for digest in digests:
                self._doubt_causes(counted, Fingerprint(digest))
                counted.discard(Fingerprint(digest), key)

    def _count(self, counted: CountedCrashes, suspect: Fingerprint, key: str) -> None:
        counted.add(suspect, key)
        self._doubt_causes(counted, suspect)

    def _clear(self, counted: CountedCrashes, suspect: Fingerprint) -> None:
        self._doubt_causes(counted, suspect)
        counted.clear(suspect)

    def _clear_for(self, box: str, suspect: Fingerprint) -> None:
        """Clear a shared suspect on the word of another box."""
        if self._shared.count(suspect):
            self._clear(self._shared, suspect)
            self._log.info("Another box cleared a suspect.", suspect=suspect.short, cleared_by=box)

    # Causes.

    def _crashes_of(self, keys: Iterable[str]) -> frozenset[str]:
        """Return the incarnations of the reports that have not expired."""
        horizon = monotonic() - self._terms().for_s
        held = [self._held[key] for key in keys]
        return frozenset(item.report.instance for item in held if item.learned_at > horizon)

    def _crash_sets(self, counted: CountedCrashes) -> CrashSets:
        suspects = list(counted.with_at_least(self._terms().crashes))
        return {suspect: self._crashes_of(counted.keys(suspect)) for suspect in suspects}

    def _doubt_causes(self, counted: CountedCrashes, suspect: Fingerprint) -> None:
        """Have the causes decided anew if a suspect has enough crashes to matter."""
        if counted.count(suspect) >= self._terms().crashes:
            self._causes_valid_until = 0.0

    def _current_causes(self) -> list[Cause]:
        """Return what the crashes are put down to now; decide it anew and log it if it changed."""
        if monotonic() < self._causes_valid_until:
            return self._causes
        before, self._causes = (
            self._causes,
            find_causes(
                whole=self._crash_sets(self._whole),
                shared=self._crash_sets(self._shared),
                crashes=self._terms().crashes,
                is_proven=self._exemptions.__contains__,
            ),
        )
        left_s = [self._left_s(cause) for cause in self._causes]
        self._causes_valid_until = monotonic() + min(left_s, default=float("inf"))
        self._log_changes(before)
        return self._causes

    def _reports_of(self, cause: Cause) -> list[_HeldReport]:
        """Return the reports of the crashes that are put down to a cause."""
        return [held for held in self._held.values() if held.report.instance in cause.instances]

    def _left_s(self, cause: Cause) -> float:
        """Return for how many seconds a cause stays one."""
        terms = self._terms()
        ends: dict[str, float] = {}
        for suspect in cause.suspects:
            for key in (*self._whole.keys(suspect), *self._shared.keys(suspect)):
                held = self._held[key]
                if held.report.instance in cause.instances:
                    end = held.learned_at + terms.for_s
                    ends[held.report.instance] = max(end, ends.get(held.report.instance, 0.0))
        # It ends when so many crashes have expired that the others are too few.
        return sorted(ends.values())[max(0, len(ends) - terms.crashes)] - monotonic()

    def _log_changes(self, before: list[Cause]) -> None:
        known = {cause.suspects for cause in before}
        current = {cause.suspects for cause in self._causes}
        for cause in self._causes:
            if cause.suspects not in known:
                self._log_cause("Requests are quarantined.", cause)
        for cause in before:
            if cause.suspects not in current:
                self._log_cause("Requests are no longer quarantined.", cause)

    def _log_cause(self, sentence: str, cause: Cause) -> None:
        self._log.info(
            sentence,
            suspects=sorted(suspect.short for suspect in cause.suspects),
            instances=sorted(cause.instances),
            reported_by=sorted({held.report.box for held in self._reports_of(cause)}),
            for_s=round(self._terms().for_s),
        )
