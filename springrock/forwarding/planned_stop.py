"""Decides what a box that is being stopped still sends to replicas."""

from __future__ import annotations

import math

from springrock.clock import monotonic
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.run_times import RunTimes

_LEAST_RUN_S = 1.0
"""Time that is kept for the run of a request, and for the waits for it that are not bounded."""

_REPLY_MARGIN_S = 0.2
"""Time that is kept for sending a reply to the client."""


class PlannedStop:
    """The planned stop of this box; until one begins, everything may be sent.

    What is sent too late ends with the box, without an answer and with an unknown outcome. A
    request that is refused before that has not run, and another box can serve it.

    Args:
        run_times: How long runs usually take.

    Attributes:
        ends_at: When the box ends, on the local monotonic clock.
    """

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self.ends_at = math.inf

    def begin(self, *, ends_at: float) -> None:
        """Begin the stop."""
        self.ends_at = ends_at

    def check(self, progress: RequestProgress) -> None:
        """Raise if a run of the request that begins now would probably not end before the box.

        Raises:
            NoReplica: If that is so.
        """
        if not self.leaves_time_for(progress):
            raise NoReplica("stopping", 0.0)

    def leaves_time_for(self, progress: RequestProgress) -> bool:
        """Whether a run of the request that begins now probably ends before the box.

        A stream that has begun may always go on: it cannot be refused any more.
        """
        return progress.resuming or monotonic() <= self.ends_at - self.run_s_of(progress)

    def run_s_of(self, progress: RequestProgress) -> float:
        """Return the seconds to keep for a run: what it usually takes, at most its deadline."""
        usual_s = self._run_times.usual_s(progress.route.name)
        return max(_LEAST_RUN_S, min(usual_s, progress.left_s))

    def left_s_for(self, progress: RequestProgress) -> float:
        """Return the seconds within which another box must answer a request."""
        return min(progress.left_s, self.ends_at - _REPLY_MARGIN_S - monotonic())
