"""Applies the notices that replicas send in the heads of their answers.

A notice arrives earlier than the row of the replica in the store, and also while the store does
not answer.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.dialect import EMPTY_NOTICE, NO_NOTICE, ReplicaNotice
from springrock.forwarding.directory import Directory, LeavingSource, Replica
from springrock.log import Log
from springrock.permits.named_limits import NamedLimits

_UNKNOWN_KEPT = 1000
"""Bounds the memory of replicas and unknown names that were already logged."""

_EMPTY_NOTICES = (NO_NOTICE, EMPTY_NOTICE)

NoticeHandler = Callable[[ReplicaNotice], None]
"""Handles the notice in the answer to one call to a replica."""


class ReplicaNotices:
    """Applies notices to the directory and the rate limits, before answers are used otherwise.

    Args:
        directory: The known replicas.
        limits: Records the rate limits that replicas state in their notices.
        brittle: Records how many requests brittle replicas may turn away.
        log: The log to write to.
        count: Called with the kind of each part of a notice, such as "leaving".

    Attributes:
        on_leaving: Called with the incarnation of a replica when an answer is the first sign that
            it is leaving.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        limits: NamedLimits,
        brittle: NamedLimits,
        log: Log,
        count: Callable[[str], None] = lambda kind: None,
    ) -> None:
        self._directory = directory
        self._limits = limits
        self._brittle = brittle
        self._log = log
        self._count = count
        self._unknown: BoundedDict[None] = BoundedDict(at_most=_UNKNOWN_KEPT)
        self.on_leaving: list[Callable[[str], None]] = []

    def handle_answer(self, replica: Replica, notice: ReplicaNotice, *, sent_at: float) -> None:
        """Apply the notice in the answer to a client's request.

        If the notice states no limit, the replica has no limit any more; if it does not say that
        it is brittle, it is no longer. That does not hold for answers to control calls, such as
        orders and reports; pass their notices to `apply`.

        Args:
            replica: The replica that the request was sent to.
            notice: The notice in the answer.
            sent_at: When the request was sent, on the local monotonic clock.
        """
        if notice.from_addressed_replica and not notice.unreadable:
            if notice.limit_per_s is None:
                self._limits.record_limit_absent(replica.instance, sent_at=sent_at)
            if notice.brittle_per_s is None:
                self._brittle.record_limit_absent(replica.instance, sent_at=sent_at)
        self.apply(replica, notice, sent_at=sent_at)

    def apply(self, replica: Replica, notice: ReplicaNotice, *, sent_at: float) -> None:
        """Apply the notice in the answer to a call.

        Args:
            replica: The replica that the call was sent to.
            notice: The notice in the answer.
            sent_at: When the call was sent, on the local monotonic clock.
        """
        if notice in _EMPTY_NOTICES:
            return
        if notice.unreadable:
            self._count("unreadable")
            self._log.info(
                "A replica sent a notice that cannot be read.",
                instance=replica.instance,
                notice=notice.unreadable,
            )
        if notice.backoff_s:
            self._count("backoff")
            self._directory.record_backoff(replica.record.replica_id, notice.backoff_s)
            self._log.info(
                "A replica asked for a back-off.",
                instance=replica.instance,
                service=replica.record.service,
                seconds=round(notice.backoff_s, 3),
                running=replica.running,
            )
        if notice.limit_per_s is not None:
            self._count("limit")
            self._limits.record_limit_named(replica.instance, notice.limit_per_s, sent_at=sent_at)
        if notice.brittle_per_s is not None:
            self._count("brittle")
            self._brittle.record_limit_named(
                replica.instance, notice.brittle_per_s, sent_at=sent_at
            )
        for name in notice.unknown:
            self._record_unknown(replica, name)
        # This includes a replica whose row was removed: the row may come back, and the directory
        # keeps the mark that its incarnation is leaving.
        if notice.leaving and not self._directory.is_leaving(replica.instance):
            self._count("leaving")
            self._directory.record_leaving(replica.instance, LeavingSource.ANSWER)
            for listener in self.on_leaving:
                listener(replica.instance)

    def _record_unknown(self, replica: Replica, name: str) -> None:
        """Log a notice name that this build does not know, once for each replica and name."""
        key = f"{replica.instance} {name}"
        if key in self._unknown:
            return
        self._unknown.record(key, None)
        self._count("unknown")
        self._log.info(
            "A replica sent a notice that this build does not know.",
            instance=replica.instance,
            service=replica.record.service,
            notice=name,
        )

    def notice_handler(self, replica_id: str) -> NoticeHandler:
        """Return the handler for the notice in the answer to a call that is about to be sent.

        The handler is bound to the incarnation that is known now, as a newer one may be known
        when the answer arrives.

        Args:
            replica_id: The id of the replica that the call will be sent to.
        """
        replica = self._directory.find_by_id(replica_id)
        if replica is None:
            return ignore_notice
        return partial(self.apply, replica, sent_at=monotonic())


def ignore_notice(notice: ReplicaNotice) -> None:
    """Ignore a notice, for instance that of an unknown replica."""
