"""Decides when one of two replicas that run the same stream is given up."""

from __future__ import annotations

_HEARD_WITHIN_S = 1.0
"""A replica that was heard within this time is at work."""

_MAX_OVERLAP_S = 0.2


class Overlap:
    """The time in which two replicas are both at work on one stream.

    A paused replica works on nothing, so its run may be kept for as long as it takes. One that is
    heard on any connection, or answers a probe, is at work. The earlier of two such runs is given
    up: it alone has had the time to go on.
    """

    def __init__(self) -> None:
        self._earlier_at_work_since: float | None = None

    def is_too_long(
        self, *, now: float, earlier_heard_at: float, later_sent_at: float, later_heard_at: float
    ) -> bool:
        """Whether the earlier run is to be given up now; to be asked every tenth of a second.

        Args:
            now: The local monotonic clock.
            earlier_heard_at: When the replica of the earlier run was last heard.
            later_sent_at: When the other replica was sent the request.
            later_heard_at: When that one was last heard.
        """
        if now - earlier_heard_at > _HEARD_WITHIN_S:
            self._earlier_at_work_since = None
            return False
        if self._earlier_at_work_since is None:
            self._earlier_at_work_since = now
        if later_heard_at <= later_sent_at:
            return False
        return now - max(self._earlier_at_work_since, later_sent_at) >= _MAX_OVERLAP_S
