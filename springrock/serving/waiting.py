"""Requests that wait at the owner of a replica for an adapter load or a place in the batch."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from expression import Error, Ok, Result
from gevent.event import AsyncResult

from springrock.clock import Deadline, monotonic
from springrock.errors import Refusal
from springrock.policies import Want
from springrock.wire import peer as wire

_RUN_TIME_MARGIN = 1.15
_RUN_START_S = 0.05


def estimate_run_s(tokens: int, token_s: float) -> float:
    """Return a conservative estimate of the duration of a run.

    Args:
        tokens: Number of tokens requested.
        token_s: Mean time per token.
    """
    return _RUN_START_S + tokens * token_s * _RUN_TIME_MARGIN


class Waiter:
    """One waiting permit request.

    Attributes:
        ask: The permit request.
        holder: The box that sent it and will hold the permit.
        arrived_at: Time of arrival on the local monotonic clock.
        stalled: Whether its adapter was not ready on arrival.
        ready_at: Time at which its adapter became ready.
        permit: Number of its permit, once granted.
    """

    def __init__(self, ask: wire.Ask, holder: str, *, stalled: bool) -> None:
        self.ask = ask
        self.holder = holder
        self.stalled = stalled
        self.arrived_at = monotonic()
        self.deadline = Deadline(ask.deadline_s)
        self.ready_at = self.arrived_at
        self.permit: int | None = None
        self._result: AsyncResult[Result[wire.Grant, Refusal]] = AsyncResult()

    def wait(self) -> Result[wire.Grant, Refusal]:
        """Wait for the grant or the refusal."""
        result = self._result.get()
        assert result is not None
        return result

    def grant(self, grant: wire.Grant) -> None:
        """End the wait with a permit."""
        self.permit = grant.permit
        self._result.set(Ok(grant))

    def refuse(self, refusal: Refusal) -> None:
        """End the wait with a refusal."""
        self._result.set(Error(refusal))

    def latest_start_at(self, token_s: float) -> float:
        """Return the latest start time that still allows a complete answer before the deadline."""
        return self.deadline.at - estimate_run_s(self.ask.max_tokens, token_s)


class WaitQueue:
    """The waiting requests of one replica, in order of arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._counts_by_adapter: Counter[str] = Counter()
        self._arrival_orders: dict[str, int] = {}
        self._arrivals = 0

    def add(self, waiter: Waiter) -> None:
        """Append a waiter."""
        self._waiters.append(waiter)
        adapter = waiter.ask.adapter
        self._counts_by_adapter[adapter] += 1
        if adapter not in self._arrival_orders:
            self._arrivals += 1
            self._arrival_orders[adapter] = self._arrivals

    def remove(self, waiter: Waiter) -> bool:
        """Remove a waiter; return whether it was in the queue."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        adapter = waiter.ask.adapter
        self._counts_by_adapter[adapter] -= 1
        if not self._counts_by_adapter[adapter]:
            del self._counts_by_adapter[adapter]
            del self._arrival_orders[adapter]
        return True

    def count_for(self, adapter: str) -> int:
        """Return the number of requests that wait for an adapter."""
        return self._counts_by_adapter[adapter]

    @property
    def adapters(self) -> list[str]:
        """The adapters of the waiting requests, sorted."""
        return sorted(self._counts_by_adapter)

    def wants(self, ready: Callable[[str], bool], *, load_s: float, token_s: float) -> list[Want]:
        """Return the adapters that requests wait for and that are not ready.

        Args:
            ready: Returns whether an adapter is ready.
            load_s: Expected duration of a load.
            token_s: Mean time per token.
        """
        earliest_start = monotonic() + load_s
        groups: dict[str, list[Waiter]] = {}
        for waiter in self._waiters:
            if not ready(waiter.ask.adapter):
                groups.setdefault(waiter.ask.adapter, []).append(waiter)
        return [
            self._want(adapter, group, earliest_start, token_s) for adapter, group in groups.items()
        ]

    def _want(
        self, adapter: str, group: list[Waiter], earliest_start: float, token_s: float
    ) -> Want:
        latest_starts = [waiter.latest_start_at(token_s) for waiter in group]
        worth = sum(
            waiter.ask.worth
            for waiter, latest_start in zip(group, latest_starts, strict=True)
            if latest_start >= earliest_start
        )
        return Want(
            adapter=adapter,
            waiting=len(group),
            worth_in_time=worth,
            oldest_at=group[0].arrived_at,
            first_deadline_at=min(latest_starts),
            order=self._arrival_orders[adapter],
        )

    def __iter__(self) -> Iterator[Waiter]:
        return iter(list(self._waiters))

    def __len__(self) -> int:
        return len(self._waiters)
