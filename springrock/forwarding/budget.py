"""The retry budget of a service, which all boxes together do not exceed.

No communication between boxes is needed: each box spends only the retries that its own requests
allow, plus its part of the fixed allowance.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from springrock.clock import monotonic

_SAFETY_FACTOR = 0.8
"""Fraction of the budget that is used. The rest allows for windows of boxes that do not align."""


class RetryLimits(NamedTuple):
    """What a box may spend on retries.

    Attributes:
        ratio: Retries allowed for each request of the window.
        allowance: Retries allowed to this box in a window in addition to the ratio.
        window_s: The length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryDecision(NamedTuple):
    """Whether a retry was allowed, and by what.

    Attributes:
        request: The id of the request.
        allowed: Whether the retry was allowed.
        requests: The requests counted in the window.
        retries: The retries spent in the window before.
        allowance: This box's part of the fixed allowance.
    """

    request: str
    allowed: bool
    requests: int
    retries: int
    allowance: float


def _ignore_decision(decision: RetryDecision) -> None:
    pass


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
        limits: Returns the current limits; a change keeps the requests and retries counted so far.
        on_decision: Called with each decision on a retry.
    """

    def __init__(
        self,
        limits: Callable[[], RetryLimits],
        *,
        on_decision: Callable[[RetryDecision], None] = _ignore_decision,
    ) -> None:
        self._limits = limits
        self._on_decision = on_decision
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count a client's request."""
        self._requests.append(monotonic())

    def allows_retry(self) -> bool:
        """Whether a retry would be allowed now; spends nothing."""
        limits = self._limits()
        self._drop_expired(older_than_s=limits.window_s)
        return len(self._retries) + 1 <= self._limit(limits)

    def try_spend(self, *, request: str = "") -> bool:
        """Spend one retry if the budget allows it; return whether it does.

        Args:
            request: The id of the request.
        """
        limits = self._limits()
        self._drop_expired(older_than_s=limits.window_s)
        retries = len(self._retries)
        allowed = retries + 1 <= self._limit(limits)
        self._on_decision(
            RetryDecision(request, allowed, len(self._requests), retries, limits.allowance)
        )
        if allowed:
            self._retries.append(monotonic())
        return allowed

    def _limit(self, limits: RetryLimits) -> float:
        return (limits.ratio * len(self._requests) + limits.allowance) * _SAFETY_FACTOR

    def _drop_expired(self, *, older_than_s: float) -> None:
        oldest_kept = monotonic() - older_than_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_kept:
                times.popleft()
