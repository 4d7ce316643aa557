"""Health of a replica by the outcomes of requests: failure rate, rest periods and fullness."""

from __future__ import annotations

import math

from springrock.clock import monotonic

_MIN_REST_S = 0.3
_MAX_REST_S = 4.0
_RATE_STEP = 0.15
"""The weight of one outcome in the moving average of the failure rate."""

_FAILURES_TO_REST = 2
"""Consecutive failures after which a reachable replica gets a rest period."""


_FULL_HALF_LIFE_S = 0.05
"""How fast the assumption that a full replica is still full decays. It is short because one of the
several requests that run at once ends soon."""

_FAILURE_HALF_LIFE_S = 20.0
"""How fast past failures lose their effect on the choice of replicas. Without this decay a replica
that failed might get no more requests, and so could not reduce its rate by a success."""


class Health:
    """The health of one replica, by the outcomes of requests of this box.

    A rest period is a time in which the replica should get no requests, after failures. Rest
    periods double from one to the next until a request succeeds.

    Attributes:
        failure_rate: A moving average of the failed share of requests, as of the last outcome. It
            does not decay with time; see `recent_failure_rate`.
    """

    def __init__(self) -> None:
        self._recorded_at = 0.0
        self._full_at: float | None = None
        self._consecutive_failures = 0
        self._consecutive_rests = 0
        self._rest_until = 0.0
        self.failure_rate = 0.0

    @property
    def resting(self) -> bool:
        """Whether the replica is in a rest period."""
        return monotonic() < self._rest_until

    @property
    def rest_left_s(self) -> float:
        """Seconds until the rest period ends; 0 if there is none."""
        return max(0.0, self._rest_until - monotonic())

    @property
    def recent_failure_rate(self) -> float:
        """The failure rate, halved for each half-life that passed since the last outcome."""
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * _decay_factor(self._recorded_at, _FAILURE_HALF_LIFE_S)

    @property
    def full_likelihood(self) -> float:
        """The likelihood that the replica is still full, decaying from 1 after a report to 0."""
        if self._full_at is None:
            return 0.0
        return _decay_factor(self._full_at, _FULL_HALF_LIFE_S)

    def record_full(self) -> None:
        """Record that the replica did not run a request because it was full."""
        self._full_at = monotonic()

    def record_success(self) -> None:
        """Record an answer."""
        self._recorded_at = monotonic()
        self._consecutive_failures = 0
        self._consecutive_rests = 0
        self.failure_rate *= 1 - _RATE_STEP

    def record_failure(self) -> None:
        """Record an exchange that failed after the replica was reached."""
        self._recorded_at = monotonic()
        self._consecutive_failures += 1
        self.failure_rate += (1 - self.failure_rate) * _RATE_STEP
        if self._consecutive_failures >= _FAILURES_TO_REST:
            self._start_rest()

    def record_unreachable(self) -> None:
        """Record that no connection could be opened."""
        self._consecutive_failures += 1
        self._start_rest()

    def _start_rest(self) -> None:
        if self.resting:
            return
        self._rest_until = monotonic() + min(_MAX_REST_S, _MIN_REST_S * 2**self._consecutive_rests)
        self._consecutive_rests += 1


def _decay_factor(since: float, half_life_s: float) -> float:
    """Return 0.5 to the power of the half-lives since a time on the local monotonic clock."""
    return math.exp2((since - monotonic()) / half_life_s)
