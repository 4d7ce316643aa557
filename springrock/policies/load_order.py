"""Load order policies: by the worth of the waiting requests, or in order of arrival."""

from __future__ import annotations

from collections.abc import Sequence

from springrock.policies import Want, load_orders

_MAX_ADAPTER_WAIT_S = 4.0
"""An adapter whose oldest request has waited longer is loaded first, so that rarely requested
adapters do not starve."""


class WorthOrder:
    """Loads first the adapter whose requests have the most worth among those still in time.

    Adapters whose requests have waited too long are loaded before the others.
    """

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Return the adapter to load; `wants` is not empty."""

        def _priority_key(want: Want) -> tuple[bool, float, float]:
            waited_too_long = now - want.oldest_at > _MAX_ADAPTER_WAIT_S
            overdue = waited_too_long and want.worth_in_time > 0
            rank_value = -want.oldest_at if overdue else want.worth_in_time
            return overdue, rank_value, -want.order

        return max(wants, key=_priority_key)


class ArrivalOrder:
    """Loads in order of arrival; a baseline for comparisons."""

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Return the adapter to load; `wants` is not empty."""
        return min(wants, key=lambda want: want.order)


load_orders.register("worth")(WorthOrder())
load_orders.register("arrival")(ArrivalOrder())
