"""Detects which replicas crashed while running this box's requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import gevent
from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import MAX_REQUESTS, CrashReport, new_key

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
    """

    key: str
    began_at: float
    record: ReplicaRecord
    requests: list[Fingerprint]


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

    def record_break(self, fingerprint: Fingerprint, record: ReplicaRecord) -> None:
        """Record that the connection broke after a request was sent to a replica."""
        if record.leaving or self._book.consume_completion(fingerprint):
            return
        crash = self._suspected.get(record.instance)
        if crash is None:
            crash = _SuspectedCrash(new_key(), monotonic(), record, [])
            self._suspected[record.instance] = crash
            gevent.spawn_later(_CRASH_CONFIRMATION_S, self._publish_report, crash)
        if fingerprint not in crash.requests:
            crash.requests.append(fingerprint)
            self._book.add_own(crash.key, self._report(crash))

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

    def _report(self, crash: _SuspectedCrash) -> CrashReport:
        # The codec of rows encodes plain strings only, not subclasses such as `Fingerprint`.
        requests = [str(item) for item in crash.requests[-MAX_REQUESTS:]]
        return CrashReport(self._box, crash.record.instance, requests)

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
            **fields,
        )
