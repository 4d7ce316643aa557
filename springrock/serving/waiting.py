"""The requests that wait at the owner of a replica, for a load or for a place in the batch."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from expression import Error, Ok, Result
from gevent.event import AsyncResult

from springrock.clock import Deadline, monotonic
from springrock.errors import Refusal
from springrock.policies import Want
from springrock.wire import peer as wire

_SAFETY = 1.15
_START_S = 0.05


def run_estimate_s(tokens: int, token_s: float) -> float:
    """Return the time to allow for a run, on the safe side.

    Args:
        tokens: How many tokens are asked for.
        token_s: The usual time of a token.
    """
    return _START_S + tokens * token_s * _SAFETY


class Waiter:
    """One request that waits.

    Attributes:
        ask: What was asked.
        holder: The box that asked.
        arrived_at: When, on the local monotonic clock.
        stalled: Whether its adapter was not loaded on arrival.
        ready_at: When its adapter became ready.
        permit: The number of its permit, once granted.
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
        """Wait for the decision."""
        result = self._result.get()
        assert result is not None
        return result

    def grant(self, grant: wire.Grant) -> None:
        """Let the request go."""
        self.permit = grant.permit
        self._result.set(Ok(grant))

    def refuse(self, refusal: Refusal) -> None:
        """End the wait without a permit."""
        self._result.set(Error(refusal))

    def last_start_at(self, token_s: float) -> float:
        """Return the last time at which a start still gives a whole answer in time."""
        return self.deadline.at - run_estimate_s(self.ask.max_tokens, token_s)


class WaitingRoom:
    """All waiters of one replica, in order of arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._by_adapter: Counter[str] = Counter()
        self._first_order: dict[str, int] = {}
        self._orders = 0

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self._waiters.append(waiter)
        adapter = waiter.ask.adapter
        self._by_adapter[adapter] += 1
        if adapter not in self._first_order:
            self._orders += 1
            self._first_order[adapter] = self._orders

    def remove(self, waiter: Waiter) -> bool:
        """Take a waiter out; return whether it was in."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        adapter = waiter.ask.adapter
        self._by_adapter[adapter] -= 1
        if not self._by_adapter[adapter]:
            del self._by_adapter[adapter]
            del self._first_order[adapter]
        return True

    def waiting_for(self, adapter: str) -> int:
        """Return how many wait for an adapter."""
        return self._by_adapter[adapter]

    @property
    def adapters(self) -> list[str]:
        """The adapters waited for, sorted."""
        return sorted(self._by_adapter)

    def wants(self, ready: Callable[[str], bool], *, load_s: float, token_s: float) -> list[Want]:
        """Return what should be loaded: the adapters waited for that are not ready.

        Args:
            ready: Tells whether an adapter is ready.
            load_s: How long a load takes.
            token_s: How long a token takes.
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
        last_starts = [waiter.last_start_at(token_s) for waiter in group]
        worth = sum(
            waiter.ask.worth
            for waiter, last_start in zip(group, last_starts, strict=True)
            if last_start >= earliest_start
        )
        return Want(
            adapter=adapter,
            waiting=len(group),
            worth_in_time=worth,
            oldest_at=group[0].arrived_at,
            first_deadline_at=min(last_starts),
            order=self._first_order[adapter],
        )

    def __iter__(self) -> Iterator[Waiter]:
        return iter(list(self._waiters))

    def __len__(self) -> int:
        return len(self._waiters)
