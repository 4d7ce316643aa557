"""Limits retries to a share of the traffic, so that they do not multiply an overload."""

from __future__ import annotations


class RetryBudget:
    """Balance of retries: each request adds a fraction of a retry, each retry costs one.

    Args:
        share: Retries added by one request.
        reserve: Maximum balance, and the balance at the start.
    """

    def __init__(self, *, share: float = 0.1, reserve: float = 20.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def earn(self) -> None:
        """Add the share of a new request to the balance."""
        self._balance = min(self._reserve, self._balance + self._share)

    def spend(self) -> bool:
        """Spend one retry; return whether the balance allowed it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
