"""Decides which wanted adapter is loaded next, and where. Pure decisions over the books."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from msgspec import Struct

from springrock.forwarding.message import AdapterKey
from springrock.placement.engine_book import EngineBook, Place, PlaceState
from springrock.placement.load_budget import LoadBudget
from springrock.placement.popularity import Popularity

COLD_LOAD_S = 0.35
"""A load from the weight store, about, until the placer knows that it is done."""

WARM_LOAD_S = 0.1
_UNREACHED_S = 0.15
"""A want that stands this long although the adapter is ready somewhere cannot reach it."""

_GRACE_S = 0.4
"""How long a fresh adapter is kept for those who waited for it."""

_NO_PLACE = 100.0
_EVICTION = 1.0
_COLD = 10.0
_USE = 0.05


class CombinedWant(Struct, kw_only=True):
    """What all boxes together wait for of one adapter.

    Attributes:
        since: When the placer first heard of it, on the local monotonic clock.
        target_at: When the first request is late.
    """

    key: AdapterKey
    worth: float
    since: float
    target_at: float


class Assignment(NamedTuple):
    """A load that is to be ordered now."""

    key: AdapterKey
    engine: EngineBook


class Plan(NamedTuple):
    """What to order, and when each wanted adapter will be ready, in seconds; negative: never."""

    assignments: list[Assignment]
    ready_in_s: dict[AdapterKey, float]


class Planner:
    """Plans loads.

    Args:
        popularity: How often adapters are asked for.
        newest: Returns the newest version of an adapter; 0 if none was named.
    """

    def __init__(self, popularity: Popularity, newest: Callable[[AdapterKey], int]) -> None:
        self._popularity = popularity
        self._newest = newest

    def plan(
        self,
        wants: Iterable[CombinedWant],
        engines: Collection[EngineBook],
        *,
        used: Collection[tuple[str, AdapterKey]],
        budget: LoadBudget,
        now: float,
    ) -> Plan:
        """Return what to order now.

        Args:
            wants: What the boxes wait for.
            engines: The engines that may be ordered.
            used: Which adapters requests now use, and where.
            budget: The loads from the weight store; what the plan needs is taken out.
            now: The time on the local monotonic clock.
        """
        plan = Plan([], {})
        ranked = sorted(wants, key=lambda want: self._value(want, now), reverse=True)
        delayed = 0
        for want in ranked:
            known_s = self._known_ready_in(want, engines, now)
            if known_s is not None:
                plan.ready_in_s[want.key] = known_s
                continue
            engine = self._best_engine(want.key, engines, used, now)
            if engine is None:
                plan.ready_in_s[want.key] = -1.0
                continue
            warm = engine.at_hand(want.key, version=self._version(want.key))
            if not warm and (delayed or not budget.take()):
                delayed += 1
                plan.ready_in_s[want.key] = budget.wait_s(delayed) + COLD_LOAD_S
                continue
            engine.assigned[want.key] = now
            plan.assignments.append(Assignment(want.key, engine))
            plan.ready_in_s[want.key] = WARM_LOAD_S if warm else COLD_LOAD_S
        return plan

    def victim(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> AdapterKey | None:
        """Return the adapter that may best give up its place, or None."""
        candidates = [
            key
            for key, place in engine.places.items()
            if place.state is PlaceState.READY
            and (engine.instance, key) not in used
            and key not in engine.assigned
            and now - place.since >= _GRACE_S
        ]
        return min(candidates, key=lambda key: self._keep_value(engine, key), default=None)

    def _version(self, key: AdapterKey) -> int:
        return self._newest(key)

    def _value(self, want: CombinedWant, now: float) -> float:
        in_time = now + COLD_LOAD_S < want.target_at
        worth = want.worth * (1.0 + min(3.0, self._popularity.of(want.key)))
        return worth if in_time else worth / 3

    def _known_ready_in(
        self, want: CombinedWant, engines: Collection[EngineBook], now: float
    ) -> float | None:
        """Return when an adapter will be ready without a new load, if so."""
        key = want.key
        times: list[float] = []
        for engine in engines:
            if engine.is_ready(key, version=self._version(key)):
                if now - want.since < _UNREACHED_S:
                    times.append(0.0)
            elif key in engine.assigned:
                left_s = engine.assigned[key] + COLD_LOAD_S - now
                times.append(max(0.05, left_s))
        return min(times, default=None)

    def _best_engine(
        self,
        key: AdapterKey,
        engines: Collection[EngineBook],
        used: Collection[tuple[str, AdapterKey]],
        now: float,
    ) -> EngineBook | None:
        def _cost(engine: EngineBook) -> float:
            cost = _USE * sum(instance == engine.instance for instance, _ in used)
            if not engine.at_hand(key, version=self._version(key)):
                cost += _COLD
            open_places = engine.free - _not_yet_placed(engine)
            if open_places > 0:
                return cost - 0.1 * open_places
            if self.victim(engine, used=used, now=now) is not None:
                return cost + _EVICTION + 0.5 * len(engine.assigned)
            return cost + _NO_PLACE

        candidates = [
            engine
            for engine in engines
            if key.model in engine.record.models and key not in engine.places
        ]
        best = min(candidates, key=_cost, default=None)
        if best is None or _cost(best) >= _NO_PLACE:
            return None
        return best

    def _keep_value(self, engine: EngineBook, key: AdapterKey) -> tuple[bool, float]:
        place: Place = engine.places[key]
        return place.version >= self._version(key), self._popularity.of(key)


def _not_yet_placed(engine: EngineBook) -> int:
    return sum(key not in engine.places for key in engine.assigned)
