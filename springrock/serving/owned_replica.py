"""The owner's side of one replica: grants permits, and orders adapter loads and unloads.

Only the owner grants permits and orders loads and unloads, so it knows exactly which adapters
are in use. One task watches the engine (`engine_watch`), one loads adapters (`loader`) and one
reviews the waiting requests. Each permit request waits in a task of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from expression import Error, Result
from gevent.event import Event

from springrock.clock import monotonic
from springrock.coordination.permits import InheritedBook, OutstandingPermit, PermitBook
from springrock.errors import (
    Cause,
    OrderFailed,
    Refusal,
    StaleFence,
)
from springrock.log import Log
from springrock.metrics import Metrics
from springrock.policies import Eviction, LoadOrder
from springrock.serving import refusals
from springrock.serving.engine_watch import EngineWatch
from springrock.serving.estimate import Estimate
from springrock.serving.ordered_engine import OrderedEngine
from springrock.serving.residency import Residency
from springrock.serving.start_forecast import StartForecast
from springrock.serving.waiting import Waiter, WaitQueue, estimate_run_s
from springrock.settings import PolicySection, PoolSection, UpstreamSection
from springrock.wire import engine as engine_wire
from springrock.wire import peer as wire

_REVIEW_INTERVAL_S = 0.1
_PERMIT_MARGIN_S = 2.0
_CANCEL_INTERVAL_S = 1.0


class OwnedReplica:
    """One replica that this box owns.

    Args:
        upstream: The replica's settings.
        pool: The settings of its pool.
        policy: Limits of queues and permits.
        fence: Fencing number of this ownership.
        driver: Sends orders and queries to the engine.
        may_act: Returns whether this box may act as an owner now.
        eviction: Chooses the adapters to unload.
        load_order: Chooses the adapter to load next.
        log: The log to write to.
        metrics: The metrics to update.
        on_change: Called after a change of state that routing depends on.
        on_lost: Called when the engine has seen a higher fence.
    """

    def __init__(
        self,
        upstream: UpstreamSection,
        pool: PoolSection,
        policy: PolicySection,
        *,
        fence: int,
        driver: OrderedEngine,
        may_act: Callable[[], bool],
        eviction: Eviction,
        load_order: LoadOrder,
        log: Log,
        metrics: Metrics,
        on_change: Callable[[OwnedReplica], None] = lambda _: None,
        on_lost: Callable[[OwnedReplica], None] = lambda _: None,
    ) -> None:
        self.upstream = upstream
        self.pool = pool
        self.policy = policy
        self.fence = fence
        self.driver = driver
        self.may_act = may_act
        self.eviction = eviction
        self.load_order = load_order
        self.log = log
        self.metrics = metrics
        self.permits = PermitBook()
        self.waiting = WaitQueue()
        self.residency = Residency(pool.adapter_slots)
        self.estimate = Estimate(step_ms=pool.step_ms, load_s=pool.load_s)
        self.forecast = StartForecast(
            waiting=self.waiting,
            residency=self.residency,
            estimate=self.estimate,
            min_load_s=pool.load_s,
            running=lambda: self.running,
            running_limit=lambda: self.running_limit,
        )
        self.load_requested = Event()
        self.capacity_freed = Event()
        self.order_in_progress = False
        self.orders_sent = 0
        self.unload_after = monotonic() + policy.longest_permit_s
        self.inherited = InheritedBook()
        self.pinned: Callable[[], list[str]] = list
        self._on_change = on_change
        self._on_lost = on_lost
        self.watch = EngineWatch(self)
        self._closing = False
        self._drained = False
        self._tasks: list[gevent.Greenlet[..., Any]] = []

    @property
    def name(self) -> str:
        """Name of the replica."""
        return self.upstream.name

    def start(self) -> None:
        """Start watching the engine and reviewing the waiting requests."""
        self.watch.start()
        self._tasks = [gevent.spawn(self._review_loop)]

    def stop(self) -> None:
        """Stop watching and refuse all waiting requests."""
        self._closing = True
        self.watch.stop()
        for task in self._tasks:
            task.kill(block=False)
        for waiter in self.waiting:
            self._refuse(waiter, refusals.owner_changed(self.name))

    # Permit requests.

    @property
    def accepting(self) -> bool:
        """Whether the replica accepts new requests."""
        in_service = self.watch.healthy and not (self._closing or self._drained)
        return in_service and self.may_act()

    @property
    def running_limit(self) -> int:
        """Number of requests that may run now; it grows after the engine was added."""
        return min(self.pool.running_limit, self.watch.ramped_limit)

    def set_drained(self, drained: bool) -> None:
        """Start or end the drain of the replica."""
        if drained == self._drained:
            return
        self._drained = drained
        self.log.info("Drain started." if drained else "Drain ended.", replica=self.name)
        if drained:
            for waiter in self.waiting:
                self._refuse(waiter, refusals.not_accepting(self.name))
        self._on_change(self)

    def close(self) -> None:
        """Stop granting, and refuse the waiting requests because the replica changes its owner."""
        self._closing = True
        for waiter in self.waiting:
            self._refuse(waiter, refusals.owner_changed(self.name))
        self._on_change(self)

    def request_permit(self, ask: wire.Ask, holder: str) -> Waiter | Result[wire.Grant, Refusal]:
        """Return a waiter for a permit request, or the refusal if it is refused at once."""
        refusal = self._admission_refusal(ask)
        if refusal is not None:
            self.metrics.permits.labels("refused").inc()
            return Error(refusal)
        ready = self.residency.ready(ask.adapter)
        if ask.adapter:
            self.residency.record_want(ask.adapter)
        waiter = Waiter(ask, holder, stalled=not ready)
        self.waiting.add(waiter)
        self.grant_ready()
        if not ready:
            self.load_requested.set()
            self._on_change(self)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Cancel a permit request; refund the permit if it was already granted."""
        if self.waiting.remove(waiter):
            waiter.refuse(Refusal(Cause.CALLER_GONE, "withdrawn by the requesting box"))
        elif waiter.permit is not None:
            self.refund(waiter.permit, 0)

    def refund(self, number: int, tokens: int) -> None:
        """End a permit.

        Args:
            number: Number of the permit.
            tokens: Number of tokens of a complete answer, 0 without one, or `wire.NOT_LOADED` if
                the engine did not have the adapter.
        """
        permit = self.permits.end(number)
        if permit is None:
            return
        if tokens > 0:
            self.estimate.record_service_time(monotonic() - permit.granted_at, tokens)
        if tokens == wire.NOT_LOADED:
            self.log.info(
                "The engine no longer has an adapter that was recorded as loaded.",
                replica=self.name,
                adapter=permit.adapter,
            )
            self.residency.record_unloaded(permit.adapter)
            self.watch.check_soon()
        self._handle_permit_end(permit)

    def refund_inherited(self, fence: int, number: int) -> None:
        """End a permit that an earlier owner granted."""
        if self.inherited.end(fence, number):
            self.capacity_freed.set()
            self.grant_ready()

    @property
    def running(self) -> int:
        """Number of requests that may be running, including those under earlier owners' permits."""
        return len(self.permits) + len(self.inherited)

    def _handle_permit_end(self, permit: OutstandingPermit) -> None:
        if permit.adapter:
            self.residency.record_use(permit.adapter)
        self.metrics.permits_outstanding.dec()
        self.capacity_freed.set()
        self.grant_ready()
        self._on_change(self)

    def _admission_refusal(self, ask: wire.Ask) -> Refusal | None:
        if not self.may_act() or self._closing:
            return refusals.owner_changed(self.name)
        if not self.accepting:
            return refusals.not_accepting(self.name)
        if len(self.waiting) >= self.policy.queue_limit:
            return refusals.queue_full(retry_after_s=self.estimate.service_s)
        wait_s = self.forecast.expected_wait_s(ask)
        return self._deadline_refusal(wait_s, ask)

    def _deadline_refusal(self, wait_s: float, ask: wire.Ask) -> Refusal | None:
        needed_s = wait_s + estimate_run_s(ask.max_tokens, self.estimate.token_s)
        if needed_s <= ask.deadline_s:
            return None
        retry_after_s = max(wait_s, self.estimate.load_s, self.estimate.service_s)
        return refusals.cannot_finish(needed_s, ask.deadline_s, retry_after_s=retry_after_s)

    # Grants.

    def grant_ready(self) -> None:
        """Grant permits to the waiting requests that can start now, the highest priority first."""
        if not self.accepting:
            return
        room = self.running_limit - self.running
        if room <= 0 or not len(self.waiting):
            return
        grantable = [waiter for waiter in self.waiting if self.residency.ready(waiter.ask.adapter)]
        grantable.sort(key=lambda waiter: (-waiter.ask.priority, waiter.arrived_at))
        for waiter in grantable[:room]:
            self._grant(waiter)

    def _grant(self, waiter: Waiter) -> None:
        self.waiting.remove(waiter)
        ask = waiter.ask
        valid_s = min(waiter.deadline.left_s, self.policy.longest_permit_s - _PERMIT_MARGIN_S)
        permit = self.permits.grant(
            ask, holder=waiter.holder, lifetime_s=valid_s + _PERMIT_MARGIN_S
        )
        if ask.adapter:
            self.residency.record_use(ask.adapter)
        waited_s = monotonic() - waiter.arrived_at
        stall_s = max(0.0, waiter.ready_at - waiter.arrived_at) if waiter.stalled else 0.0
        self.metrics.permits.labels("granted").inc()
        self.metrics.permits_outstanding.inc()
        if ask.adapter:
            self.metrics.stall_seconds.observe(stall_s)
        waiter.grant(
            wire.Grant(
                number=ask.number,
                permit=permit.number,
                replica=self.name,
                adapter=ask.adapter,
                fence=self.fence,
                start_within_s=round(self.policy.start_window_s + waited_s, 3),
                end_within_s=round(valid_s, 3),
                waited_s=round(waited_s, 4),
                stall_s=round(stall_s, 4),
            )
        )

    def _refuse(self, waiter: Waiter, refusal: Refusal) -> None:
        if self.waiting.remove(waiter):
            self.metrics.permits.labels("refused").inc()
            waiter.refuse(refusal)

    def handle_engine_removed(self) -> None:
        """Refuse all waiting requests after the engine was removed for failed checks."""
        for waiter in self.waiting:
            self._refuse(waiter, refusals.not_accepting(self.name))
        self._on_change(self)

    def handle_engine_added(self, adapters: list[str]) -> None:
        """Apply the engine's list of loaded adapters when it joins or rejoins."""
        self.residency.loading = ""
        self.residency.unloading = ""
        self.load_requested.set()
        self.apply_loaded(adapters)

    def apply_loaded(self, adapters: list[str]) -> None:
        """Replace the known loaded adapters by the engine's own list."""
        self.residency.replace(adapters)
        self.grant_ready()
        self._on_change(self)

    def refuse_waiting_for(self, adapter: str, refusal: Refusal) -> None:
        """Refuse all requests that wait for an adapter."""
        for waiter in self.waiting:
            if waiter.ask.adapter == adapter:
                self._refuse(waiter, refusal)

    # Orders.

    def order(self, kind: engine_wire.OrderKind, adapter: str = "") -> None:
        """Send the engine an order under this ownership's fence.

        Raises:
            OrderFailed: If the order was not carried out.
            UpstreamUnreachable, UpstreamBroke: If the order may not have been carried out.
        """
        if not self.may_act():
            raise OrderFailed("the lease is not held")
        order = engine_wire.Order(kind=kind, fence=self.fence, adapter=adapter)
        self.order_in_progress = True
        self.orders_sent += 1
        try:
            self.driver.order(order)
        except StaleFence:
            self.log.info(
                "The engine rejected an order: it has seen a newer owner.",
                replica=self.name,
                fence=self.fence,
            )
            self._closing = True
            self._on_lost(self)
            raise OrderFailed("a newer owner exists") from None
        finally:
            self.order_in_progress = False

    def adapter_ready(self, adapter: str) -> None:
        """Record a completed load and grant permits to the requests that waited for it."""
        self.residency.record_loaded(adapter)
        now = monotonic()
        for waiter in self.waiting:
            if waiter.ask.adapter == adapter:
                waiter.ready_at = now
        self.grant_ready()
        self._on_change(self)

    def report(self, owner: str) -> wire.ReplicaReport:
        """Return this replica's state for the routing of all boxes."""
        expected = set(self.waiting.adapters) - set(self.residency.ready_adapters)
        if self.residency.loading:
            expected.add(self.residency.loading)
        return wire.ReplicaReport(
            replica=self.name,
            owner=owner,
            fence=self.fence,
            accepting=self.accepting,
            running=self.running,
            waiting=len(self.waiting),
            room=self._room(),
            load_ms=round(self.estimate.load_s * 1000),
            service_ms=round(self.estimate.service_s * 1000),
            ready=self.residency.ready_adapters,
            expected=sorted(expected),
        )

    def _room(self) -> int:
        """Return the free slots, or -1 while nothing may be unloaded to make room."""
        if self.residency.free_slots > 0:
            return self.residency.free_slots
        return 0 if monotonic() >= self.unload_after else -1

    def in_use(self, adapter: str) -> bool:
        """Whether requests wait for an adapter or may be running on it.

        Permits of earlier owners count as well.
        """
        if self.permits.using(adapter) or self.waiting.count_for(adapter):
            return True
        return self.inherited.using(adapter)

    # Review.

    def _review_loop(self) -> None:
        while True:
            gevent.sleep(_REVIEW_INTERVAL_S)
            self.review()

    def review(self) -> None:
        """Refuse requests that can no longer finish in time; cancel those with expired permits."""
        now = monotonic()
        for waiter in self.waiting:
            if waiter.latest_start_at(self.estimate.token_s) < now + self.forecast.min_wait_s(
                waiter
            ):
                retry_after_s = self.forecast.queue_wait_s(waiter)
                self._refuse(waiter, refusals.cannot_finish_any_more(retry_after_s=retry_after_s))
        for permit in self.permits.overdue():
            self.log.info(
                "A permit expired; cancelling its request.",
                replica=self.name,
                request=permit.request_id,
            )
            gevent.spawn(self._cancel_until_confirmed, permit)
        self.grant_ready()

    def _cancel_until_confirmed(self, permit: OutstandingPermit) -> None:
        """Cancel a request with an expired permit; its adapter counts as used until confirmed."""
        while not self._closing and not self.driver.cancel(permit.request_id):
            gevent.sleep(_CANCEL_INTERVAL_S)
        self.refund(permit.number, 0)
