"""What the requests of this box wait for and use, and how long a wait for an adapter may be."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import WaitTerms
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey
from springrock.placement.errors import PlacerSilent
from springrock.placement.messages import Demand, Hits, Use, Want

DEMAND_PAUSE_S = 0.02
"""How long changes of the demand gather before the placer is told."""

_SILENCE_S = 0.2
"""How long a request waits to hear anything of the placer before it is refused."""

_START_S = 0.15
"""From the adapter's readiness to the first event, about."""

_RETURN_MARGIN_S = 0.1
_RETURN_GRACE_S = 0.4
_PROMPT_PART = 0.25
"""Of the time to its target a request may be held before it is too late to send it back."""

_TARGET_OF_RETURN_S = 1.0
_RETURNING_PART = 0.6
"""What a client that was told to come back counts, beside one that waits."""

_UNPLANNED_RETRY_S = 1.0


class _Waiter:
    """One request that waits for an adapter, or a client that is expected back."""

    def __init__(self, key: AdapterKey, terms: WaitTerms) -> None:
        self.key = key
        self.terms = terms
        self.began_at = monotonic()
        self.allowed_s = terms.target_at - self.began_at
        self.news = Event()


class DemandBook:
    """The waits and uses of this box.

    Args:
        has_placer: Whether a placer hears of them now.

    Attributes:
        stopping: Whether this box is about to stop.
    """

    def __init__(self, *, has_placer: Callable[[], bool]) -> None:
        self._has_placer = has_placer
        self._waiters: set[_Waiter] = set()
        self._returning: list[_Waiter] = []
        self._uses: Counter[tuple[str, AdapterKey]] = Counter()
        self._hits: Counter[AdapterKey] = Counter()
        self._forecasts: dict[AdapterKey, float] = {}
        self.stopping = False
        self.changed = Event()

    # What requests do.

    def note_hit(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        self._hits[key] += 1

    @contextmanager
    def using(self, instance: str, key: AdapterKey) -> Iterator[None]:
        """Count a request as running with an adapter at a replica."""
        use = (instance, key)
        self._uses[use] += 1
        self.changed.set()
        try:
            yield
        finally:
            self._uses[use] -= 1
            if not self._uses[use]:
                del self._uses[use]
            self.changed.set()

    def wait_for(self, key: AdapterKey, terms: WaitTerms, *, there: Callable[[], bool]) -> None:
        """Wait until an adapter can be used.

        Args:
            key: The adapter.
            terms: How long that is worth while.
            there: Whether it can be used now.

        Raises:
            PlacerSilent: If no placer tells when the adapter will be there.
            NoReplica: As soon as it is clear that the request should come back later instead.
        """
        waiter = _Waiter(key, terms)
        self._waiters.add(waiter)
        self.changed.set()
        try:
            while not there():
                self._check(waiter)
                waiter.news.wait(timeout=max(0.01, self._next_look_s(waiter)))
                waiter.news.clear()
        finally:
            self._waiters.discard(waiter)
            self.changed.set()

    def _check(self, waiter: _Waiter) -> None:
        now = monotonic()
        if now >= waiter.terms.until:
            raise NoReplica("adapter_not_in_time", _UNPLANNED_RETRY_S)
        ready_at = self._forecasts.get(waiter.key)
        if ready_at is None:
            if now - waiter.began_at >= _SILENCE_S or not self._has_placer():
                raise PlacerSilent(_UNPLANNED_RETRY_S)
            return
        starts_at = max(ready_at, now) + _START_S
        if starts_at <= waiter.terms.target_at:
            return
        held_for_long = now > waiter.began_at + _PROMPT_PART * waiter.allowed_s
        if held_for_long or not waiter.terms.returns_within_s:
            if starts_at > waiter.terms.until:
                raise NoReplica("load_not_in_time", max(0.0, ready_at - now))
            return
        self._send_back(waiter, max(0.0, ready_at - now) + _RETURN_MARGIN_S)

    def _send_back(self, waiter: _Waiter, ready_in_s: float) -> None:
        """Tell a client when to come back; if it can wait so long, the load is kept for it."""
        if ready_in_s <= waiter.terms.returns_within_s:
            back_at = monotonic() + ready_in_s
            returning = waiter.terms._replace(
                worth=waiter.terms.worth * _RETURNING_PART,
                target_at=back_at + _TARGET_OF_RETURN_S,
                until=back_at + _RETURN_GRACE_S,
            )
            self._returning.append(_Waiter(waiter.key, returning))
            raise NoReplica("load_promised", ready_in_s)
        raise NoReplica("load_takes_longer", ready_in_s)

    def _next_look_s(self, waiter: _Waiter) -> float:
        now = monotonic()
        looks = [waiter.terms.until, waiter.terms.target_at - _START_S]
        if waiter.key not in self._forecasts:
            looks.append(waiter.began_at + _SILENCE_S)
        return min((at - now for at in looks if at > now), default=0.02)

    # What the link to the placer does.

    def note_forecast(self, key: AdapterKey, ready_in_s: float) -> None:
        """Learn when an adapter will be there."""
        self._forecasts[key] = monotonic() + ready_in_s
        self.notify(key)

    def forget_forecasts(self) -> None:
        """Lose the placer that made them."""
        self._forecasts.clear()

    def notify(self, key: AdapterKey) -> None:
        """Let those who wait for an adapter look again."""
        for waiter in self._waiters:
            if waiter.key == key:
                waiter.news.set()

    def snapshot(self) -> Demand:
        """Return everything now; the counts of hits begin anew."""
        now = monotonic()
        self._returning = [waiter for waiter in self._returning if waiter.terms.until > now]
        wanted = {waiter.key for waiter in self._waiters}
        for key in [key for key in self._forecasts if key not in wanted]:
            del self._forecasts[key]
        by_key: dict[AdapterKey, list[_Waiter]] = {}
        for waiter in (*self._waiters, *self._returning):
            by_key.setdefault(waiter.key, []).append(waiter)
        hits = [Hits(key.model, key.adapter, count) for key, count in self._hits.items()]
        self._hits.clear()
        return Demand(
            wants=[self._want_of(key, waiters, now) for key, waiters in by_key.items()],
            uses=[
                Use(instance, key.model, key.adapter, count)
                for (instance, key), count in self._uses.items()
            ],
            hits=hits,
            stopping=self.stopping,
        )

    def _want_of(self, key: AdapterKey, waiters: list[_Waiter], now: float) -> Want:
        terms = [waiter.terms for waiter in waiters]
        waiting = sum(waiter in self._waiters for waiter in waiters)
        return Want(
            model=key.model,
            adapter=key.adapter,
            waiting=waiting,
            promised=len(waiters) - waiting,
            worth=round(sum(item.worth for item in terms), 2),
            target_left_ms=round(1000 * min(item.target_at - now for item in terms)),
        )
