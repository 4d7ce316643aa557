"""What the requests of this box ask of one zone's placer, and how long they wait for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from itertools import count
from typing import NamedTuple, NoReturn

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import UseOutcome, Wish
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey
from springrock.permits.messages import LimitWord
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


class _Asker:
    """One request that waits for the placer's word."""

    def __init__(self, number: int, wish: Wish) -> None:
        self.number = number
        self.wish = wish
        self.began_at = monotonic()
        self.granted: str | None = None
        self.elsewhere = False
        self.permitted = False
        self.news = Event()

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
        self._book.note_began(self.number, monotonic() - self._sent_at)

    def end(self, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Note the end; safe to call again."""
        self._book.note_end(self.number, outcome, backoff_s=backoff_s)


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
        limits: Callable[[], Collection[LimitWord]] = tuple,
    ) -> None:
        self._has_placer = has_placer
        self._leaving = leaving
        self._limits = limits
        self._numbers = count(1)
        self._askers: dict[int, _Asker] = {}
        self._uses: dict[int, _Standing] = {}
        self._expected: list[_Expected] = []
        self._forecasts: dict[AdapterKey, float] = {}
        self._news = _News()
        self._written: list[Written] = []
        self.charges = ChargeBook(on_news=lambda urgent: self._tell(urgent=urgent))
        self.permits = PermitBook(on_news=lambda urgent: self._tell(urgent=urgent))
        self.stopping = False
        self.changed = Event()
        self.urgent = Event()

    # What requests do.

    def find(self, wish: Wish) -> EngineUse:
        """Ask for an engine and wait for the placer's word.

        Raises:
            PlacerSilent: If no placer tells when the adapter will be there.
            NoReplica: As soon as it is clear that the request should come back later instead.
        """
        asker = _Asker(next(self._numbers), wish)
        self._askers[asker.number] = asker
        self._news.asks.add(asker.number)
        self._tell(urgent=True)
        try:
            while asker.granted is None:
                self._check(asker)
                asker.news.wait(timeout=max(0.01, self._next_look_s(asker)))
                asker.news.clear()
            self._uses[asker.number] = _Standing(asker.granted, wish.key)
            return EngineUse(self, asker.number, asker.granted, asker.permit_until)
        finally:
            del self._askers[asker.number]
            if asker.number not in self._uses:
                self._withdraw(asker.number)

    def use(self, instance: str, key: AdapterKey) -> EngineUse:
        """Note the use of an engine that no placer granted."""
        number = next(self._numbers)
        self._uses[number] = _Standing(instance, key)
        self._news.uses.add(number)
        self._tell()
        return EngineUse(self, number, instance)

    def note_began(self, number: int, after_s: float) -> None:
        """Note that the first event of a use came, so long after it was sent."""
        if number in self._uses and number not in self._news.uses and self._has_placer():
            self._news.began.append(Began(number, round(after_s * 1000)))
            self._tell()

    def note_end(self, number: int, outcome: UseOutcome, *, backoff_s: float = 0.0) -> None:
        """Note the end of a use; what has ended is passed over."""
        if self._uses.pop(number, None) is None:
            return
        if number in self._news.uses:
            self._news.uses.discard(number)
            return
        self._tell_over(Over(number, _OUTCOMES[outcome], math.ceil(1000 * backoff_s)))

    def _withdraw(self, number: int) -> None:
        if number in self._news.asks:
            self._news.asks.discard(number)
            return
        self._tell_over(Over(number))

    def _tell_over(self, over: Over) -> None:
        if self._has_placer():
            # Without one there is nobody to forget it; the next is told what stands.
            self._news.over.append(over)
            self._tell()

    def _tell(self, *, urgent: bool = False) -> None:
        self.changed.set()
        if urgent:
            self.urgent.set()

    def _check(self, asker: _Asker) -> None:
        now = monotonic()
        terms = asker.wish.terms
        if now >= terms.until:
            raise NoReplica("adapter_not_in_time", _UNPLANNED_RETRY_S)
        if asker.elsewhere:
            raise PlacerSilent()
        ready_at = self._forecasts.get(asker.wish.key)
        if ready_at is None:
            if now - asker.began_at >= _SILENCE_S or not self._has_placer():
                raise PlacerSilent()
            return
        if max(ready_at, now) + _START_S > terms.until:
            self._reject(asker.wish, max(0.0, ready_at - now))

    def _reject(self, wish: Wish, ready_in_s: float) -> NoReturn:
        """Reject what cannot be served while its client waits, and say when to come back.

        Whoever a load still serves is held: an answer that comes late is worth something, a
        rejection nothing, whatever comes of another try. The load is kept for a client that can
        come back for it.
        """
        if ready_in_s > wish.terms.returns_within_s:
            raise NoReplica("load_not_in_time", ready_in_s)
        back_in_s = ready_in_s + _RETURN_MARGIN_S
        worth = wish.terms.worth * _RETURNING_PART
        expected = _Expected(wish.key, worth, monotonic() + back_in_s)
        self._expected.append(expected)
        self._news.expected.append(expected)
        self._tell()
        raise NoReplica("load_promised", back_in_s)

    def _next_look_s(self, asker: _Asker) -> float:
        now = monotonic()
        looks = [asker.wish.terms.until, asker.wish.terms.until - _START_S]
        if asker.wish.key not in self._forecasts:
            looks.append(asker.began_at + _SILENCE_S)
        return min((at - now for at in looks if at > now), default=0.02)

    # What the placer tells.

    def note_grant(
        self, number: int, instance: str, *, permitted: bool = False
    ) -> AdapterKey | None:
        """Learn where a request is to be sent; one that left has been withdrawn.

        Returns:
            The adapter that it asked for; None if it has left.
        """
        asker = self._askers.get(number)
        if asker is None:
            return None
        asker.granted = instance
        asker.permitted = permitted
        asker.news.set()
        return asker.wish.key

    def note_forecast(self, key: AdapterKey, ready_in_s: float, *, elsewhere: bool = False) -> None:
        """Learn when an adapter will be there, or that who waits is to ask another zone."""
        self._forecasts[key] = monotonic() + ready_in_s
        for asker in self._askers.values():
            if asker.wish.key == key:
                asker.elsewhere = asker.elsewhere or elsewhere
                asker.news.set()

    def ask_elsewhere(self, *, but_for: Callable[[AdapterKey], bool]) -> None:
        """Let those who wait now ask another zone's placer, as nothing is brought here any more.

        Args:
            but_for: The adapters that are served here yet.
        """
        for asker in self._askers.values():
            if not but_for(asker.wish.key):
                asker.elsewhere = True
                asker.news.set()

    def wish_copy(self, key: AdapterKey, saves: int) -> None:
        """Wish for a copy here that would save so many hundredths of a load."""
        if self._has_placer():
            self._news.copies[key] = saves
            self._tell()

    def note_leaving(self, instance: str) -> None:
        """Tell that a replica leaves, as its answer said so."""
        if self._has_placer():
            self._news.leaving.add(instance)
            self._tell()

    def note_limit(self, word: LimitWord) -> None:
        """Tell what an answer told of a replica's limit; a later word replaces it."""
        if self._has_placer():
            self._news.limits[word.instance] = word
            self._tell()

    def forget_placer(self) -> None:
        """Lose the placer: its forecasts, and its word on who waits."""
        self._forecasts.clear()
        self.charges.forget_placer()
        self.permits.forget_placer()
        for asker in self._askers.values():
            asker.news.set()

    def note_written(self, written: Written) -> None:
        """Tell the placer what came of a row that it had asked to be written."""
        self._written.append(written)
        self._tell(urgent=True)

    # What tells the placer.

    def wait_for_news(self, *, timeout_s: float | None = None) -> None:
        """Wait until there is something to tell; what nobody waits for gathers for a little."""
        if self.changed.wait(timeout=timeout_s):
            self.urgent.wait(timeout=_GATHER_S)

    def whole(self) -> Demand:
        """Return all that stands, for a placer that knows nothing of this box yet."""
        now = monotonic()
        self._news = _News()
        self._news.asks.update(number for number in self._askers)
        self._news.uses.update(self._uses)
        self._expected = [item for item in self._expected if item.back_at + RETURN_GRACE_S > now]
        self._news.expected = list(self._expected)
        self._news.leaving.update(self._leaving())
        self._news.limits.update((word.instance, word) for word in self._limits())
        return self.take_news()

    def take_news(self) -> Demand:
        """Return what the placer has not been told."""
        news, self._news = self._news, _News()
        self.changed.clear()
        self.urgent.clear()
        now = monotonic()
        charges, given_back = self.charges.take_news()
        permits, sightings = self.permits.take_news()
        written, self._written = self._written, []
        wanted = {asker.wish.key for asker in self._askers.values()}
        for key in [key for key in self._forecasts if key not in wanted]:
            del self._forecasts[key]
        return Demand(
            asks=[
                _ask_from(self._askers[number], now)
                for number in sorted(news.asks)
                if number in self._askers
            ],
            uses=[
                UseMessage(number, standing.instance, *standing.key)
                for number, standing in ((number, self._uses[number]) for number in news.uses)
            ],
            began=news.began,
            over=news.over,
            promises=[
                Promise(*item.key, round(item.worth, 2), max(0, round(1000 * (item.back_at - now))))
                for item in news.expected
            ],
            stopping=self.stopping,
            charges=charges,
            given_back=given_back,
            written=written,
            permits=permits,
            sightings=sightings,
            copies=[CopyWish(*key, saves) for key, saves in news.copies.items()],
            leaving=sorted(news.leaving),
            limits=list(news.limits.values()),
        )


class _News:
    """What the placer has not been told yet."""

    def __init__(self) -> None:
        self.asks: set[int] = set()
        self.uses: set[int] = set()
        self.began: list[Began] = []
        self.over: list[Over] = []
        self.expected: list[_Expected] = []
        self.copies: dict[AdapterKey, int] = {}
        self.leaving: set[str] = set()
        self.limits: dict[str, LimitWord] = {}


def _ask_from(asker: _Asker, now: float) -> Ask:
    wish = asker.wish
    return Ask(
        number=asker.number,
        request=wish.request_id,
        model=wish.key.model,
        adapter=wish.key.adapter,
        worth=round(wish.terms.worth, 2),
        target_left_ms=round(1000 * (wish.terms.target_at - now)),
        prompt=[(part.part_id, part.tokens) for part in wish.prompt],
        tried=sorted(wish.avoid),
        failed_at=sorted(wish.failed_at),
        regions=None if wish.bounds.regions is None else sorted(wish.bounds.regions),
    )
