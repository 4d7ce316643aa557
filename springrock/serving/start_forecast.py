"""How long a request at an owned replica would wait until it starts."""

from __future__ import annotations

from collections.abc import Callable

from springrock.serving.estimate import Estimate
from springrock.serving.residency import Residency
from springrock.serving.waiting import Waiter, WaitingRoom
from springrock.wire import peer as wire


class StartForecast:
    """Reckons waits from what runs, waits and loads at one replica. All times are in seconds.

    Args:
        waiting: Who waits.
        residency: What is loaded.
        estimate: What loads and requests took lately.
        least_load_s: The least time of a load.
        running: Returns how many requests may be running.
        running_limit: Returns how many may run.
    """

    def __init__(
        self,
        *,
        waiting: WaitingRoom,
        residency: Residency,
        estimate: Estimate,
        least_load_s: float,
        running: Callable[[], int],
        running_limit: Callable[[], int],
    ) -> None:
        self._waiting = waiting
        self._residency = residency
        self._estimate = estimate
        self._least_load_s = least_load_s
        self._running = running
        self._running_limit = running_limit

    def start_s(self, ask: wire.Ask) -> float:
        """Return the expected wait of a question asked now."""
        place_s = self._place_wait_s()
        if self._residency.ready(ask.adapter):
            return place_s
        return max(place_s, self._load_wait_s(ask))

    def backlog_s(self, waiter: Waiter) -> float:
        """Return after how long what waits here now should be over."""
        place_s = max(self._place_wait_s(), self._estimate.service_s)
        if self._residency.ready(waiter.ask.adapter):
            return place_s
        loads = len(set(self._waiting.adapters) - set(self._residency.ready_adapters))
        return max(place_s, loads * self._estimate.load_s)

    def least_wait_s(self, waiter: Waiter) -> float:
        """Return the least time that a waiter has still to wait."""
        adapter = waiter.ask.adapter
        if self._residency.ready(adapter) or adapter == self._residency.loading:
            return 0.0
        return self._least_load_s

    def _place_wait_s(self) -> float:
        limit = max(1, self._running_limit())
        over = self._running() + self._ready_waiting() - limit + 1
        return max(0, over) / limit * self._estimate.service_s

    def _ready_waiting(self) -> int:
        return sum(self._residency.ready(waiter.ask.adapter) for waiter in self._waiting)

    def _load_wait_s(self, ask: wire.Ask) -> float:
        if ask.adapter == self._residency.loading:
            return self._estimate.load_s / 2
        wants = self._waiting.wants(
            self._residency.ready, load_s=self._estimate.load_s, token_s=self._estimate.token_s
        )
        mine = sum(want.worth_in_time for want in wants if want.adapter == ask.adapter) + ask.worth
        ahead = sum(want.worth_in_time >= mine for want in wants if want.adapter != ask.adapter)
        return (ahead + 1) * self._estimate.load_s
