"""The placer of a zone: collects the boxes' demand, plans loads and publishes the result.

The reconcilers of the engines send the orders.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from typing import Any

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.distance_cost import DEFAULT_PRICES, DistancePrices
from springrock.forwarding.eligibility import RoutingState, may_be_loaded
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.counter import PermitGranter
from springrock.placement.control import EngineControl
from springrock.placement.engine_book import EngineBook
from springrock.placement.engine_reconciler import EngineReconciler
from springrock.placement.handover import PrefetchWants, handover_of
from springrock.placement.handover_messages import Handover
from springrock.placement.late_orders import LateOrders
from springrock.placement.lease import PlacerLease
from springrock.placement.messages import (
    Demand,
    EngineHolds,
    Message,
    Residents,
)
from springrock.placement.model_loads import ModelLoads
from springrock.placement.near_copies import CopyRequests, NearCopies
from springrock.placement.planner import Assignment, Planner
from springrock.placement.popularity import Popularity
from springrock.placement.requests import Requests
from springrock.placement.residency import Versions
from springrock.placement.spread_adapters import SpreadAdapters
from springrock.placement.wait_estimate import WaitEstimate

_PLAN_INTERVAL_S = 0.05
"""Longest time between plans while adapters are wanted; a change leads to a plan sooner."""

_MIN_PLAN_PAUSE_S = 0.005
_PAUSE_FACTOR = 4
"""Pause after a plan as a multiple of its duration: planning takes at most a fifth of the time.

Changes during the pause lead to one plan.
"""

_FIRST_REPORTS_TIMEOUT_S = 0.15
"""Time for which a new placer waits for the engines' first reports before it plans.

Without them it would load adapters that an engine already holds.
"""

_ROOM_SOON_S = 0.3
"""Time until a limited engine has room, up to which its adapters are not loaded elsewhere.

A load takes about as long.
"""

_LIMITED_PENALTY_S = 5.0
"""Added to the estimated wait at an engine that has named a limit.

Adapters are loaded there only if no other engine can take them.
"""

_CROWDED_VALID_S = 0.5
"""Time for which an adapter counts as crowded after a request found all its holders busy."""


class Placer:
    """Places adapters on the engines of a zone while this box holds its lease.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        routing_state: Returns the state that decides which replicas may be used: evacuations,
            limits and cold replicas.
        control: Sends orders to engines and reads their reports.
        lease: The lease of the zone's placer.
        permits: Grants the permits for requests to cold and limited engines.
        box: The name of this box, which each order carries.
        ceiling_ratio: Multiple of the configured load rate of base models that is allowed.
        ceiling_burst: Maximum number of unused loads of base models that accumulate.
        send: Sends a message to one box, which may be this one.
        log: The log to write to.
        metrics: The metrics to count in.
        prices: The price of bytes between zones relative to a load.
        home_zone_of: Returns the zone of a box; None if that is not known.

    Attributes:
        requests: The requests that boxes want to send or have sent to the engines.
        prefetch: The adapters of evacuated zones that are loaded here before they are requested.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        routing_state: Callable[[], RoutingState],
        control: EngineControl,
        lease: PlacerLease,
        permits: PermitGranter,
        box: str,
        ceiling_ratio: float,
        ceiling_burst: float,
        send: Callable[[str, Message], None],
        log: Log,
        metrics: ForwardingMetrics,
        prices: DistancePrices = DEFAULT_PRICES,
        home_zone_of: Callable[[str], str | None] = lambda box: None,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._directory = directory
        self._versions = versions
        self._routing_state = routing_state
        self._control = control
        self._lease = lease
        self._box = box
        self._log = log
        self._metrics = metrics
        self._popularity = Popularity()
        self._planners: dict[str, Planner] = {}
        self._changed: set[str] = set()
        self._spread_adapters = SpreadAdapters(self._popularity)
        self._model_loads = ModelLoads(
            zone,
            configuration=configuration,
            directory=directory,
            ceiling_ratio=ceiling_ratio,
            ceiling_burst=ceiling_burst,
        )
        self._started_at = 0.0
        self._reconcilers: dict[str, EngineReconciler] = {}
        self._late_orders = LateOrders()
        self._plan_event = Event()
        self.prefetch = PrefetchWants(
            zone,
            popularity=self._popularity,
            log=log,
            metrics=metrics,
            on_update=self._plan_event.set,
        )
        self.requests = Requests(
            self._reconcilers,
            configuration=configuration,
            directory=directory,
            versions=versions,
            routing_state=routing_state,
            permits=permits,
            popularity=self._popularity,
            send=send,
            on_unserved=self._plan_event.set,
            on_granted=metrics.grant_seconds.labels(zone).observe,
            log=log,
            near_copies=NearCopies(zone, topology=lambda: routing_state().topology, prices=prices),
            home_zone_of=home_zone_of,
        )
        self._copy_requests = CopyRequests()
        self._task: gevent.Greenlet[..., Any] | None = None
        directory.on_change.append(self._handle_replica_change)

    @property
    def active(self) -> bool:
        """Whether the placer is running."""
        return self._task is not None

    def start(self) -> None:
        """Start to plan, under a lease that this box has just acquired."""
        self._started_at = monotonic()
        self._task = gevent.spawn(self._plan_loop)
        for service in self._configuration().engine_services:
            for replica in self._directory.of_service(service):
                if replica.record.zone == self._zone:
                    self._start_reconciler(replica)

    def stop(self) -> None:
        """Stop planning and all reconcilers, and drop the state of this tenure."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for reconciler in self._reconcilers.values():
            reconciler.stop()
        self._reconcilers.clear()
        self._planners.clear()
        self._model_loads.clear()
        self.requests.clear()
        self._changed.clear()
        self._spread_adapters.clear()
        self.prefetch.clear()
        self._copy_requests.clear()

    def apply_demand(self, box: str, demand: Demand) -> None:
        """Apply the changes of a box's demand since its last message."""
        self.requests.apply_demand(box, demand)
        if demand.copies:
            self._copy_requests.record(demand.copies)
            self._plan_event.set()

    def record_silent(self, box: str) -> None:
        """Record that a box fell silent; its requests may run on."""
        for instance in self.requests.engines_used_by(box):
            reconciler = self._reconcilers.get(instance)
            if reconciler is not None:
                reconciler.await_silent_box()

    def forget_box(self, box: str) -> None:
        """Drop the requests of a box; they ended with it or will be reported again."""
        self.requests.forget_box(box)

    def residents_snapshot(self) -> Residents:
        """Return the adapters of all engines that have sent a report."""
        return Residents(
            [
                EngineHolds(reconciler.book.instance, reconciler.book.ready())
                for reconciler in self._reconcilers.values()
                if reconciler.book.sequence is not None
            ]
        )

    def drain_changed(self) -> Residents | None:
        """Return the adapters of the engines that changed since the last call; None if none did."""
        changed, self._changed = self._changed, set()
        books = [
            self._reconcilers[instance].book
            for instance in changed
            if instance in self._reconcilers
        ]
        if not books:
            return None
        return Residents([EngineHolds(book.instance, book.ready()) for book in books])

    def spread_adapters(self) -> tuple[str, ...]:
        """Return the adapters, as MODEL/NAME, that each zone should serve itself."""
        copies = Counter(
            held.key
            for reconciler in self._reconcilers.values()
            for held in reconciler.book.ready()
        )
        return self._spread_adapters.evaluate(copies, zones=self._zones_with_engines())

    def handover(self) -> Handover:
        """Return this zone's popular adapters, for the zones that remain when it is evacuated."""
        return handover_of(self._popularity)

    def room(self) -> int:
        """Return how many more adapters could be loaded on the engines now."""
        now = monotonic()
        return sum(
            self._planner(book.record.service).room(
                book, used=self.requests.dispatcher(book.record.service).used, now=now
            )
            for book in self._loadable_engines()
            if book.models
        )

    def wait_estimate(self) -> WaitEstimate:
        """Return the eviction pressure and the wait at the zone's engines."""
        books = [book for book in self._loadable_engines() if book.models]
        now = monotonic()
        dispatchers = [self.requests.dispatcher(book.record.service) for book in books]
        return WaitEstimate.from_engines(
            pressures=[
                self._planner(book.record.service).pressure(book, used=dispatcher.used, now=now)
                for book, dispatcher in zip(books, dispatchers, strict=True)
            ],
            waits_s=[
                dispatcher.work(book.instance).wait_s
                for book, dispatcher in zip(books, dispatchers, strict=True)
            ],
        )

    def _loadable_engines(self) -> list[EngineBook]:
        """Return the engines on which adapters may be loaded now."""
        routing_state = self._routing_state()
        return [
            book
            for book in self._books()
            if book.reachable and may_be_loaded(book.record, routing_state=routing_state)
        ]

    def _zones_with_engines(self) -> int:
        services = self._configuration().engine_services
        return len(
            {
                replica.record.zone
                for service in services
                for replica in self._directory.of_service(service)
            }
            - self._routing_state().announced
        )

    # Engines.

    def _handle_replica_change(self, record: ReplicaRecord | None, instance: str) -> None:
        if not self.active or (record is not None and record.zone != self._zone):
            return
        if record is None:
            reconciler = self._reconcilers.pop(instance, None)
            if reconciler is not None:
                reconciler.stop()
                self.requests.dispatcher(reconciler.book.record.service).forget(instance)
            return
        if instance in self._reconcilers:
            self._reconcilers[instance].apply_record(record)
        elif record.service in self._configuration().engine_services:
            replica = self._directory.find(instance)
            if replica is not None:
                self._start_reconciler(replica)
        self._plan_event.set()

    def _start_reconciler(self, replica: Replica) -> None:
        service = replica.record.service
        engine = self._configuration().engine_services[service]
        reconciler = EngineReconciler(
            EngineBook(replica.record, slots=engine.adapter_slots, late_orders=self._late_orders),
            control=self._control,
            lease=self._lease,
            planner=self._planner(service),
            used=lambda: self.requests.dispatcher(service).used,
            known_runs=lambda: self.requests.dispatcher(service).work(replica.instance).runs,
            newest=self._versions.newest,
            wanted_model=lambda: self._model_loads.next_model(service, self._books()),
            takes_orders=lambda: not self._is_evacuated,
            holder=self._box,
            on_change=self._handle_engine_change,
            log=self._log,
            metrics=self._metrics,
        )
        self._reconcilers[replica.instance] = reconciler
        reconciler.start()

    @property
    def _is_evacuated(self) -> bool:
        return self._zone in self._routing_state().announced

    def _books(self) -> list[EngineBook]:
        return [reconciler.book for reconciler in self._reconcilers.values()]

    def _handle_engine_change(self, book: EngineBook) -> None:
        """Grant waiting requests and plan again after the adapters of an engine changed."""
        prompt_cache = (
            self.requests.dispatcher(book.record.service).work(book.instance).prompt_cache
        )
        prompt_cache.retain_only(book.places)
        self._changed.add(book.instance)
        for key in [key for key in self.requests.asks.keys if key in book.places]:
            self.requests.grant_waiting(key)
        self._plan_event.set()

    # Planning.

    def _plan_loop(self) -> None:
        while True:
            has_pending_wants = self.requests.asks.has_wants or self.prefetch.pending
            self._plan_event.wait(timeout=_PLAN_INTERVAL_S if has_pending_wants else None)
            self._plan_event.clear()
            started_at = monotonic()
            if self._lease.may_order and self._has_engine_reports():
                self._plan()
            took_s = monotonic() - started_at
            gevent.sleep(max(_MIN_PLAN_PAUSE_S, _PAUSE_FACTOR * took_s))

    def _has_engine_reports(self) -> bool:
        """Whether all engines have sent a report, or the time to wait for one is over."""
        if monotonic() - self._started_at > _FIRST_REPORTS_TIMEOUT_S:
            return True
        return all(
            reconciler.book.sequence is not None for reconciler in self._reconcilers.values()
        )

    def _plan(self) -> None:
        # An engine may have become usable without an event, for example as it is no longer full.
        self.requests.grant_all()
        now = monotonic()
        wants = self.requests.asks.combined_wants(now)
        wanted = {want.key for want in wants}
        self.requests.forecasts.keep_only(wanted)
        if self._is_evacuated:
            return
        loadable = self._loadable_engines()
        limited = self.requests.limited_engines()
        full_engines = {name for name, room_in_s in limited.items() if room_in_s > _ROOM_SOON_S}
        prefetch = self.prefetch.wants(self._presence_check(loadable), now)
        wants += [want for want in prefetch if want.key not in wanted]
        for service, engine in self._configuration().engine_services.items():
            models = {model.name for model in engine.models}
            dispatcher = self.requests.dispatcher(service)
            books = [book for book in loadable if book.record.service == service]
            plan = self._planner(service).plan(
                [want for want in wants if want.key.model in models],
                books,
                used=dispatcher.used,
                now=now,
                waits=_with_limits(dispatcher.waits(), limited),
                crowded=dispatcher.crowded_since(now - _CROWDED_VALID_S),
                near_copies=self._copy_requests.current(),
                backing_off=dispatcher.backing_off() | full_engines,
            )
            for assignment in plan.assignments:
                if assignment.want.saves:
                    # Without requests in this zone the copy would be the next to be evicted.
                    self._popularity.record(assignment.key, assignment.want.saves)
                self._reconcilers[assignment.engine.instance].wake()
                self._log_assigned(assignment, now)
            for key, ready_in_s in plan.ready_in_s.items():
                self.requests.forecasts.notify(
                    key,
                    ready_at=now + ready_in_s,
                    boxes=self.requests.asks.boxes(key),
                    elsewhere=_is_blocked_by_limits(key, books, full_engines),
                )

    def _presence_check(self, books: list[EngineBook]) -> Callable[[AdapterKey], bool]:
        """Return a predicate: whether any of the engines holds, loads or has cached an adapter."""

        def _has(book: EngineBook, key: AdapterKey) -> bool:
            return key in book.places or book.is_cached(key, version=self._versions.newest(key))

        return lambda key: any(_has(book, key) for book in books)

    def _log_assigned(self, assignment: Assignment, now: float) -> None:
        want = assignment.want
        self._log.info(
            "Assigned an adapter.",
            zone=self._zone,
            adapter=str(assignment.key),
            instance=assignment.engine.instance,
            waiting=want.waiting,
            promised=want.promised,
            is_copy=want.is_copy,
            saves=round(want.saves, 2),
            asked=round(self._popularity.of(assignment.key), 1),
            target_in_ms=round((want.target_at - now) * 1000),
        )

    def _planner(self, service: str) -> Planner:
        planner = self._planners.get(service)
        if planner is None:
            planner = Planner(self._popularity, self._versions.newest)
            self._planners[service] = planner
        return planner


def _with_limits(waits: dict[str, float], limited: Collection[str]) -> dict[str, float]:
    """Return the waits at the engines, with the penalty added for those that named a limit."""
    return waits | {name: waits.get(name, 0.0) + _LIMITED_PENALTY_S for name in limited}


def _is_blocked_by_limits(
    key: AdapterKey, books: Collection[EngineBook], full_engines: Collection[str]
) -> bool:
    """Whether all engines that hold an adapter are full, and it is assigned to no engine."""
    holding = [book for book in books if key in book.places]
    is_assigned = any(key in book.assigned for book in books)
    return bool(holding) and not is_assigned and all(b.instance in full_engines for b in holding)
