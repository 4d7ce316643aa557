"""Estimates how long a request at an owned replica waits until it starts."""

from __future__ import annotations

from collections.abc import Callable

from springrock.serving.estimate import Estimate
from springrock.serving.residency import Residency
from springrock.serving.waiting import Waiter, WaitQueue
from springrock.wire import peer as wire


class StartForecast:
    """Estimates waits from the running and waiting requests and the adapter loads of one replica.

    All times are in seconds.

    Args:
        waiting: The waiting requests.
        residency: The loaded adapters.
        estimate: Moving averages of the times of loads and requests.
        min_load_s: Minimum duration of a load.
        running: Returns the number of requests that may be running.
        running_limit: Returns the maximum number of running requests.
    """

    def __init__(
        self,
        *,
        waiting: WaitQueue,
        residency: Residency,
        estimate: Estimate,
        min_load_s: float,
        running: Callable[[], int],
        running_limit: Callable[[], int],
    ) -> None:
        self._waiting = waiting
        self._residency = residency
        self._estimate = estimate
        self._min_load_s = min_load_s
        self._running = running
        self._running_limit = running_limit

    def expected_wait_s(self, ask: wire.Ask) -> float:
        """Return the expected wait of a permit request that arrives now."""
        batch_wait_s = self._batch_wait_s()
        if self._residency.ready(ask.adapter):
            return batch_wait_s
        return max(batch_wait_s, self._load_wait_s(ask))

    def queue_wait_s(self, waiter: Waiter) -> float:
        """Return the expected time until the requests that wait now have started.

        Suggested to a refused caller as the delay before a retry.
        """
        batch_wait_s = max(self._batch_wait_s(), self._estimate.service_s)
        if self._residency.ready(waiter.ask.adapter):
            return batch_wait_s
        loads = len(set(self._waiting.adapters) - set(self._residency.ready_adapters))
        return max(batch_wait_s, loads * self._estimate.load_s)

    def min_wait_s(self, waiter: Waiter) -> float:
        """Return the minimum time that a request has still to wait."""
        adapter = waiter.ask.adapter
        if self._residency.ready(adapter) or adapter == self._residency.loading:
            return 0.0
        return self._min_load_s

    def _batch_wait_s(self) -> float:
        limit = max(1, self._running_limit())
        excess = self._running() + self._count_ready_waiters() - limit + 1
        return max(0, excess) / limit * self._estimate.service_s

    def _count_ready_waiters(self) -> int:
        return sum(self._residency.ready(waiter.ask.adapter) for waiter in self._waiting)

    def _load_wait_s(self, ask: wire.Ask) -> float:
        if ask.adapter == self._residency.loading:
            return self._estimate.load_s / 2
        wants = self._waiting.wants(
            self._residency.ready, load_s=self._estimate.load_s, token_s=self._estimate.token_s
        )
        worth_here = (
            sum(want.worth_in_time for want in wants if want.adapter == ask.adapter) + ask.worth
        )
        ahead = sum(
            want.worth_in_time >= worth_here for want in wants if want.adapter != ask.adapter
        )
        return (ahead + 1) * self._estimate.load_s
