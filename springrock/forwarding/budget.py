"""The budget of retries of one service, kept so that all boxes together stay within it.

Boxes that cannot speak to each other still share one budget: each spends only the retries that
its own requests earn, and its part of the fixed allowance.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from springrock.clock import monotonic

_SAFETY_FACTOR = 0.8
"""The part of the budget that is used; the rest covers windows that do not line up."""


class RetryLimits(NamedTuple):
    """What a box may spend on retries.

    Attributes:
        ratio: Retries allowed for each request of the window.
        allowance: Retries allowed in a window beside that, for this box.
        window_s: The length of the window in seconds.
    """

    ratio: float
    allowance: float
    window_s: float


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
        limits: Returns the limits in force now; what was counted stands when they change.
    """

    def __init__(self, limits: Callable[[], RetryLimits]) -> None:
        self._limits = limits
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self) -> None:
        """Count a request that a client sent."""
        self._requests.append(monotonic())

    def try_spend(self) -> bool:
        """Take one retry out; return whether there was one."""
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
