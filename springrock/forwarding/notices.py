"""Takes what replicas tell of themselves in their answers, whoever got the answer.

The store tells of a replica late, or not at all while it is silent; its answers come from itself.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from springrock.clock import monotonic
from springrock.forwarding.dialect import NO_NOTICE, NOTHING_SAID, ReplicaNotice
from springrock.forwarding.directory import Directory, LeavingSign, Replica
from springrock.log import Log
from springrock.permits.named_limits import NamedLimits
from springrock.remembered import Remembered

_UNKNOWN_KEPT = 1000
"""So many replicas with a name that this build does not know are remembered as shown."""

_SAYS_NOTHING = (NO_NOTICE, NOTHING_SAID)

NoticeTaker = Callable[[ReplicaNotice], None]
"""Takes what the answer to one call told of the replica that the call was sent to."""


class ReplicaNotices:
    """Notes what answers tell of replicas, before anything else becomes of the answers.

    Args:
        directory: The known replicas.
        limits: Learns the limits that replicas name.
        log: The log to write to.
        count: Called with one word for each thing told.

    Attributes:
        on_leaving: Called with a replica's incarnation when an answer was the first to tell that
            it leaves.
    """

    def __init__(
        self,
        directory: Directory,
        *,
        limits: NamedLimits,
        log: Log,
        count: Callable[[str], None] = lambda word: None,
    ) -> None:
        self._directory = directory
        self._limits = limits
        self._log = log
        self._count = count
        self._unknown: Remembered[None] = Remembered(at_most=_UNKNOWN_KEPT)
        self.on_leaving: list[Callable[[str], None]] = []

    def handle_answer(self, replica: Replica, notice: ReplicaNotice, *, sent_at: float) -> None:
        """Take what the answer to a request that was sent at a time told of its replica.

        One that names no limit tells that none stands; answers to orders and reports do not.
        """
        if notice.of_replica and notice.limit_per_s is None and not notice.unreadable:
            self._limits.record_silent(replica.instance, sent_at=sent_at)
        self.apply(replica, notice, sent_at=sent_at)

    def apply(self, replica: Replica, notice: ReplicaNotice, *, sent_at: float) -> None:
        """Take what an answer told of the replica that the call was sent to at a time."""
        if notice in _SAYS_NOTHING:
            return
        if notice.unreadable:
            self._count("unreadable")
            self._log.say(
                "A replica says what cannot be understood.",
                instance=replica.instance,
                said=notice.unreadable,
            )
        if notice.backoff_s:
            self._count("backoff")
            self._directory.record_backoff(replica.record.replica_id, notice.backoff_s)
            self._log.say(
                "A replica asks for rest.",
                instance=replica.instance,
                service=replica.record.service,
                seconds=round(notice.backoff_s, 3),
                running=replica.running,
            )
        if notice.limit_per_s is not None:
            self._count("limit")
            self._limits.record_limit_named(replica.instance, notice.limit_per_s, sent_at=sent_at)
        for word in notice.unknown:
            self._record_unknown(replica, word)
        # One whose row went may come back: what it said is remembered of its incarnation.
        if notice.leaving and not self._directory.is_leaving(replica.instance):
            self._count("leaving")
            self._directory.record_leaving(replica.instance, LeavingSign.ANSWER)
            for listener in self.on_leaving:
                listener(replica.instance)

    def _record_unknown(self, replica: Replica, word: str) -> None:
        """Show that a replica says what no part reads, once for each replica and name."""
        said = f"{replica.instance} {word}"
        if said in self._unknown:
            return
        self._unknown.record(said, None)
        self._count("unknown")
        self._log.say(
            "A replica says what this build does not know.",
            instance=replica.instance,
            service=replica.record.service,
            said=word,
        )

    def notice_handler(self, replica_id: str) -> NoticeTaker:
        """Return what takes the answer to a call that is about to be sent to the replica of an id.

        It binds the start that is known now: by the time of the answer a later one may stand there.
        """
        replica = self._directory.find_id(replica_id)
        if replica is None:
            return pass_over
        return partial(self.apply, replica, sent_at=monotonic())


def pass_over(notice: ReplicaNotice) -> None:
    """Take the notice of a replica that is not known, or of which nobody learns."""
