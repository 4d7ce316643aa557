"""Finds out whether replicas that run the same stream are at work, where none of them is heard."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from springrock.clock import monotonic
from springrock.forwarding.directory import Replica

_INTERVAL_S = 0.5
"""A replica is not asked again, and one that was heard is not asked at all, within this time."""


class WorkProbe:
    """Asks model replicas for a report, which one that is paused does not answer.

    A replica that works slowly on a single stream is heard as rarely as a paused one.

    Args:
        answers: Whether a replica answers now; waits briefly.
    """

    def __init__(self, answers: Callable[[Replica], bool] = lambda replica: False) -> None:
        self._answers = answers

    def ask(self, replica: Replica) -> None:
        """Ask a replica in a task of its own; its `at_work_at` tells that it has answered."""
        now = monotonic()
        known_at = max(replica.heard_at, replica.at_work_at, replica.probed_at)
        if not replica.record.models or now - known_at < _INTERVAL_S:
            return
        replica.probed_at = now
        gevent.spawn(self._ask, replica)

    def _ask(self, replica: Replica) -> None:
        if self._answers(replica):
            replica.at_work_at = monotonic()
