"""The budget of retries of one service, kept so that all boxes together stay within it.

Boxes that cannot speak to each other still share one budget: each spends only the retries that
its own requests earn, and its part of the fixed allowance.
"""

from __future__ import annotations

from collections import deque

from springrock.clock import monotonic

_CAUTION = 0.8
"""The part of the budget that is used; the rest covers windows that do not line up."""


class RetryBudget:
    """Counts requests and retries in a sliding window.

    Args:
        ratio: Retries allowed for each request of the window.
        allowance: Retries allowed in a window beside that, for this box.
        window_s: The length of the window in seconds.
    """

    def __init__(self, *, ratio: float, allowance: float, window_s: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count a request that a client sent."""
        self._requests.append(monotonic())

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        self._forget()
        allowed = (self._ratio * len(self._requests) + self._allowance) * _CAUTION
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(monotonic())
        return True

    def _forget(self) -> None:
        horizon = monotonic() - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < horizon:
                times.popleft()
