"""Decides when a silent run is given up for one that was begun beside it."""

from __future__ import annotations

_HEARD_WITHIN_S = 0.25
"""A replica that was heard within this time is at work."""

_MAX_OVERLAP_S = 0.3
"""Time after which at most one of two runs that are both at work is to be left."""


class Overlap:
    """The time in which two replicas run the same stream.

    A paused replica works on nothing, so its silent run may be kept for as long as it takes. One
    that is heard on other connections is at work: it would go on with a run that another replica
    has taken over.
    """

    def __init__(self) -> None:
        self._at_work_since: float | None = None

    def is_too_long(self, *, now: float, heard_at: float, sent_at: float | None) -> bool:
        """Whether the silent run is to be given up now; to be asked every tenth of a second.

        Args:
            now: The local monotonic clock.
            heard_at: When the replica that is silent in this run was last heard at all.
            sent_at: When another replica was sent the request; None if none was.
        """
        if now - heard_at > _HEARD_WITHIN_S:
            self._at_work_since = None
            return False
        if self._at_work_since is None:
            self._at_work_since = now
        if sent_at is None:
            return False
        return now - max(self._at_work_since, sent_at) >= _MAX_OVERLAP_S
