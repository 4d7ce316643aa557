"""The requests of all boxes at a zone's placer, from the ask through the grant to the end."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.distance_cost import estimate_request_bytes
from springrock.forwarding.eligibility import (
    ANYWHERE,
    METERED,
    Bounds,
    RoutingState,
    obstacle_of,
    zone_obstacle_of,
)
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.permits.counter import PermitGranter
from springrock.placement.ask_book import AskBook, WaitingAsk
from springrock.placement.backoffs import Backoffs
from springrock.placement.dispatcher import Dispatcher
from springrock.placement.engine_reconciler import EngineReconciler
from springrock.placement.forecasts import Forecasts
from springrock.placement.messages import Ask, Demand, Ended, Grant, Message, Outcome, Use
from springrock.placement.near_copies import NearCopies
from springrock.placement.planner import COLD_COST
from springrock.placement.popularity import Popularity
from springrock.placement.residency import Versions

_SUSPECT_OUTCOMES = (Outcome.LACKING, Outcome.UNREACHABLE, Outcome.FAILED)
"""Outcomes after which the engine's report is read.

The report shows whether the fault is the engine's or that of one box's connection to it.
"""


class Requests:
    """Grants engines to requests, and queues the requests whose adapter no engine holds.

    Args:
        reconcilers: The reconcilers of the zone's engines, by instance; the placer adds and removes
            them.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        routing_state: Returns the state that decides which replicas may be used: evacuations,
            limits and cold replicas.
        permits: Grants the permits for requests to cold and limited engines.
        popularity: Counts the requests for each adapter.
        send: Sends a message to one box.
        on_unserved: Called when a new plan is needed.
        on_granted: Called with the seconds that a request waited for its grant.
        log: The log to write to.
        near_copies: Counts the traffic of requests from other zones.
        home_zone_of: Returns the zone of a box; None if that is not known.

    Attributes:
        asks: The asks that wait, and the clients that are expected to retry.
        forecasts: The forecasts that were sent to boxes with waiting asks.
        dispatchers: The dispatcher of each service, with the requests on its engines.
    """

    def __init__(
        self,
        reconcilers: Mapping[str, EngineReconciler],
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        routing_state: Callable[[], RoutingState],
        permits: PermitGranter,
        popularity: Popularity,
        send: Callable[[str, Message], None],
        on_unserved: Callable[[], None],
        on_granted: Callable[[float], None],
        log: Log,
        near_copies: NearCopies,
        home_zone_of: Callable[[str], str | None],
    ) -> None:
        self._reconcilers = reconcilers
        self._configuration = configuration
        self._directory = directory
        self._versions = versions
        self._routing_state = routing_state
        self._permits = permits
        self._popularity = popularity
        self._send = send
        self._on_unserved = on_unserved
        self._on_granted = on_granted
        self._log = log
        self._near_copies = near_copies
        self._home_zone_of = home_zone_of
        self.asks = AskBook()
        self.forecasts = Forecasts(send)
        self.dispatchers: dict[str, Dispatcher] = {}
        self._backoffs = Backoffs()

    def clear(self) -> None:
        """Drop all requests, as when the lease is lost."""
        self.asks = AskBook()
        self.forecasts.keep_only(())
        self.dispatchers.clear()
        self._backoffs = Backoffs()
        self._near_copies.clear()

    def apply_demand(self, box: str, demand: Demand) -> None:
        """Apply the changes of a box's demand since its last message."""
        now = monotonic()
        for use in demand.uses:
            instance = self._current_instance(use.instance)
            self._dispatcher_of(instance).record_use(
                box, Use(use.number, instance, use.model, use.adapter)
            )
        for ended in demand.ended:
            self.asks.remove(box, ended.number)
            self._end_use(box, ended)
        for started in demand.started:
            for dispatcher in self.dispatchers.values():
                dispatcher.record_start(box, started)
        for expected_retry in demand.expected_retries:
            self.asks.add_retry(expected_retry, now=now)
        for ask in demand.asks:
            self._handle_ask(box, ask, now)
        if self.asks.has_wants and (demand.expected_retries or demand.ended):
            # A request that ended may have freed a place.
            self._on_unserved()

    def engines_used_by(self, box: str) -> set[str]:
        """Return the instances of the engines that run requests of a box."""
        return {
            instance
            for dispatcher in self.dispatchers.values()
            for instance in dispatcher.engines_used_by(box)
        }

    def forget_box(self, box: str) -> None:
        """Drop the requests of a box; they ended with it or will be reported again."""
        self.asks.forget_box(box)
        self._backoffs.forget_box(box)
        for dispatcher in self.dispatchers.values():
            dispatcher.forget_box(box)

    def _handle_ask(self, box: str, ask: Ask, now: float) -> None:
        waiting = self.asks.add(box, ask, now=now)
        self._popularity.record(waiting.key, 1)
        self.grant_waiting(waiting.key)
        if waiting.key in self.asks.keys:
            self.forecasts.send_known(waiting.key, box)
            self._on_unserved()

    def grant_all(self) -> None:
        """Grant engines to all waiting requests whose adapter an engine holds.

        The most valuable ones go first, as an engine may have room for only a few.
        """
        for key in self.asks.keys_by_worth():
            self.grant_waiting(key)

    def grant_waiting(self, key: AdapterKey) -> None:
        """Grant engines to the requests that wait for an adapter, if any engine holds it."""
        for waiting in self.asks.asks_for(key):
            self._grant(waiting)

    def _grant(self, waiting: WaitingAsk) -> None:
        ask, key = waiting.ask, waiting.key
        service = self._service_of(key)
        if service is None:
            return
        now = monotonic()
        dispatcher = self.dispatcher(service)
        bounds = ask.bounds
        # An engine may have asked the box for a back-off while this ask waited.
        backing_off = self._backoffs.of(waiting.box)
        avoid = backing_off.union(ask.tried)
        holders = self.holders(key, avoid=avoid, bounds=bounds) or self._retry_holders(
            dispatcher, ask, key, avoid=backing_off
        )
        choice = dispatcher.choose(key, ask.prompt, holders, target_in_s=waiting.target_at - now)
        if choice is None:
            return
        self.asks.remove(waiting.box, ask.number)
        dispatcher.record_granted(waiting.box, ask.number, choice, key, ask.prompt)
        permitted = self._permit(waiting, choice.instance)
        saves = self._saved_by_copy(waiting)
        grant = Grant(ask.number, choice.instance, permitted, round(100 * saves))
        self._send(waiting.box, grant)
        self._on_granted(now - waiting.asked_at)
        self._log.info(
            "Granted an engine.",
            request=ask.request,
            peer=waiting.box,
            adapter=str(key),
            instance=choice.instance,
            holders=len(holders),
            again=choice.instance in ask.failed_at,
            permitted=permitted,
            first_event_in_ms=round(choice.wait_s * 1000),
            unread_tokens=choice.unread,
            copy_saves=round(saves, 2),
            waited_ms=round((now - waiting.asked_at) * 1000),
        )
        if key in dispatcher.crowded:
            self._on_unserved()

    def _saved_by_copy(self, waiting: WaitingAsk) -> float:
        """Return the loads that a copy near the asking box would save; 0 if not worth a load."""
        ask, home = waiting.ask, self._home_zone_of(waiting.box)
        if home is None:
            return 0.0
        if (
            zone_obstacle_of(home, bounds=ask.bounds, routing_state=self._routing_state())
            is not None
        ):
            return 0.0
        carried = estimate_request_bytes(sum(tokens for _, tokens in ask.prompt))
        return self._near_copies.record(waiting.key, home_zone=home, carried_bytes=carried)

    def holders(
        self, key: AdapterKey, *, avoid: Collection[str] = (), bounds: Bounds = ANYWHERE
    ) -> list[str]:
        """Return the engines that hold the newest version of an adapter and can be granted."""
        newest = self._versions.newest(key)
        routing_state = self._routing_state()
        return [
            instance
            for instance, reconciler in self._reconcilers.items()
            if reconciler.book.reachable
            and instance not in avoid
            and reconciler.book.is_ready(key, version=newest)
            and self._may_grant(reconciler.book.record, bounds, routing_state)
        ]

    def _may_grant(
        self, record: ReplicaRecord, bounds: Bounds, routing_state: RoutingState
    ) -> bool:
        """Whether a request may go to an engine; to a metered one only if a permit is free."""
        obstacle = obstacle_of(record, bounds=bounds, routing_state=routing_state)
        if obstacle in METERED:
            return not self._permits.room_in_s(record, cold=routing_state.is_cold(record))
        return obstacle is None

    def _permit(self, waiting: WaitingAsk, instance: str) -> bool:
        """Take a permit if the engine is metered; return whether one was taken."""
        record = self._reconcilers[instance].book.record
        routing_state = self._routing_state()
        if routing_state.permit_obstacle(record) is None:
            return False
        return self._permits.grant(
            waiting.box,
            waiting.ask.number,
            waiting.ask.request,
            record,
            cold=routing_state.is_cold(record),
        )

    def limited_engines(self) -> dict[str, float]:
        """Return the seconds until each engine that has named a limit has room."""
        routing_state = self._routing_state()
        records = [reconciler.book.record for reconciler in self._reconcilers.values()]
        return {
            record.instance: self._permits.room_in_s(record, cold=routing_state.is_cold(record))
            for record in records
            if routing_state.is_limited(record)
        }

    def _retry_holders(
        self, dispatcher: Dispatcher, ask: Ask, key: AdapterKey, *, avoid: Collection[str]
    ) -> list[str]:
        """Return the engines that failed a request and are still better for it than a load.

        The expected loss of a retry is the request's worth times the engine's excess failure rate.
        It must not exceed the cost of a load, which is zero if another engine has the adapter
        cached.
        """
        if not ask.failed_at:
            return []
        version = self._versions.newest(key)
        books = [
            reconciler.book
            for reconciler in self._reconcilers.values()
            if reconciler.book.reachable
        ]
        is_cached_elsewhere = any(
            book.is_cached(key, version=version)
            for book in books
            if book.instance not in ask.failed_at
        )
        load_cost = 0.0 if is_cached_elsewhere else COLD_COST
        return [
            instance
            for instance in self.holders(key, avoid=avoid, bounds=ask.bounds)
            if instance in ask.failed_at
            and ask.worth * dispatcher.excess_failure_rate(instance) <= load_cost
        ]

    def _end_use(self, box: str, ended: Ended) -> None:
        for dispatcher in self.dispatchers.values():
            run = dispatcher.record_finished(box, ended)
            reconciler = self._reconcilers.get(run.instance) if run is not None else None
            if reconciler is not None and ended.outcome in _SUSPECT_OUTCOMES:
                reconciler.mark_stale()
            if run is not None and ended.backoff_ms:
                self._backoffs.record(box, run.instance, seconds=ended.backoff_ms / 1000)

    def _service_of(self, key: AdapterKey) -> str | None:
        """Return the service whose engines serve the base model of an adapter, if any."""
        for service, engine in self._configuration().engine_services.items():
            if any(model.name == key.model for model in engine.models):
                return service
        return None

    def _current_instance(self, instance: str) -> str:
        """Return the current instance of an engine, given the instance that a box named.

        A box that does not know of a restart yet names the earlier instance. Its request still runs
        on the new one, where its adapter must be counted as used.
        """
        if instance in self._reconcilers:
            return instance
        replica_id = instance.rpartition("@")[0]
        for existing, reconciler in self._reconcilers.items():
            if replica_id and reconciler.book.record.replica_id == replica_id:
                return existing
        return instance

    def _dispatcher_of(self, instance: str) -> Dispatcher:
        replica = self._directory.find(instance)
        return self.dispatcher("" if replica is None else replica.record.service)

    def dispatcher(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service; created at its first use."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            engine = self._configuration().engine_services.get(service)
            dispatcher = Dispatcher(memory_tokens=0 if engine is None else engine.memory_tokens)
            self.dispatchers[service] = dispatcher
        return dispatcher
