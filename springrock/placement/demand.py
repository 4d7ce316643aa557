"""Demand of this box on one zone's placer: requests that wait for an engine, and engine uses."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from itertools import count
from typing import NamedTuple, NoReturn

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, UseOutcome
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.stream_origins import Origin
from springrock.permits.messages import LimitReport
from springrock.permits.permit_book import PermitBook
from springrock.permits.terms import PERMIT_LIFE_S
from springrock.placement.ask_book import RETRY_GRACE_S
from springrock.placement.errors import PlacerSilent
from springrock.placement.messages import (
    Ask,
    BegunStreams,
    CopyRequest,
    Demand,
    Ended,
    ExpectedRetry,
    Outcome,
    Started,
    Written,
)
from springrock.placement.messages import Use as UseMessage
from springrock.placement.origin_questions import OriginQuestions
from springrock.quotas.charge_book import ChargeBook

_PLACER_TIMEOUT_S = 0.2
"""How long a request waits for a forecast before it asks the placer of another zone."""

_FIRST_EVENT_DELAY_S = 0.15
"""Estimated time from an adapter's readiness to the first event of the answer."""

_RETRY_MARGIN_S = 0.1
"""Added to the time until an adapter is ready when a client is asked to retry later."""

_RETRY_WORTH_FACTOR = 0.6
"""Weight of a client that was asked to retry later, relative to one that waits."""

_DEFAULT_RETRY_S = 1.0
"""Retry delay for a request whose wait ended without a usable forecast."""

_BATCH_DELAY_S = 0.01
"""How long updates that no request waits for are batched before they are sent."""

_OUTCOMES = {
    UseOutcome.ENDED: Outcome.ENDED,
    UseOutcome.ADAPTER_MISSING: Outcome.LACKING,
    UseOutcome.FULL: Outcome.FULL,
    UseOutcome.UNREACHABLE: Outcome.UNREACHABLE,
    UseOutcome.FAILED: Outcome.FAILED,
}


class _Requester:
    """A request that waits for the placer's grant or forecast."""

    def __init__(self, number: int, adapter_request: AdapterRequest) -> None:
        self.number = number
        self.adapter_request = adapter_request
        self.began_at = monotonic()
        self.granted: str | None = None
        self.elsewhere = False
        self.permitted = False
        self.changed = Event()

    @property
    def permit_until(self) -> float | None:
        """When the permit to send to a cold engine expires; None without a permit.

        The permit's life is counted from the start of the ask, since a grant does not carry the
        time at which the placer reserved the permit.
        """
        return self.began_at + PERMIT_LIFE_S if self.permitted else None


class _ActiveUse(NamedTuple):
    """A use of an engine that has not ended yet."""

    instance: str
    key: AdapterKey


class _RetryRecord(NamedTuple):
    """A client that was given a time at which to retry."""

    key: AdapterKey
    worth: float
    back_at: float


class EngineUse:
    """Implements `springrock.forwarding.adapters.Use`."""

    def __init__(
        self, book: DemandBook, number: int, instance: str, permit_until: float | None = None
    ) -> None:
        self.instance = instance
        self.permit_until = permit_until
        self._book = book
        self.number = number
        self._sent_at = monotonic()

    def record_first_event(self) -> None:
        """Record that the first event of the answer arrived."""
        self._book.record_start(self.number, monotonic() - self._sent_at)

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Record the end of the use; later calls have no effect."""
        self._book.record_end(self.number, outcome, backoff_s=backoff_s)


class DemandBook:
    """The asks and engine uses of this box, and the updates that its placer has not received yet.

    Args:
        has_placer: Returns whether this box is linked to the zone's placer.
        leaving: Returns the known replicas that are leaving; sent in full to a newly linked placer.
        limits: Returns the limits of the zone's replicas as read from answers; sent in full to a
            newly linked placer.
        brittle: As `limits`, for how many requests brittle replicas may turn away.
        cut_off: Returns whether this box reaches no replica.

    Attributes:
        stopping: Whether this box is about to stop.
        charges: The charges of this box's requests to their teams.
        permits: The permits of this box's requests to cold or limited replicas.
        origin_questions: The questions for the origins of streams that clients take up here.
        changed: Set while there are updates to send.
        urgent: Set while there are updates that a request waits for.
    """

    def __init__(
        self,
        *,
        has_placer: Callable[[], bool],
        leaving: Callable[[], Collection[str]] = tuple,
        limits: Callable[[], Collection[LimitReport]] = tuple,
        brittle: Callable[[], Collection[LimitReport]] = tuple,
        cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._has_placer = has_placer
        self._leaving = leaving
        self._limits = limits
        self._brittle = brittle
        self._cut_off = cut_off
        self._numbers = count(1)
        self._requesters: dict[int, _Requester] = {}
        self._uses: dict[int, _ActiveUse] = {}
        self._expected_retries: list[_RetryRecord] = []
        self._forecasts: dict[AdapterKey, float] = {}
        self._updates = _PendingUpdates()
        self._written: list[Written] = []
        self.charges = ChargeBook(on_update=lambda urgent: self._mark_changed(urgent=urgent))
        self.permits = PermitBook(on_update=lambda urgent: self._mark_changed(urgent=urgent))
        self.origin_questions = OriginQuestions(on_update=lambda: self._mark_changed(urgent=True))
        self._begun: dict[Origin, list[str]] = {}
        self.stopping = False
        self._ends_at = math.inf
        self.changed = Event()
        self.urgent = Event()

    # Called for requests.

    def find(self, adapter_request: AdapterRequest) -> EngineUse:
        """Ask the placer for an engine and wait for its grant.

        Raises:
            PlacerSilent: If no placer answers in time, or if the placer refers the request to
                another zone.
            NoReplica: As soon as it is clear that the request cannot be served in time; the client
                should retry later.
        """
        requester = _Requester(next(self._numbers), adapter_request)
        self._requesters[requester.number] = requester
        self._updates.asks.add(requester.number)
        self._mark_changed(urgent=True)
        try:
            while requester.granted is None:
                self._check_wait(requester)
                requester.changed.wait(timeout=max(0.01, self._next_check_s(requester)))
                requester.changed.clear()
            self._uses[requester.number] = _ActiveUse(requester.granted, adapter_request.key)
            return EngineUse(self, requester.number, requester.granted, requester.permit_until)
        finally:
            del self._requesters[requester.number]
            if requester.number not in self._uses:
                self._end_ask(requester.number)

    def begin_stop(self, *, ends_at: float) -> None:
        """Let no request wait longer than it can and still end before this box does.

        Args:
            ends_at: When this box ends, on the local monotonic clock.
        """
        self.stopping = True
        self._ends_at = ends_at
        for requester in self._requesters.values():
            requester.changed.set()
        self._mark_changed()

    def use(self, instance: str, key: AdapterKey) -> EngineUse:
        """Start a use of an engine that no placer granted."""
        number = next(self._numbers)
        self._uses[number] = _ActiveUse(instance, key)
        self._updates.uses.add(number)
        self._mark_changed()
        return EngineUse(self, number, instance)

    def record_start(self, number: int, after_s: float) -> None:
        """Record that the first event of a use arrived `after_s` seconds after it was sent."""
        if number in self._uses and number not in self._updates.uses and self._has_placer():
            self._updates.started.append(Started(number, round(after_s * 1000)))
            self._mark_changed()

    def record_end(self, number: int, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Record the end of a use; a use that has already ended is ignored."""
        if self._uses.pop(number, None) is None:
            return
        if number in self._updates.uses:
            self._updates.uses.discard(number)
            return
        self._add_end(Ended(number, _OUTCOMES[outcome], math.ceil(1000 * backoff_s)))

    def _end_ask(self, number: int) -> None:
        """Withdraw an ask that was not granted, or whose grant was not used."""
        if number in self._updates.asks:
            self._updates.asks.discard(number)
            return
        self._add_end(Ended(number))

    def _add_end(self, ended: Ended) -> None:
        """Queue the end of an ask or use for the placer."""
        if self._has_placer():
            # Without a placer nothing is queued: the next placer gets all current asks and uses.
            self._updates.ended.append(ended)
            self._mark_changed()

    def _mark_changed(self, *, urgent: bool = False) -> None:
        self.changed.set()
        if urgent:
            self.urgent.set()

    def _check_wait(self, requester: _Requester) -> None:
        """Raise if a request should not wait for its grant any longer."""
        now = monotonic()
        terms = requester.adapter_request.terms
        if now >= self._ends_at - terms.run_s:
            raise NoReplica("stopping", 0.0)
        if now >= terms.until:
            raise NoReplica("adapter_not_in_time", _DEFAULT_RETRY_S)
        if requester.elsewhere:
            raise PlacerSilent()
        ready_at = self._forecasts.get(requester.adapter_request.key)
        if ready_at is None:
            if now - requester.began_at >= _PLACER_TIMEOUT_S or not self._has_placer():
                raise PlacerSilent()
            return
        starts_at = max(ready_at, now)
        if starts_at + _FIRST_EVENT_DELAY_S > terms.until:
            self._reject(requester.adapter_request, max(0.0, ready_at - now))
        if starts_at > self._ends_at - terms.run_s:
            raise NoReplica("stopping", 0.0)

    def _reject(self, adapter_request: AdapterRequest, ready_in_s: float) -> NoReturn:
        """Raise `NoReplica` for a request whose adapter is not ready before its deadline.

        Requests that a load can still serve in time keep waiting: a late answer has some worth,
        a rejection none, even if a retry succeeds. For a client that can retry when the adapter is
        ready, the placer is notified of the expected retry, so that it still loads the adapter.
        """
        if ready_in_s > adapter_request.terms.retry_within_s:
            raise NoReplica("load_not_in_time", ready_in_s)
        retry_in_s = ready_in_s + _RETRY_MARGIN_S
        worth = adapter_request.terms.worth * _RETRY_WORTH_FACTOR
        expected = _RetryRecord(adapter_request.key, worth, monotonic() + retry_in_s)
        self._expected_retries.append(expected)
        self._updates.expected_retries.append(expected)
        self._mark_changed()
        raise NoReplica("load_promised", retry_in_s)

    def _next_check_s(self, requester: _Requester) -> float:
        now = monotonic()
        check_times = [
            self._ends_at - requester.adapter_request.terms.run_s,
            requester.adapter_request.terms.until,
            requester.adapter_request.terms.until - _FIRST_EVENT_DELAY_S,
        ]
        if requester.adapter_request.key not in self._forecasts:
            check_times.append(requester.began_at + _PLACER_TIMEOUT_S)
        return min((at - now for at in check_times if at > now), default=0.02)

    # Called for messages of the placer.

    def record_grant(
        self, number: int, instance: str, *, permitted: bool = False
    ) -> AdapterKey | None:
        """Pass a grant to the request that waits for it.

        Returns:
            The adapter that the request asked for; None if it no longer waits.
        """
        requester = self._requesters.get(number)
        if requester is None:
            return None
        requester.granted = instance
        requester.permitted = permitted
        requester.changed.set()
        return requester.adapter_request.key

    def record_forecast(
        self, key: AdapterKey, ready_in_s: float, *, elsewhere: bool = False
    ) -> None:
        """Record when an adapter will be ready; wake the requests that wait for it.

        Args:
            key: The adapter.
            ready_in_s: Seconds until it is ready.
            elsewhere: Whether the waiting requests should ask another zone.
        """
        self._forecasts[key] = monotonic() + ready_in_s
        for requester in self._requesters.values():
            if requester.adapter_request.key == key:
                requester.elsewhere = requester.elsewhere or elsewhere
                requester.changed.set()

    def ask_elsewhere(self, *, except_for: Callable[[AdapterKey], bool]) -> None:
        """Refer the waiting requests to another zone, as no adapters are loaded here any more.

        Args:
            except_for: Returns whether an adapter is still served here; its requests keep waiting.
        """
        for requester in self._requesters.values():
            if not except_for(requester.adapter_request.key):
                requester.elsewhere = True
                requester.changed.set()

    def request_copy(self, key: AdapterKey, saves: int) -> None:
        """Ask the placer for a copy of an adapter in this zone.

        Args:
            key: The adapter.
            saves: What the copy would save, in hundredths of a load.
        """
        if self._has_placer():
            self._updates.copies[key] = saves
            self._mark_changed()

    def record_leaving(self, instance: str) -> None:
        """Report a replica whose answer said that it is leaving."""
        if self._has_placer():
            self._updates.leaving.add(instance)
            self._mark_changed()

    def record_limit(self, limit: LimitReport) -> None:
        """Report the limit that a replica named in an answer; a later report replaces it."""
        if self._has_placer():
            self._updates.limits[limit.instance] = limit
            self._mark_changed()

    def record_begun(self, origins: Iterable[tuple[str, Origin]]) -> None:
        """Tell the placer the origins of streams, by the ids of their requests."""
        for request_id, origin in origins:
            self._begun.setdefault(origin, []).append(request_id)
        self._mark_changed()

    def record_brittle(self, report: LimitReport) -> None:
        """Report what a brittle replica named in an answer; a later report replaces it."""
        if self._has_placer():
            self._updates.brittle[report.instance] = report
            self._mark_changed()

    def forget_placer(self) -> None:
        """Drop what only the placer that was lost was to know or to answer."""
        self._forecasts.clear()
        self._begun.clear()
        self.origin_questions.forget_placer()
        self.charges.forget_placer()
        self.permits.forget_placer()
        for requester in self._requesters.values():
            requester.changed.set()

    def record_written(self, written: Written) -> None:
        """Report the result of a row that the placer asked this box to write."""
        self._written.append(written)
        self._mark_changed(urgent=True)

    # Called to send updates to the placer.

    def wait_for_updates(self, *, timeout_s: float | None = None) -> None:
        """Wait for updates to send; those that no request waits for are batched briefly."""
        if self.changed.wait(timeout=timeout_s):
            self.urgent.wait(timeout=_BATCH_DELAY_S)

    def full_demand(self) -> Demand:
        """Return all current asks, uses and expected retries, for a newly linked placer."""
        now = monotonic()
        self._updates = _PendingUpdates()
        self._updates.asks.update(number for number in self._requesters)
        self._updates.uses.update(self._uses)
        self._expected_retries = [
            item for item in self._expected_retries if item.back_at + RETRY_GRACE_S > now
        ]
        self._updates.expected_retries = list(self._expected_retries)
        self._updates.leaving.update(self._leaving())
        self._updates.limits.update((limit.instance, limit) for limit in self._limits())
        self._updates.brittle.update((report.instance, report) for report in self._brittle())
        return self.drain_updates()

    def drain_updates(self) -> Demand:
        """Return and clear the updates that the placer has not received yet."""
        updates, self._updates = self._updates, _PendingUpdates()
        self.changed.clear()
        self.urgent.clear()
        now = monotonic()
        charges, refunds = self.charges.drain_updates()
        permits, observations = self.permits.drain_updates()
        written, self._written = self._written, []
        begun, self._begun = self._begun, {}
        wanted = {requester.adapter_request.key for requester in self._requesters.values()}
        for key in [key for key in self._forecasts if key not in wanted]:
            del self._forecasts[key]
        return Demand(
            asks=[
                _ask_from(self._requesters[number], now)
                for number in sorted(updates.asks)
                if number in self._requesters
            ],
            uses=[
                UseMessage(number, use.instance, *use.key)
                for number, use in ((number, self._uses[number]) for number in updates.uses)
            ],
            started=updates.started,
            ended=updates.ended,
            expected_retries=[
                ExpectedRetry(
                    *item.key, round(item.worth, 2), max(0, round(1000 * (item.back_at - now)))
                )
                for item in updates.expected_retries
            ],
            stopping=self.stopping,
            charges=charges,
            refunds=refunds,
            written=written,
            permits=permits,
            observations=observations,
            copies=[CopyRequest(*key, saves) for key, saves in updates.copies.items()],
            leaving=sorted(updates.leaving),
            limits=list(updates.limits.values()),
            cut_off=self._cut_off(),
            begun=[BegunStreams(*origin, requests) for origin, requests in begun.items()],
            origin_questions=self.origin_questions.drain_updates(),
            brittle=list(updates.brittle.values()),
            permit_uses=self.permits.drain_uses(),
        )


class _PendingUpdates:
    """Updates that the placer has not received yet."""

    def __init__(self) -> None:
        self.asks: set[int] = set()
        self.uses: set[int] = set()
        self.started: list[Started] = []
        self.ended: list[Ended] = []
        self.expected_retries: list[_RetryRecord] = []
        self.copies: dict[AdapterKey, int] = {}
        self.leaving: set[str] = set()
        self.limits: dict[str, LimitReport] = {}
        self.brittle: dict[str, LimitReport] = {}


def _ask_from(requester: _Requester, now: float) -> Ask:
    adapter_request = requester.adapter_request
    return Ask(
        number=requester.number,
        request=adapter_request.request_id,
        model=adapter_request.key.model,
        adapter=adapter_request.key.adapter,
        worth=round(adapter_request.terms.worth, 2),
        target_left_ms=round(1000 * (adapter_request.terms.target_at - now)),
        prompt=[(part.part_id, part.tokens) for part in adapter_request.prompt],
        tried=sorted(adapter_request.avoid),
        failed_at=sorted(adapter_request.failed_at),
        regions=None
        if adapter_request.bounds.regions is None
        else sorted(adapter_request.bounds.regions),
        software=adapter_request.bounds.software,
    )
