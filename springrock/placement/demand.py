"""What the requests of this box ask of one zone's placer, and how long they wait for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from itertools import count
from typing import NamedTuple, NoReturn

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, UseOutcome
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey
from springrock.permits.messages import LimitReport
from springrock.permits.permit_book import PermitBook
from springrock.permits.terms import PERMIT_LIFE_S
from springrock.placement.ask_book import RETURN_GRACE_S
from springrock.placement.errors import PlacerSilent
from springrock.placement.messages import (
    Ask,
    Began,
    CopyWish,
    Demand,
    Outcome,
    Over,
    Promise,
    Written,
)
from springrock.placement.messages import Use as UseMessage
from springrock.quotas.charge_book import ChargeBook

_SILENCE_S = 0.2
"""How long a request waits to hear anything of the placer before it asks elsewhere."""

_START_S = 0.15
"""From the adapter's readiness to the first event, about."""

_RETURN_MARGIN_S = 0.1
_RETURNING_PART = 0.6
"""What a client that was told to come back counts, beside one that waits."""

_UNPLANNED_RETRY_S = 1.0

_GATHER_S = 0.01
"""How long what nobody waits for gathers before the placer is told."""

_OUTCOMES = {
    UseOutcome.ENDED: Outcome.ENDED,
    UseOutcome.LACKING: Outcome.LACKING,
    UseOutcome.FULL: Outcome.FULL,
    UseOutcome.UNREACHABLE: Outcome.UNREACHABLE,
    UseOutcome.FAILED: Outcome.FAILED,
}


class _Requester:
    """One request that waits for the placer's word."""

    def __init__(self, number: int, adapter_request: AdapterRequest) -> None:
        self.number = number
        self.adapter_request = adapter_request
        self.began_at = monotonic()
        self.granted: str | None = None
        self.elsewhere = False
        self.permitted = False
        self.updates = Event()

    @property
    def permit_until(self) -> float | None:
        """Until when a cold engine that was granted may be sent the request, from before the ask.

        How long ago the placer took the permit cannot be known from a grant that was waited for.
        """
        return self.began_at + PERMIT_LIFE_S if self.permitted else None


class _Standing(NamedTuple):
    """A use of an engine that has not ended."""

    instance: str
    key: AdapterKey


class _Expected(NamedTuple):
    """A client that was told when to come back."""

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

    def began(self) -> None:
        """Note that the first event of the answer came."""
        self._book.record_start(self.number, monotonic() - self._sent_at)

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Note the end; safe to call again."""
        self._book.record_end(self.number, outcome, backoff_s=backoff_s)


class DemandBook:
    """The asks and uses of this box, and what of them the placer has not been told.

    Args:
        has_placer: Whether a placer hears of them now.
        leaving: Returns the known replicas that leave, which a placer that is new to this box may
            not know to do so.
        limits: Returns what answers told of the limits of the zone's replicas, for such a placer.

    Attributes:
        stopping: Whether this box is about to stop.
        charges: The charges of this box's requests to their teams.
        permits: The permits of this box's requests to cold or limited replicas.
        changed: Set while there is something to tell.
        urgent: Set while a request waits to be told.
    """

    def __init__(
        self,
        *,
        has_placer: Callable[[], bool],
        leaving: Callable[[], Collection[str]] = tuple,
        limits: Callable[[], Collection[LimitReport]] = tuple,
    ) -> None:
        self._has_placer = has_placer
        self._leaving = leaving
        self._limits = limits
        self._numbers = count(1)
        self._requesters: dict[int, _Requester] = {}
        self._uses: dict[int, _Standing] = {}
        self._expected: list[_Expected] = []
        self._forecasts: dict[AdapterKey, float] = {}
        self._updates = _PendingUpdates()
        self._written: list[Written] = []
        self.charges = ChargeBook(on_update=lambda urgent: self._notify(urgent=urgent))
        self.permits = PermitBook(on_update=lambda urgent: self._notify(urgent=urgent))
        self.stopping = False
        self.changed = Event()
        self.urgent = Event()

    # What requests do.

    def find(self, adapter_request: AdapterRequest) -> EngineUse:
        """Ask for an engine and wait for the placer's word.

        Raises:
            PlacerSilent: If no placer tells when the adapter will be there.
            NoReplica: As soon as it is clear that the request should come back later instead.
        """
        requester = _Requester(next(self._numbers), adapter_request)
        self._requesters[requester.number] = requester
        self._updates.asks.add(requester.number)
        self._notify(urgent=True)
        try:
            while requester.granted is None:
                self._check(requester)
                requester.updates.wait(timeout=max(0.01, self._next_check_s(requester)))
                requester.updates.clear()
            self._uses[requester.number] = _Standing(requester.granted, adapter_request.key)
            return EngineUse(self, requester.number, requester.granted, requester.permit_until)
        finally:
            del self._requesters[requester.number]
            if requester.number not in self._uses:
                self._withdraw(requester.number)

    def use(self, instance: str, key: AdapterKey) -> EngineUse:
        """Note the use of an engine that no placer granted."""
        number = next(self._numbers)
        self._uses[number] = _Standing(instance, key)
        self._updates.uses.add(number)
        self._notify()
        return EngineUse(self, number, instance)

    def record_start(self, number: int, after_s: float) -> None:
        """Note that the first event of a use came, so long after it was sent."""
        if number in self._uses and number not in self._updates.uses and self._has_placer():
            self._updates.began.append(Began(number, round(after_s * 1000)))
            self._notify()

    def record_end(self, number: int, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Note the end of a use; what has ended is passed over."""
        if self._uses.pop(number, None) is None:
            return
        if number in self._updates.uses:
            self._updates.uses.discard(number)
            return
        self._notify_end(Over(number, _OUTCOMES[outcome], math.ceil(1000 * backoff_s)))

    def _withdraw(self, number: int) -> None:
        if number in self._updates.asks:
            self._updates.asks.discard(number)
            return
        self._notify_end(Over(number))

    def _notify_end(self, over: Over) -> None:
        if self._has_placer():
            # Without one there is nobody to forget it; the next is told what stands.
            self._updates.over.append(over)
            self._notify()

    def _notify(self, *, urgent: bool = False) -> None:
        self.changed.set()
        if urgent:
            self.urgent.set()

    def _check(self, requester: _Requester) -> None:
        now = monotonic()
        terms = requester.adapter_request.terms
        if now >= terms.until:
            raise NoReplica("adapter_not_in_time", _UNPLANNED_RETRY_S)
        if requester.elsewhere:
            raise PlacerSilent()
        ready_at = self._forecasts.get(requester.adapter_request.key)
        if ready_at is None:
            if now - requester.began_at >= _SILENCE_S or not self._has_placer():
                raise PlacerSilent()
            return
        if max(ready_at, now) + _START_S > terms.until:
            self._reject(requester.adapter_request, max(0.0, ready_at - now))

    def _reject(self, adapter_request: AdapterRequest, ready_in_s: float) -> NoReturn:
        """Reject what cannot be served while its client waits, and say when to come back.

        Whoever a load still serves is held: an answer that comes late is worth something, a
        rejection nothing, whatever comes of another try. The load is kept for a client that can
        come back for it.
        """
        if ready_in_s > adapter_request.terms.returns_within_s:
            raise NoReplica("load_not_in_time", ready_in_s)
        back_in_s = ready_in_s + _RETURN_MARGIN_S
        worth = adapter_request.terms.worth * _RETURNING_PART
        expected = _Expected(adapter_request.key, worth, monotonic() + back_in_s)
        self._expected.append(expected)
        self._updates.expected.append(expected)
        self._notify()
        raise NoReplica("load_promised", back_in_s)

    def _next_check_s(self, requester: _Requester) -> float:
        now = monotonic()
        check_times = [
            requester.adapter_request.terms.until,
            requester.adapter_request.terms.until - _START_S,
        ]
        if requester.adapter_request.key not in self._forecasts:
            check_times.append(requester.began_at + _SILENCE_S)
        return min((at - now for at in check_times if at > now), default=0.02)

    # What the placer tells.

    def record_grant(
        self, number: int, instance: str, *, permitted: bool = False
    ) -> AdapterKey | None:
        """Learn where a request is to be sent; one that left has been withdrawn.

        Returns:
            The adapter that it asked for; None if it has left.
        """
        requester = self._requesters.get(number)
        if requester is None:
            return None
        requester.granted = instance
        requester.permitted = permitted
        requester.updates.set()
        return requester.adapter_request.key

    def record_forecast(
        self, key: AdapterKey, ready_in_s: float, *, elsewhere: bool = False
    ) -> None:
        """Learn when an adapter will be there, or that who waits is to ask another zone."""
        self._forecasts[key] = monotonic() + ready_in_s
        for requester in self._requesters.values():
            if requester.adapter_request.key == key:
                requester.elsewhere = requester.elsewhere or elsewhere
                requester.updates.set()

    def ask_elsewhere(self, *, but_for: Callable[[AdapterKey], bool]) -> None:
        """Let those who wait now ask another zone's placer, as nothing is brought here any more.

        Args:
            but_for: The adapters that are served here yet.
        """
        for requester in self._requesters.values():
            if not but_for(requester.adapter_request.key):
                requester.elsewhere = True
                requester.updates.set()

    def request_copy(self, key: AdapterKey, saves: int) -> None:
        """Wish for a copy here that would save so many hundredths of a load."""
        if self._has_placer():
            self._updates.copies[key] = saves
            self._notify()

    def record_leaving(self, instance: str) -> None:
        """Tell that a replica leaves, as its answer said so."""
        if self._has_placer():
            self._updates.leaving.add(instance)
            self._notify()

    def record_limit(self, word: LimitReport) -> None:
        """Tell what an answer told of a replica's limit; a later word replaces it."""
        if self._has_placer():
            self._updates.limits[word.instance] = word
            self._notify()

    def forget_placer(self) -> None:
        """Lose the placer: its forecasts, and its word on who waits."""
        self._forecasts.clear()
        self.charges.forget_placer()
        self.permits.forget_placer()
        for requester in self._requesters.values():
            requester.updates.set()

    def record_written(self, written: Written) -> None:
        """Tell the placer what came of a row that it had asked to be written."""
        self._written.append(written)
        self._notify(urgent=True)

    # What tells the placer.

    def wait_for_updates(self, *, timeout_s: float | None = None) -> None:
        """Wait until there is something to tell; what nobody waits for gathers for a little."""
        if self.changed.wait(timeout=timeout_s):
            self.urgent.wait(timeout=_GATHER_S)

    def whole(self) -> Demand:
        """Return all that stands, for a placer that knows nothing of this box yet."""
        now = monotonic()
        self._updates = _PendingUpdates()
        self._updates.asks.update(number for number in self._requesters)
        self._updates.uses.update(self._uses)
        self._expected = [item for item in self._expected if item.back_at + RETURN_GRACE_S > now]
        self._updates.expected = list(self._expected)
        self._updates.leaving.update(self._leaving())
        self._updates.limits.update((word.instance, word) for word in self._limits())
        return self.drain_updates()

    def drain_updates(self) -> Demand:
        """Return what the placer has not been told."""
        updates, self._updates = self._updates, _PendingUpdates()
        self.changed.clear()
        self.urgent.clear()
        now = monotonic()
        charges, given_back = self.charges.drain_updates()
        permits, observations = self.permits.drain_updates()
        written, self._written = self._written, []
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
                UseMessage(number, existing.instance, *existing.key)
                for number, existing in ((number, self._uses[number]) for number in updates.uses)
            ],
            began=updates.began,
            over=updates.over,
            promises=[
                Promise(*item.key, round(item.worth, 2), max(0, round(1000 * (item.back_at - now))))
                for item in updates.expected
            ],
            stopping=self.stopping,
            charges=charges,
            given_back=given_back,
            written=written,
            permits=permits,
            observations=observations,
            copies=[CopyWish(*key, saves) for key, saves in updates.copies.items()],
            leaving=sorted(updates.leaving),
            limits=list(updates.limits.values()),
        )


class _PendingUpdates:
    """What the placer has not been told yet."""

    def __init__(self) -> None:
        self.asks: set[int] = set()
        self.uses: set[int] = set()
        self.began: list[Began] = []
        self.over: list[Over] = []
        self.expected: list[_Expected] = []
        self.copies: dict[AdapterKey, int] = {}
        self.leaving: set[str] = set()
        self.limits: dict[str, LimitReport] = {}


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
    )
