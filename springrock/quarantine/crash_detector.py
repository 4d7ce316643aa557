"""Detects which replicas crashed while running this box's requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

import gevent
from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects
from springrock.log import Log
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import MAX_REQUESTS, MAX_SHARED, CrashReport, new_key

_CRASH_CONFIRMATION_S = 0.2
"""How long a replica at which requests failed has to answer another one before it is reported as
crashed. A busy replica that only reset some connections answers within a few tens of milliseconds;
one that crashed takes longer than this to come back."""

_MAX_LOGGED_FINGERPRINTS = 8


class _SuspectedCrash(Struct):
    """A replica at which requests failed, until it is known whether it crashed.

    Attributes:
        key: The key of the report to be published if it crashed.
        began_at: When the first request failed, on the local monotonic clock.
        requests: The requests that failed there.
        shared: What requests that failed there have in common with others.
    """

    key: str
    began_at: float
    record: ReplicaRecord
    requests: list[Fingerprint] = []
    shared: list[Fingerprint] = []

    def add(self, suspects: Suspects) -> bool:
        """Add suspects; return whether there were new ones among them."""
        before = len(self.requests) + len(self.shared)
        if suspects.whole and suspects.whole not in self.requests:
            self.requests.append(suspects.whole)
        self.shared += [item for item in suspects.shared if item not in self.shared]
        return len(self.requests) + len(self.shared) > before


class Publisher(Protocol):
    """Publishes crash reports to all boxes."""

    def publish(self, key: str, report: CrashReport) -> None:
        """Queue a report for publishing; return at once."""


class CrashDetector:
    """Distinguishes crashes from other failures, and reports them.

    A broken connection does not prove a crash: replicas reset connections, and network cuts break
    them. The failure is counted against the requests at once, as the next try may come at any
    moment. It is withdrawn if the replica answers a later request, or turns out to be unreachable
    for this box, which is tried before it is reported. The end of a replica that was leaving counts
    against no request.

    A crash counts against the requests that failed, and against what those whose answer had not
    begun share with others.

    Args:
        box: The name of this box.
        book: Counts crashes against requests.
        reports: Publishes them to the other boxes.
        log: The log to write to.
        is_out_of_reach: Whether connections to an address fail, but are not refused.
    """

    def __init__(
        self,
        *,
        box: str,
        book: CrashBook,
        reports: Publisher,
        log: Log,
        is_out_of_reach: Callable[[str], bool] = lambda address: False,
    ) -> None:
        self._is_out_of_reach = is_out_of_reach
        self._box = box
        self._book = book
        self._reports = reports
        self._log = log
        self._suspected: dict[str, _SuspectedCrash] = {}

    def record_break(self, suspects: Suspects, record: ReplicaRecord, *, is_writing: bool) -> None:
        """Record that the connection broke after a request was sent to a replica.

        Args:
            suspects: What the request is made of.
            record: The replica.
            is_writing: Whether the replica was writing the answer. What the request shares with
                others does not crash it then: it does so as it begins to write.
        """
        if record.leaving:
            return
        accused = self._accused(suspects, is_writing=is_writing)
        if not accused.whole and not accused.shared:
            return
        crash = self._suspected.get(record.instance)
        if crash is None:
            crash = _SuspectedCrash(new_key(), monotonic(), record)
            self._suspected[record.instance] = crash
            gevent.spawn_later(_CRASH_CONFIRMATION_S, self._publish_report, crash)
        if crash.add(accused):
            self._book.add_own(crash.key, self._report(crash))

    def _accused(self, suspects: Suspects, *, is_writing: bool) -> Suspects:
        """Return the suspects that a crash counts against; the whole is empty if exempt."""
        is_exempt = self._book.consume_completion(suspects.whole)
        shared = () if is_writing else suspects.shared
        return Suspects(
            Fingerprint("") if is_exempt else suspects.whole,
            tuple(item for item in shared if not self._book.is_exempt(item)),
        )

    def record_answered(self, instance: str, *, sent_at: float) -> None:
        """Record that a replica answered a request that was sent at a given time."""
        crash = self._suspected.get(instance)
        if crash is not None and sent_at > crash.began_at:
            self._withdraw(crash, "it answered a later request")

    def record_unreachable(self, instance: str) -> None:
        """Record that a replica does not even refuse connections: the network may be cut."""
        crash = self._suspected.get(instance)
        if crash is not None:
            self._withdraw(crash, "it is unreachable")

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed."""
        self._book.record_completion(fingerprint)

    def record_writing(self, shared: Iterable[Fingerprint]) -> None:
        """Record that a replica writes an answer to a request, given what the request shares."""
        cleared = list(shared)
        for crash in self._suspected.values():
            crash.shared = [item for item in crash.shared if item not in cleared]
        self._book.record_writing(cleared)

    def _report(self, crash: _SuspectedCrash) -> CrashReport:
        # The codec of rows encodes plain strings only, not subclasses such as `Fingerprint`.
        requests = [str(item) for item in crash.requests[-MAX_REQUESTS:]]
        shared = [str(item) for item in crash.shared[-MAX_SHARED:]]
        return CrashReport(self._box, crash.record.instance, requests, shared)

    def _withdraw(self, crash: _SuspectedCrash, why: str) -> None:
        del self._suspected[crash.record.instance]
        self._book.withdraw(crash.key)
        self._log_crash("Requests broke at a replica that has not crashed.", crash, why=why)

    def _publish_report(self, crash: _SuspectedCrash) -> None:
        instance = crash.record.instance
        if self._suspected.get(instance) is not crash:
            return
        if self._is_out_of_reach(crash.record.address):
            self.record_unreachable(instance)
        if self._suspected.get(instance) is not crash:
            return
        del self._suspected[instance]
        self._reports.publish(crash.key, self._report(crash))
        self._log_crash("A replica crashed under requests.", crash)

    def _log_crash(self, message: str, crash: _SuspectedCrash, **fields: object) -> None:
        self._log.info(
            message,
            instance=crash.record.instance,
            service=crash.record.service,
            count=len(crash.requests),
            fingerprints=[item.short for item in crash.requests[:_MAX_LOGGED_FINGERPRINTS]],
            shared=[item.short for item in crash.shared[:_MAX_LOGGED_FINGERPRINTS]],
            **fields,
        )
