"""What requests have seen of a replica: how often it failed, and whether to leave it alone."""

from __future__ import annotations

from springrock.clock import monotonic

_FIRST_REST_S = 0.3
_LONGEST_REST_S = 4.0
_RATE_STEP = 0.15
"""How far one outcome moves the failure rate."""

_FAILURES_TO_REST = 2
"""Failures in a row after which a replica that can be reached is left alone."""


class Health:
    """The evidence on one replica; a failure rate decays only by later successes."""

    def __init__(self) -> None:
        self._in_a_row = 0
        self._rests = 0
        self._rest_until = 0.0
        self.failure_rate = 0.0

    @property
    def resting(self) -> bool:
        """Whether the replica is left alone now."""
        return monotonic() < self._rest_until

    @property
    def rest_left_s(self) -> float:
        """Seconds until it is tried again."""
        return max(0.0, self._rest_until - monotonic())

    def note_success(self) -> None:
        """Note an answer."""
        self._in_a_row = 0
        self._rests = 0
        self.failure_rate *= 1 - _RATE_STEP

    def note_failure(self) -> None:
        """Note an exchange that failed after the replica was reached."""
        self._in_a_row += 1
        self.failure_rate += (1 - self.failure_rate) * _RATE_STEP
        if self._in_a_row >= _FAILURES_TO_REST:
            self._rest()

    def note_unreachable(self) -> None:
        """Note that no connection came up."""
        self._in_a_row += 1
        self._rest()

    def _rest(self) -> None:
        if self.resting:
            return
        self._rest_until = monotonic() + min(_LONGEST_REST_S, _FIRST_REST_S * 2**self._rests)
        self._rests += 1
