"""What requests have seen of a replica: how often it failed, and whether to leave it alone."""

from __future__ import annotations

import math

from springrock.clock import monotonic

_FIRST_REST_S = 0.3
_LONGEST_REST_S = 4.0
_RATE_STEP = 0.15
"""How far one outcome moves the failure rate."""

_FAILURES_TO_REST = 2
"""Failures in a row after which a replica that can be reached is left alone."""


_FULL_HALF_LIFE_S = 0.05
"""How fast a replica that said it is full is believed to have a place again: of several that run
at once one soon ends."""

_FAILURE_HALF_LIFE_S = 20.0
"""How fast failures stop to keep requests of this box away: one that is not tried shows nothing."""


class Health:
    """The evidence on one replica; a failure rate decays only by later successes.

    Attributes:
        failure_rate: The part of the latest requests that failed, as of the last one.
    """

    def __init__(self) -> None:
        self._recorded_at = 0.0
        self._full_at: float | None = None
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

    @property
    def recent_failure_rate(self) -> float:
        """The failure rate, the less so the longer ago this box saw the last outcome."""
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * _half_lives(self._recorded_at, _FAILURE_HALF_LIFE_S)

    @property
    def fullness(self) -> float:
        """How likely the replica is full yet, from 1 right after it said so down to 0."""
        if self._full_at is None:
            return 0.0
        return _half_lives(self._full_at, _FULL_HALF_LIFE_S)

    def record_full(self) -> None:
        """Note that the replica did not run a request for want of room."""
        self._full_at = monotonic()

    def record_success(self) -> None:
        """Note an answer."""
        self._recorded_at = monotonic()
        self._in_a_row = 0
        self._rests = 0
        self.failure_rate *= 1 - _RATE_STEP

    def record_failure(self) -> None:
        """Note an exchange that failed after the replica was reached."""
        self._recorded_at = monotonic()
        self._in_a_row += 1
        self.failure_rate += (1 - self.failure_rate) * _RATE_STEP
        if self._in_a_row >= _FAILURES_TO_REST:
            self._rest()

    def record_unreachable(self) -> None:
        """Note that no connection came up."""
        self._in_a_row += 1
        self._rest()

    def _rest(self) -> None:
        if self.resting:
            return
        self._rest_until = monotonic() + min(_LONGEST_REST_S, _FIRST_REST_S * 2**self._rests)
        self._rests += 1


def _half_lives(since: float, half_life_s: float) -> float:
    """Return what is left of one since a time on the local monotonic clock."""
    return math.exp2((since - monotonic()) / half_life_s)
