"""Load orders: worth still in time, or order of arrival."""

from __future__ import annotations

from collections.abc import Sequence

from springrock.policies import Want, load_orders

_LONGEST_PASSING_OVER_S = 4.0
"""A want that was passed over this long goes first, so that the rare adapter is not starved."""


class WorthOrder:
    """Loads first what carries the most worth still in time; bounds the wait of the rare."""

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Choose one of at least one want."""

        def _goodness(want: Want) -> tuple[bool, float, float]:
            passed_over = now - want.oldest_at > _LONGEST_PASSING_OVER_S
            overdue = passed_over and want.worth_in_time > 0
            first = -want.oldest_at if overdue else want.worth_in_time
            return overdue, first, -want.order

        return max(wants, key=_goodness)


class ArrivalOrder:
    """Loads in order of arrival; a baseline."""

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Choose one of at least one want."""
        return min(wants, key=lambda want: want.order)


load_orders.register("worth")(WorthOrder())
load_orders.register("arrival")(ArrivalOrder())
