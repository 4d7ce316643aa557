"""Tells whether a box fails all requests by a fault of its own."""

from __future__ import annotations

from springrock.clock import monotonic

_FAULTS_IN_A_ROW = 10
_RETRY_AFTER_S = 5.0
"""How long after its latest fault a failing box counts as failing. Without requests it could not
show that the cause is gone."""


class FaultWatch:
    """Counts the requests in a row that ended by an unexpected exception in this box."""

    def __init__(self) -> None:
        self._in_a_row = 0
        self._latest_at = float("-inf")

    @property
    def failing(self) -> bool:
        """Whether the latest requests all failed, and not long ago."""
        if self._in_a_row < _FAULTS_IN_A_ROW:
            return False
        return monotonic() - self._latest_at < _RETRY_AFTER_S

    def record_fault(self) -> None:
        """Record a request that ended by a fault."""
        self._in_a_row += 1
        self._latest_at = monotonic()

    def record_handled(self) -> None:
        """Record a request that got its reply, whatever that says."""
        self._in_a_row = 0
