"""The retry budget of a service, which all boxes together do not exceed.

No communication between boxes is needed: each box spends only the retries that its own requests
allow, plus its share of the fixed allowance.
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


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
        limits: Returns the current limits; a change keeps the requests and retries counted so far.
    """

    def __init__(self, limits: Callable[[], RetryLimits]) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count a client's request."""
        self._requests.append(monotonic())

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        limits = self._limits()
        self._drop_expired(older_than_s=limits.window_s)
        allowed = (limits.ratio * len(self._requests) + limits.allowance) * _SAFETY_FACTOR
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(monotonic())
        return True

    def _drop_expired(self, *, older_than_s: float) -> None:
        oldest_kept = monotonic() - older_than_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_kept:
                times.popleft()
