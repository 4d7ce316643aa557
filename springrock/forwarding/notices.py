"""Takes what replicas tell of themselves in their answers, whoever got the answer.

The store tells of a replica late, or not at all while it is silent; its answers come from itself.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from springrock.forwarding.dialect import NO_NOTICE, ReplicaNotice
from springrock.forwarding.directory import Directory, LeavingSign, Replica
from springrock.log import Log

NoticeTaker = Callable[[ReplicaNotice], None]
"""Takes what the answer to one call told of the replica that the call was sent to."""


class ReplicaNotices:
    """Notes what answers tell of replicas, before anything else becomes of the answers.

    Args:
        directory: The known replicas.
        log: The log to write to.
        count: Called with one word for each thing told.

    Attributes:
        on_leaving: Called with a replica's incarnation when an answer was the first to tell that
            it leaves.
    """

    def __init__(
        self, directory: Directory, *, log: Log, count: Callable[[str], None] = lambda word: None
    ) -> None:
        self._directory = directory
        self._log = log
        self._count = count
        self.on_leaving: list[Callable[[str], None]] = []

    def take(self, replica: Replica, notice: ReplicaNotice) -> None:
        """Take what an answer told of the replica that the request was sent to."""
        if notice is NO_NOTICE:
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
            self._directory.note_backoff(replica.record.replica_id, notice.backoff_s)
            self._log.say(
                "A replica asks for rest.",
                instance=replica.instance,
                service=replica.record.service,
                seconds=round(notice.backoff_s, 3),
                running=replica.running,
            )
        if notice.limit_per_s is not None and notice.limit_per_s != replica.limit_per_s:
            self._count("limit")
            replica.limit_per_s = notice.limit_per_s
            self._log.say(
                "A replica names its limit.",
                instance=replica.instance,
                service=replica.record.service,
                per_s=notice.limit_per_s,
                running=replica.running,
            )
        # One whose row went may come back: what it said is remembered of its incarnation.
        if notice.leaving and not self._directory.is_leaving(replica.instance):
            self._count("leaving")
            self._directory.note_leaving(replica.instance, LeavingSign.ANSWER)
            for listener in self.on_leaving:
                listener(replica.instance)

    def taker(self, replica_id: str) -> NoticeTaker:
        """Return what takes the answer to a call that is about to be sent to the replica of an id.

        It binds the start that is known now: by the time of the answer a later one may stand there.
        """
        replica = self._directory.find_id(replica_id)
        return pass_over if replica is None else partial(self.take, replica)


def pass_over(notice: ReplicaNotice) -> None:
    """Take the notice of a replica that is not known, or of which nobody learns."""
