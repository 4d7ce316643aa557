"""The owner's side of one replica: who may run on it, and what it should hold.

Only the owner grants permits and orders loads and unloads, so it knows exactly which adapters
are in use. One task watches the engine (`engine_watch`), one loads (`loader`), one reviews who
waits; every question waits in a task of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from expression import Error, Result
from gevent.event import Event

from springrock.clock import monotonic
from springrock.coordination.permits import InheritedBook, Outstanding, PermitBook
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
from springrock.serving.waiting import Waiter, WaitingRoom, run_estimate_s
from springrock.settings import PolicySection, PoolSection, UpstreamSection
from springrock.wire import engine as engine_wire
from springrock.wire import peer as wire

_REVIEW_EVERY_S = 0.1
_PERMIT_SLACK_S = 2.0
_CANCEL_EVERY_S = 1.0


class OwnedReplica:
    """One replica that this box owns.

    Args:
        upstream: Which replica.
        pool: Its pool's settings.
        policy: Limits of queues and permits.
        fence: The fence of this ownership.
        driver: Speaks to the engine.
        may_act: Whether this box may act as an owner at this moment.
        eviction: Chooses victims.
        load_order: Chooses loads.
        log: The log to write to.
        metrics: The metrics to count in.
        on_change: Called when routing should hear of a change.
        on_lost: Called when the engine knows a newer fence.
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
        self.waiting = WaitingRoom()
        self.residency = Residency(pool.adapter_slots)
        self.estimate = Estimate(step_ms=pool.step_ms, load_s=pool.load_s)
        self.forecast = StartForecast(
            waiting=self.waiting,
            residency=self.residency,
            estimate=self.estimate,
            least_load_s=pool.load_s,
            running=lambda: self.running,
            running_limit=lambda: self.running_limit,
        )
        self.load_wanted = Event()
        self.place_freed = Event()
        self.ordering = False
        self.orders_given = 0
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
        """The replica's name."""
        return self.upstream.name

    def start(self) -> None:
        """Begin watching the engine."""
        self.watch.start()
        self._tasks = [gevent.spawn(self._review_loop)]

    def stop(self) -> None:
        """Stop watching and refuse everyone who waits."""
        self._closing = True
        self.watch.stop()
        for task in self._tasks:
            task.kill(block=False)
        for waiter in self.waiting:
            self._refuse(waiter, refusals.moved(self.name))

    # Asking.

    @property
    def accepting(self) -> bool:
        """Whether new requests may come."""
        open_here = self.watch.healthy and not (self._closing or self._drained)
        return open_here and self.may_act()

    @property
    def running_limit(self) -> int:
        """How many requests may run now; grows again after the engine was out."""
        return min(self.pool.running_limit, self.watch.admitted)

    def set_drained(self, drained: bool) -> None:
        """Take the replica out of service, or back in."""
        if drained == self._drained:
            return
        self._drained = drained
        self.log.say("Drain begins." if drained else "Drain ends.", replica=self.name)
        if drained:
            for waiter in self.waiting:
                self._refuse(waiter, refusals.leaving(self.name))
        self._on_change(self)

    def close(self) -> None:
        """Grant nothing more; who waits is told that the replica moves."""
        self._closing = True
        for waiter in self.waiting:
            self._refuse(waiter, refusals.moved(self.name))
        self._on_change(self)

    def ask(self, ask: wire.Ask, holder: str) -> Waiter | Result[wire.Grant, Refusal]:
        """Take a question: either it waits, or it is decided at once."""
        refusal = self._admission(ask)
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
            self.load_wanted.set()
            self._on_change(self)
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Let a waiter go whose asker no longer wants an answer."""
        if self.waiting.remove(waiter):
            waiter.refuse(Refusal(Cause.CALLER_GONE, "withdrawn by the asker"))
        elif waiter.permit is not None:
            self.refund(waiter.permit, 0)

    def refund(self, number: int, tokens: int) -> None:
        """Take a permit back."""
        permit = self.permits.end(number)
        if permit is None:
            return
        if tokens > 0:
            self.estimate.record_service_time(monotonic() - permit.granted_at, tokens)
        if tokens == wire.NOT_LOADED:
            self.log.say("The engine lost an adapter.", replica=self.name, adapter=permit.adapter)
            self.residency.unloaded(permit.adapter)
            self.watch.check_soon()
        self._after_end(permit)

    def give_back_inherited(self, fence: int, number: int) -> None:
        """Take a permit back that an earlier owner granted."""
        if self.inherited.end(fence, number):
            self.place_freed.set()
            self.grant_ready()

    @property
    def running(self) -> int:
        """How many requests may be running, inherited ones included."""
        return len(self.permits) + len(self.inherited)

    def _after_end(self, permit: Outstanding) -> None:
        if permit.adapter:
            self.residency.record_use(permit.adapter)
        self.metrics.permits_outstanding.dec()
        self.place_freed.set()
        self.grant_ready()
        self._on_change(self)

    def _admission(self, ask: wire.Ask) -> Refusal | None:
        if not self.may_act() or self._closing:
            return refusals.moved(self.name)
        if not self.accepting:
            return refusals.leaving(self.name)
        if len(self.waiting) >= self.policy.queue_limit:
            return refusals.queue_full(retry_after_s=self.estimate.service_s)
        wait_s = self.forecast.start_s(ask)
        return self._too_late(wait_s, ask)

    def _too_late(self, wait_s: float, ask: wire.Ask) -> Refusal | None:
        need_s = wait_s + run_estimate_s(ask.max_tokens, self.estimate.token_s)
        if need_s <= ask.deadline_s:
            return None
        retry_after_s = max(wait_s, self.estimate.load_s, self.estimate.service_s)
        return refusals.too_late(need_s, ask.deadline_s, retry_after_s=retry_after_s)

    # Granting.

    def grant_ready(self) -> None:
        """Grant to those who wait and can begin now, the highest priority first."""
        if not self.accepting:
            return
        room = self.running_limit - self.running
        if room <= 0 or not len(self.waiting):
            return
        able = [waiter for waiter in self.waiting if self.residency.ready(waiter.ask.adapter)]
        able.sort(key=lambda waiter: (-waiter.ask.priority, waiter.arrived_at))
        for waiter in able[:room]:
            self._grant(waiter)

    def _grant(self, waiter: Waiter) -> None:
        self.waiting.remove(waiter)
        ask = waiter.ask
        life_s = min(waiter.deadline.left_s, self.policy.longest_permit_s - _PERMIT_SLACK_S)
        permit = self.permits.grant(ask, holder=waiter.holder, life_s=life_s + _PERMIT_SLACK_S)
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
                end_within_s=round(life_s, 3),
                waited_s=round(waited_s, 4),
                stall_s=round(stall_s, 4),
            )
        )

    def _refuse(self, waiter: Waiter, refusal: Refusal) -> None:
        if self.waiting.remove(waiter):
            self.metrics.permits.labels("refused").inc()
            waiter.refuse(refusal)

    def removed(self) -> None:
        """Refuse everyone who waits: the engine does not answer."""
        for waiter in self.waiting:
            self._refuse(waiter, refusals.leaving(self.name))
        self._on_change(self)

    def added(self, adapters: list[str]) -> None:
        """Begin with what an engine holds that is new or was out."""
        self.residency.loading = ""
        self.residency.unloading = ""
        self.load_wanted.set()
        self.holds(adapters)

    def holds(self, adapters: list[str]) -> None:
        """Take the engine's own list of what it holds."""
        self.residency.replace(adapters)
        self.grant_ready()
        self._on_change(self)

    def refuse_waiting_for(self, adapter: str, refusal: Refusal) -> None:
        """Refuse everyone who waits for an adapter."""
        for waiter in self.waiting:
            if waiter.ask.adapter == adapter:
                self._refuse(waiter, refusal)

    # Orders.

    def order(self, kind: engine_wire.OrderKind, adapter: str = "") -> None:
        """Give the engine an order under this ownership's fence.

        Raises:
            OrderFailed: If it was not carried out.
            UpstreamUnreachable, UpstreamBroke: If it may not have been.
        """
        if not self.may_act():
            raise OrderFailed("the lease is not held")
        order = engine_wire.Order(kind=kind, fence=self.fence, adapter=adapter)
        self.ordering = True
        self.orders_given += 1
        try:
            self.driver.order(order)
        except StaleFence:
            self.log.say("The engine knows a newer owner.", replica=self.name, fence=self.fence)
            self._closing = True
            self._on_lost(self)
            raise OrderFailed("a newer owner exists") from None
        finally:
            self.ordering = False

    def adapter_ready(self, adapter: str) -> None:
        """Note that a load is done, and let its waiters go."""
        self.residency.loaded(adapter)
        now = monotonic()
        for waiter in self.waiting:
            if waiter.ask.adapter == adapter:
                waiter.ready_at = now
        self.grant_ready()
        self._on_change(self)

    def report(self, owner: str) -> wire.ReplicaReport:
        """Return what routing should know."""
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
        if self.residency.free_slots > 0:
            return self.residency.free_slots
        return 0 if monotonic() >= self.unload_after else -1

    def in_use(self, adapter: str) -> bool:
        """Whether a request may be running on an adapter, by this owner's permit or another's."""
        if self.permits.using(adapter) or self.waiting.waiting_for(adapter):
            return True
        return self.inherited.using(adapter)

    # Watching.

    def _review_loop(self) -> None:
        while True:
            gevent.sleep(_REVIEW_EVERY_S)
            self.review()

    def review(self) -> None:
        """Refuse who can no longer finish, and end the permits whose time is over."""
        now = monotonic()
        for waiter in self.waiting:
            if waiter.last_start_at(self.estimate.token_s) < now + self.forecast.least_wait_s(
                waiter
            ):
                retry_after_s = self.forecast.backlog_s(waiter)
                self._refuse(waiter, refusals.waited_in_vain(retry_after_s=retry_after_s))
        for permit in self.permits.overdue():
            self.log.say("A permit ran out.", replica=self.name, request=permit.request_id)
            gevent.spawn(self._cancel_until_confirmed, permit)
        self.grant_ready()

    def _cancel_until_confirmed(self, permit: Outstanding) -> None:
        """Have an overdue request cancelled; its adapter is in use until the engine confirms."""
        while not self._closing and not self.driver.cancel(permit.request_id):
            gevent.sleep(_CANCEL_EVERY_S)
        self.refund(permit.number, 0)
