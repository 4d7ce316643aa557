"""Decides what a box that is being stopped still sends to replicas."""

from __future__ import annotations

import math

from springrock.clock import monotonic
from springrock.forwarding.errors import NoReplica

LEAST_RUN_S = 1.0
"""Time that is kept for the run of a request, and for the waits for it that are not bounded."""


class PlannedStop:
    """The planned stop of this box; until one begins, everything may be sent.

    What is sent too late ends with the box, without an answer and with an unknown outcome. A
    request that is refused before that has not run, and another box can serve it.

    Attributes:
        ends_at: When the box ends, on the local monotonic clock.
    """

    def __init__(self) -> None:
        self.ends_at = math.inf

    def begin(self, *, ends_at: float) -> None:
        """Begin the stop."""
        self.ends_at = ends_at

    def check(self, *, run_s: float) -> None:
        """Raise if a run that begins now does not end before the box does.

        Args:
            run_s: How long the run takes.

        Raises:
            NoReplica: If it does not.
        """
        if not self.leaves_time_for(run_s):
            raise NoReplica("stopping", 0.0)

    def leaves_time_for(self, run_s: float) -> bool:
        """Whether a run that begins now ends before the box does."""
        return monotonic() <= self.ends_at - run_s
