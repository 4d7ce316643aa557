"""What the requests of this box wait for and use, and how long a wait for an adapter may be."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.errors import NoReplica
from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import Demand, Hits, Use, Want

_SILENCE_S = 0.2
"""How long a request waits to hear anything of the placer before it is refused."""

_START_S = 0.15
"""From the adapter's readiness to the first event, about."""

_RETURN_MARGIN_S = 0.1
_RETURN_GRACE_S = 0.4
_RETURNING_PART = 0.6
"""What a client that was told to come back counts, beside one that waits."""

_UNPLANNED_RETRY_S = 1.0


class _Waiter:
    """One request that waits for an adapter, or a client that is expected back."""

    def __init__(self, key: AdapterKey, worth: float, target_at: float, until: float) -> None:
        self.key = key
        self.worth = worth
        self.target_at = target_at
        self.until = until
        self.news = Event()


class DemandBook:
    """The waits and uses of this box.

    Args:
        has_placer: Whether a placer hears of them now.
    """

    def __init__(self, *, has_placer: Callable[[], bool]) -> None:
        self._has_placer = has_placer
        self._waiters: set[_Waiter] = set()
        self._returning: list[_Waiter] = []
        self._uses: Counter[tuple[str, AdapterKey]] = Counter()
        self._hits: Counter[AdapterKey] = Counter()
        self._forecasts: dict[AdapterKey, float] = {}
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

    def wait_for(
        self,
        key: AdapterKey,
        *,
        there: Callable[[], bool],
        worth: float,
        target_at: float,
        until: float,
    ) -> None:
        """Wait until an adapter can be used.

        Args:
            key: The adapter.
            there: Whether it is there now.
            worth: What the request is worth.
            target_at: When it is late, on the local monotonic clock.
            until: When it is given up.

        Raises:
            NoReplica: As soon as it is clear that it should come back later instead.
        """
        waiter = _Waiter(key, worth, target_at, until)
        began_at = monotonic()
        self._waiters.add(waiter)
        self.changed.set()
        try:
            while not there():
                self._check(waiter, began_at)
                waiter.news.wait(timeout=max(0.01, self._next_look_s(waiter, began_at)))
                waiter.news.clear()
        finally:
            self._waiters.discard(waiter)
            self.changed.set()

    def _check(self, waiter: _Waiter, began_at: float) -> None:
        now = monotonic()
        if now >= waiter.until:
            raise NoReplica("adapter_not_in_time", _UNPLANNED_RETRY_S)
        ready_at = self._forecasts.get(waiter.key)
        if ready_at is None:
            if now - began_at >= _SILENCE_S or not self._has_placer():
                raise NoReplica("no_placer_heard", _UNPLANNED_RETRY_S)
            return
        if ready_at < 0:
            raise NoReplica("no_load_planned", _UNPLANNED_RETRY_S)
        if max(ready_at, now) + _START_S > waiter.target_at:
            self._expect_back(waiter, ready_at - now + _RETURN_MARGIN_S)

    def _expect_back(self, waiter: _Waiter, ready_in_s: float) -> None:
        retry_after_s = max(_RETURN_MARGIN_S, ready_in_s)
        returning = _Waiter(
            waiter.key,
            waiter.worth * _RETURNING_PART,
            monotonic() + retry_after_s + 1.0,
            monotonic() + retry_after_s + _RETURN_GRACE_S,
        )
        self._returning.append(returning)
        raise NoReplica("load_takes_longer", retry_after_s)

    def _next_look_s(self, waiter: _Waiter, began_at: float) -> float:
        now = monotonic()
        looks = [waiter.until, waiter.target_at - _START_S]
        if waiter.key not in self._forecasts:
            looks.append(began_at + _SILENCE_S)
        return min((at - now for at in looks if at > now), default=0.02)

    # What the link to the placer does.

    def note_forecast(self, key: AdapterKey, ready_in_s: float) -> None:
        """Learn when an adapter will be there; negative if no load is planned."""
        self._forecasts[key] = monotonic() + ready_in_s if ready_in_s >= 0 else -1.0
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
        self._returning = [waiter for waiter in self._returning if waiter.until > now]
        wanted = {waiter.key for waiter in self._waiters}
        for key in [key for key in self._forecasts if key not in wanted]:
            del self._forecasts[key]
        by_key: dict[AdapterKey, list[_Waiter]] = {}
        for waiter in (*self._waiters, *self._returning):
            by_key.setdefault(waiter.key, []).append(waiter)
        hits = [Hits(key.model, key.adapter, count) for key, count in self._hits.items()]
        self._hits.clear()
        return Demand(
            wants=[_want_of(key, waiters, now) for key, waiters in by_key.items()],
            uses=[
                Use(instance, key.model, key.adapter, count)
                for (instance, key), count in self._uses.items()
            ],
            hits=hits,
        )


def _want_of(key: AdapterKey, waiters: list[_Waiter], now: float) -> Want:
    return Want(
        model=key.model,
        adapter=key.adapter,
        count=len(waiters),
        worth=round(sum(waiter.worth for waiter in waiters), 2),
        target_left_ms=round(1000 * min(waiter.target_at - now for waiter in waiters)),
        left_ms=round(1000 * max(waiter.until - now for waiter in waiters)),
    )
