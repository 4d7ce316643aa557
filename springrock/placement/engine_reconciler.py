"""Carries out the placer's assignments on one engine, one order at a time.

The effect of each order is recorded in the engine's book, whether or not an answer arrives.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Condition, Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.control import (
    AnotherStart,
    ControlUnanswered,
    EngineControl,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from springrock.placement.engine_book import EngineBook, PlaceState
from springrock.placement.lease import PlacerLease
from springrock.placement.planner import Planner

_POLL_INTERVAL_S = 0.03
"""Interval between checks while a load, an unload or an assignment is pending."""

_WARM_LOAD_S = 0.03
_COLD_LOAD_S = 0.25
_REPORT_INTERVAL_S = 0.25
"""Interval between reports while waiting for a free place or a base model.

Only reports show that a place is free or that a model is loaded.
"""

_OVERDUE_LOAD_S = 1.5
"""Age of a pending load from which reports are requested, and the interval between them.

It is six times the duration of a load. Until then only the load order is repeated, as its answer
shows sooner that the adapter is ready. A report costs as much as a probe, which is sixty times the
cost of an order.
"""

_CONFIRM_INTERVAL_S = 0.04
"""Interval at which the order for an overdue load is repeated."""

_CONFLICT_PAUSE_S = 0.1
_UNREACHABLE_PAUSE_S = 0.4
_AUDIT_INTERVAL_S = 5.0
"""Interval between reports while nothing is pending."""

_RUNS_REPORT_TIMEOUT_S = 0.7
"""Time for which a new placer unloads nothing from an engine with requests that no box reported.

Boxes check for a new placer every 0.6 s, and report their running requests when they connect.
"""

_SILENT_BOX_TIMEOUT_S = 1.0
"""The same after a box fell silent.

It is dropped 2 s after its last report, and reports at least every 0.7 s. A box that was paused for
2 s reports its running requests again at most 0.7 s after it was dropped.
"""

_ASSIGNMENT_TIMEOUT_S = 2.0
"""Age at which an assignment without a result is dropped, so that the planner can decide again."""


class EngineReconciler:
    """Sends orders to one engine until its places match the planner's assignments.

    Args:
        book: The account of the engine's places.
        control: Sends orders to the engine and reads its reports.
        lease: The placer's lease, whose fence each order carries.
        planner: Chooses the adapters to evict.
        used: Returns the adapters that requests now use, with the instances.
        known_runs: Returns the number of requests on the engine that boxes have reported.
        newest: Returns the newest version of an adapter.
        wanted_model: Returns the base model that an empty engine is to load; None if none may be.
        takes_orders: Returns whether the engine may be given orders.
        holder: The name of the box, which each order carries.
        on_change: Called when the adapters that requests can use have changed.
        log: The log to write to.
        metrics: The metrics to count in.
    """

    def __init__(
        self,
        book: EngineBook,
        *,
        control: EngineControl,
        lease: PlacerLease,
        planner: Planner,
        used: Callable[[], Collection[tuple[str, AdapterKey]]],
        known_runs: Callable[[], int],
        newest: Callable[[AdapterKey], int],
        wanted_model: Callable[[], str | None],
        holder: str,
        on_change: Callable[[EngineBook], None],
        log: Log,
        metrics: ForwardingMetrics,
        takes_orders: Callable[[], bool] = lambda: True,
    ) -> None:
        self._takes_orders = takes_orders
        self.book = book
        self._control = control
        self._lease = lease
        self._planner = planner
        self._used = used
        self._known_runs = known_runs
        self._reported_runs = 0
        self._awaits_until = 0.0
        self._newest = newest
        self._wanted_model = wanted_model
        self._box = holder
        self._on_change = on_change
        self._log = log
        self._metrics = metrics
        self._published_ready: frozenset[tuple[AdapterKey, int]] | None = None
        self._stale = True
        self._reported_at = 0.0
        self._wake_event = Event()
        self._unreachable = Condition(
            log,
            begins=f"Lost the engine {book.instance}.",
            ends=f"Regained the engine {book.instance}.",
        )
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Start the reconciliation loop."""
        self._awaits_until = monotonic() + _RUNS_REPORT_TIMEOUT_S
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the loop; no more orders are sent."""
        if self._task is not None:
            self._task.kill()

    def wake(self) -> None:
        """Check the assignments now."""
        self._wake_event.set()

    def mark_stale(self) -> None:
        """Read a new report, as a request's outcome contradicts the book."""
        self._stale = True
        self._wake_event.set()

    def await_silent_box(self) -> None:
        """Wait for a silent box's word on its requests before an unload; they may run on."""
        self._awaits_until = monotonic() + _SILENT_BOX_TIMEOUT_S
        self.mark_stale()

    def apply_record(self, record: ReplicaRecord) -> None:
        """Apply a new record of the engine."""
        self.book.record = record

    def _run(self) -> None:
        while True:
            if not self._lease.may_order:
                gevent.sleep(_POLL_INTERVAL_S)
                continue
            if self._stale and not self._read_report():
                gevent.sleep(_UNREACHABLE_PAUSE_S)
                continue
            if self._order_next():
                continue
            if self._confirm_next():
                continue
            if not self.book.all_ready or not self.book.models or self.book.assigned:
                self._wake_event.wait(timeout=_POLL_INTERVAL_S)
                self._wake_event.clear()
                self._stale = self._stale or self._is_report_due()
                continue
            woken = self._wake_event.wait(timeout=_AUDIT_INTERVAL_S)
            self._stale = self._stale or not woken
            self._wake_event.clear()

    def _read_report(self) -> bool:
        """Read the engine's report and apply it to the book; return whether the engine answered."""
        book = self.book
        try:
            state = self._read_state()
        except ControlUnanswered as error:
            self._unreachable.begin(error=str(error))
            book.reachable = False
            # The planner assigns them to engines that answer, as requests wait for them.
            book.withdraw_assignments()
            return False
        self._unreachable.end()
        book.reachable = True
        self._reported_at = monotonic()
        self._reported_runs = state.running + state.queued
        if book.apply_report(state):
            self._stale = False
        else:
            gevent.sleep(_POLL_INTERVAL_S)
        self._drop_finished()
        return True

    def _read_state(self) -> EngineState:
        """Return the engine's report.

        Raises:
            ControlUnanswered: If no report came, or the engine has restarted.
        """
        record = self.book.record
        state = self._control.report(record.address, instance=record.replica_id)
        if record.born_ms is not None and state.born_ms != record.born_ms:
            raise AnotherStart(state.born_ms)
        return state

    def _drop_finished(self) -> None:
        """Drop finished and expired assignments, log finished loads, and publish changes."""
        book = self.book
        now = monotonic()
        for key, assigned_at in list(book.assigned.items()):
            if (
                book.is_ready(key, version=self._newest(key))
                or now - assigned_at > _ASSIGNMENT_TIMEOUT_S
            ):
                del book.assigned[key]
        for load in book.completed_loads:
            self._log.info(
                "Loaded an adapter.",
                instance=book.instance,
                adapter=str(load.key),
                seconds=round(load.seconds, 3),
                cold=load.cold,
                at_once=round(self._planner.load_concurrency.limit, 1),
            )
            if load.cold:
                self._planner.load_concurrency.record(load.seconds)
        book.completed_loads.clear()
        ready = frozenset((held.key, held.version) for held in book.ready())
        if ready != self._published_ready:
            self._published_ready = ready
            self._on_change(book)

    def _order_next(self) -> bool:
        """Send the next order, if any; return whether one was sent."""
        book = self.book
        if book.record.leaving or not book.record.understood or not self._takes_orders():
            return False
        if not book.models:
            return self._load_model()
        # While requests use the adapter, its unload would wait and block the engine's other orders.
        used = self._used()
        for unloading in book.unanswered_unloads:
            if (book.instance, unloading) not in used:
                return self._order(OrderKind.UNLOAD, unloading)
        may_unload = not self._awaits_reports()
        outdated = self._first_assigned(
            lambda key: (
                may_unload
                and book.is_outdated(key, version=self._newest(key))
                and (book.instance, key) not in used
            )
        )
        if outdated is not None:
            return self._order(OrderKind.UNLOAD, outdated)
        key = self._first_assigned(lambda key: key not in book.places)
        if key is None:
            return False
        if book.free > 0:
            return self._order(OrderKind.LOAD, key)
        victim = self._planner.victim(book, used=used, now=monotonic())
        if victim is None or not may_unload:
            return False
        return self._order(OrderKind.UNLOAD, victim)

    def _awaits_reports(self) -> bool:
        """Whether the engine may run requests that no box has reported to this placer yet."""
        return monotonic() < self._awaits_until and self._reported_runs > self._known_runs()

    def _first_assigned(self, predicate: Callable[[AdapterKey], bool]) -> AdapterKey | None:
        return next((key for key in self.book.assigned if predicate(key)), None)

    def _confirm_next(self) -> bool:
        """Repeat the order for a load that is due; return whether there was one.

        The engine answers at once whether the adapter is ready, while its reports lag.
        """
        book = self.book
        now = monotonic()
        if not self._takes_orders():
            return False
        for key, place in book.places.items():
            if place.state is PlaceState.LOADING and now >= place.expected_at:
                place.expected_at = now + _CONFIRM_INTERVAL_S
                return self._order(OrderKind.LOAD, key)
        return False

    def _is_report_due(self) -> bool:
        book, now = self.book, monotonic()
        report_age_s = now - self._reported_at
        places = book.places.values()
        if not book.models or any(place.state is PlaceState.UNLOADING for place in places):
            return report_age_s >= _REPORT_INTERVAL_S
        started_at = (place.since for place in places if place.state is PlaceState.LOADING)
        return now - min(started_at, default=now) >= _OVERDUE_LOAD_S <= report_age_s

    def _load_model(self) -> bool:
        """Order an engine without a base model to load one; return whether an order was sent."""
        model = None if self.book.busy else self._wanted_model()
        if model is None:
            return False
        self.book.busy = True
        return self._order(OrderKind.LOAD, AdapterKey(model, ""))

    def _order(self, kind: OrderKind, key: AdapterKey) -> bool:
        book = self.book
        if not self._lease.may_order:
            # The lease may have ended while the report was read.
            return False
        version = self._newest(key) if kind is OrderKind.LOAD else 0
        order = Order(kind, key, version, book.sequence, self._box, self._lease.fence)
        sent_at = monotonic()
        if kind is OrderKind.UNLOAD:
            book.unload_started(key)
        try:
            answer = self._send_order(order)
        except ControlUnanswered as error:
            if kind is OrderKind.UNLOAD:
                book.unload_unanswered(key)
            self._log_order(order, "unanswered", error=str(error))
            self._stale = True
            gevent.sleep(_POLL_INTERVAL_S)
            return True
        self._log_order(order, answer.value)
        self._handle_answer(order, answer, sent_at)
        self._drop_finished()
        return True

    def _send_order(self, order: Order) -> OrderAnswer:
        """Send an order; without an answer it remains recorded as one that may be executed late."""
        record = self.book.record
        self.book.late_orders.record_sent(record, order)
        answer = self._control.order(record.address, instance=record.replica_id, order=order)
        self.book.late_orders.record_answered(record, order)
        return answer

    def _handle_answer(self, order: Order, answer: OrderAnswer, sent_at: float) -> None:
        book = self.book
        if answer is OrderAnswer.DONE and order.kind is OrderKind.LOAD:
            book.loaded(order.key, version=order.version)
            return
        if answer in (OrderAnswer.ACCEPTED, OrderAnswer.DONE):
            self._record_executed(order, answer, sent_at)
            return
        place = book.places.get(order.key)
        if answer is not OrderAnswer.CONFLICT or place is None or not place.unanswered:
            # Skipped after a conflict with an unanswered unload, which may have been executed.
            book.unload_failed(order.key)
        self._stale = True
        if answer is OrderAnswer.OLDER_FENCE:
            self._lease.record_lost(reason="an engine saw a newer fence")
        elif answer in (OrderAnswer.REFUSED, OrderAnswer.CHANGED):
            book.assigned.pop(order.key, None)
        gevent.sleep(_CONFLICT_PAUSE_S)

    def _record_executed(self, order: Order, answer: OrderAnswer, sent_at: float) -> None:
        book = self.book
        place = book.places.get(order.key)
        if order.kind is OrderKind.LOAD and place is not None:
            # The adapter is still loading; the engine did not count the repeated order.
            return
        if book.sequence is not None:
            book.sequence += 1
            book.ordered_at = monotonic()
        if not order.key.adapter:
            self._stale = True
            return
        if order.kind is OrderKind.UNLOAD:
            book.unload_executed(order.key)
            if answer is OrderAnswer.DONE:
                book.unloaded(order.key)
            return
        warm = book.is_cached(order.key, version=order.version)
        expected_s = _WARM_LOAD_S if warm else _COLD_LOAD_S
        book.load_executed(
            order.key,
            version=order.version,
            sent_at=sent_at,
            expected_s=expected_s,
            cold=not warm,
        )

    def _log_order(self, order: Order, answer: str, **fields: object) -> None:
        book = self.book
        self._metrics.orders.labels(order.kind.value, answer).inc()
        self._log.info(
            f"Ordered: {order.kind.value}.",
            instance=book.instance,
            adapter=str(order.key),
            version=order.version,
            sequence=order.expected_sequence,
            fence=order.fence,
            answer=answer,
            places=[f"{key.adapter}:{place.state.value}" for key, place in book.places.items()],
            **fields,
        )
