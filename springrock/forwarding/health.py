"""Health of a replica by the outcomes of requests: failure rate, rest periods and fullness."""

from __future__ import annotations

import math
from copy import copy

from msgspec import Struct

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


class _Evidence(Struct):
    """What outcomes of requests show about a replica.

    Attributes:
        failure_rate: A moving average of the failed share of requests, as of the last outcome.
        recorded_at: When the last outcome was recorded.
        failures: Consecutive failures.
        rests: Rest periods since the last success.
        rest_until: When the last rest period ends.
    """

    failure_rate: float = 0.0
    recorded_at: float = 0.0
    failures: int = 0
    rests: int = 0
    rest_until: float = 0.0

    def add_success(self, now: float) -> None:
        self.recorded_at = now
        self.failures = 0
        self.rests = 0
        self.failure_rate *= 1 - _RATE_STEP

    def add_failure(self, now: float) -> None:
        self.recorded_at = now
        self.failures += 1
        self.failure_rate += (1 - self.failure_rate) * _RATE_STEP
        if self.failures >= _FAILURES_TO_REST:
            self._start_rest(now)

    def add_silence(self, now: float) -> None:
        """Add a silence; one during a rest period adds nothing, as it is the same silence."""
        if now >= self.rest_until:
            self.add_failure(now)

    def add_unreachable(self, now: float) -> None:
        self.failures += 1
        self._start_rest(now)

    def _start_rest(self, now: float) -> None:
        if now < self.rest_until:
            return
        self.rest_until = now + min(_MAX_REST_S, _MIN_REST_S * 2**self.rests)
        self.rests += 1


class Health:
    """The health of one replica, by the outcomes of requests of this box.

    A rest period is a time in which the replica should get no requests, after failures. Rest
    periods double from one to the next until a request succeeds.

    A failure is a fact, a silence only a suspicion: a replica that was paused is as sound as before
    once it runs again. So what silences add is kept apart, and dropped when the replica is heard.
    """

    def __init__(self) -> None:
        self._known = _Evidence()
        self._suspected: _Evidence | None = None
        self._full_at: float | None = None
        self._heard_at = -math.inf

    @property
    def failure_rate(self) -> float:
        """A moving average of the failed share of requests, as of the last outcome.

        It does not decay with time; see `recent_failure_rate`.
        """
        return self._evidence.failure_rate

    @property
    def resting(self) -> bool:
        """Whether the replica is in a rest period."""
        return monotonic() < self._evidence.rest_until

    @property
    def rest_left_s(self) -> float:
        """Seconds until the rest period ends; 0 if there is none."""
        return max(0.0, self._evidence.rest_until - monotonic())

    @property
    def recent_failure_rate(self) -> float:
        """The failure rate, halved for each half-life that passed since the last outcome."""
        evidence = self._evidence
        if not evidence.failure_rate:
            return 0.0
        return evidence.failure_rate * _decay_factor(evidence.recorded_at, _FAILURE_HALF_LIFE_S)

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
        now = monotonic()
        for evidence in self._all_evidence():
            evidence.add_success(now)

    def record_failure(self) -> None:
        """Record an exchange that failed after the replica was reached."""
        now = monotonic()
        for evidence in self._all_evidence():
            evidence.add_failure(now)

    def record_unreachable(self) -> None:
        """Record that no connection could be opened."""
        now = monotonic()
        for evidence in self._all_evidence():
            evidence.add_unreachable(now)

    def record_silence(self, *, for_s: float) -> None:
        """Record an exchange in which the replica has sent nothing for too long.

        If it has sent something in another exchange in the second half of that time, it runs, and
        the exchange counts as failed.

        Args:
            for_s: How long it has sent nothing in this exchange, in seconds.
        """
        now = monotonic()
        if now - self._heard_at < for_s / 2:
            self.record_failure()
            return
        if self._suspected is None:
            self._suspected = copy(self._known)
        self._suspected.add_silence(now)

    def record_heard(self) -> None:
        """Record that the replica has sent something, in whatever exchange.

        That refutes that it is silent; what else was recorded remains.
        """
        self._heard_at = monotonic()
        self._suspected = None

    @property
    def _evidence(self) -> _Evidence:
        return self._suspected or self._known

    def _all_evidence(self) -> tuple[_Evidence, ...]:
        return (self._known,) if self._suspected is None else (self._known, self._suspected)


def _decay_factor(since: float, half_life_s: float) -> float:
    """Return 0.5 to the power of the half-lives since a time on the local monotonic clock."""
    return math.exp2((since - monotonic()) / half_life_s)
