"""What a box sees of crashes: which replicas ended under which of its requests."""

from __future__ import annotations

from typing import Protocol

import gevent
from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import MOST_REQUESTS, CrashReport, new_key

_SIGNS_OF_LIFE_S = 0.2
"""So long a replica at which requests broke may show that it lives. A busy one that only reset
some connections answers another request within a few tens of ms; one that crashed takes longer
than this to come back."""

_SHOWN_AT_MOST = 8


class _Break(Struct):
    """Requests that broke at a replica, as long as it may yet show that it lives.

    Attributes:
        key: Of the report that they would make.
        began_at: When the first of them broke, on the local monotonic clock.
    """

    key: str
    began_at: float
    record: ReplicaRecord
    requests: list[Fingerprint]


class Publishes(Protocol):
    """Makes reports known to all boxes."""

    def publish(self, key: str, report: CrashReport) -> None:
        """Make a report known; returns at once."""


class CrashDetector:
    """Tells crashes from other breaks, and reports them.

    A connection that broke is no proof: replicas reset connections, and cuts break them. It is
    held against the requests at once, as the next try may come at any moment, and taken back if
    the replica answers a later request, or turns out to be out of this box's reach. The end of a
    replica that was leaving speaks against nobody.

    Args:
        box: The name of this box.
        book: What is held against requests.
        reports: Makes it known to the other boxes.
        log: The log to write to.
    """

    def __init__(self, *, box: str, book: CrashBook, reports: Publishes, log: Log) -> None:
        self._box = box
        self._book = book
        self._reports = reports
        self._log = log
        self._breaks: dict[str, _Break] = {}

    def record_break(self, fingerprint: Fingerprint, record: ReplicaRecord) -> None:
        """Learn that a request broke at a replica that had got it."""
        if record.leaving or self._book.is_exempt(fingerprint):
            return
        existing = self._breaks.get(record.instance)
        if existing is None:
            existing = _Break(new_key(), monotonic(), record, [])
            self._breaks[record.instance] = existing
            gevent.spawn_later(_SIGNS_OF_LIFE_S, self._publish_report, existing)
        if fingerprint not in existing.requests:
            existing.requests.append(fingerprint)
            self._book.hold(existing.key, self._report(existing))

    def record_answered(self, instance: str, *, sent_at: float) -> None:
        """Learn that a replica answered a request that was sent at a time."""
        existing = self._breaks.get(instance)
        if existing is not None and sent_at > existing.began_at:
            self._withdraw(existing, "it answers")

    def record_unreachable(self, instance: str) -> None:
        """Learn that a replica does not even refuse connections: the way to it may be cut."""
        existing = self._breaks.get(instance)
        if existing is not None:
            self._withdraw(existing, "it is out of reach")

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Learn that a request ran to a good end."""
        self._book.record_completion(fingerprint)

    def _report(self, existing: _Break) -> CrashReport:
        # The codec of rows writes plain texts alone.
        requests = [str(item) for item in existing.requests[-MOST_REQUESTS:]]
        return CrashReport(self._box, existing.record.instance, requests)

    def _withdraw(self, existing: _Break, why: str) -> None:
        del self._breaks[existing.record.instance]
        self._book.withdraw(existing.key)
        self._say("Requests broke at a replica that has not crashed.", existing, why=why)

    def _publish_report(self, existing: _Break) -> None:
        instance = existing.record.instance
        if self._breaks.get(instance) is not existing:
            return
        del self._breaks[instance]
        self._reports.publish(existing.key, self._report(existing))
        self._say("A replica crashed under requests.", existing)

    def _say(self, sentence: str, existing: _Break, **more: object) -> None:
        self._log.say(
            sentence,
            instance=existing.record.instance,
            service=existing.record.service,
            count=len(existing.requests),
            fingerprints=[item.shown for item in existing.requests[:_SHOWN_AT_MOST]],
            **more,
        )
