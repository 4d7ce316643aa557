"""A budget of retries: a share of traffic, so that retries never multiply an overload."""

from __future__ import annotations


class RetryBudget:
    """Each request earns a part of a retry; each retry spends one.

    Args:
        share: Retries earned by one request.
        reserve: The most that can be saved up, and what there is at the start.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 20.0) -> None:
        self._share = share
        self._reserve = reserve
        self._saved = reserve

    def earn(self) -> None:
        """Note a first try."""
        self._saved = min(self._reserve, self._saved + self._share)

    def spend(self) -> bool:
        """Take one retry out; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
