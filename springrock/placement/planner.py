"""Decides which wanted adapter is loaded next, and where. Pure decisions over the books."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from springrock.forwarding.message import AdapterKey
from springrock.placement.engine_book import EngineBook, Place, PlaceState
from springrock.placement.load_pace import LoadPace
from springrock.placement.plan_index import PlanIndex
from springrock.placement.popularity import Popularity
from springrock.placement.turnover import Turnover

COLD_LOAD_S = 0.35
"""A load from the weight store, about, until the placer knows that it is done."""

WARM_LOAD_S = 0.1
_COMING_TO_ONE = 4
"""How many may be on their way to one engine: the platform's bound."""

_UNREACHED_S = 0.3
"""A want that stands this long although the adapter is ready somewhere cannot reach it."""

_GRACE_S = 0.2
"""How long a fresh adapter is kept for those who waited for it."""

_LATE_PART = 0.3
"""What an answer that comes late is worth of one in time."""

_ASKED_BY_ONE = 1.5
"""How often one client asks, its coming back included."""

_POPULAR = 2.5
"""Asked for this often, an adapter is loaded although nobody waits for it now."""

HOT = 5.0
"""Asked for this often, an adapter whose every holder is crowded gets one more copy."""

COPY_PART = 0.5
"""Of the time to its target; where a first event would wait longer, a copy elsewhere is better:
the load takes about the other half."""

_LONGEST_WAIT_OF_COPY_S = 0.15
"""Where a first event waits longer than this one more copy would help nobody."""

COLD_COST = 1.0
"""What a load from the weight store costs, in the worth of requests: it takes the place longer."""

_NEAR_COPY_MARGIN = 0.5
"""How many loads more a copy that spares ways must save than the adapter that gives up its place is
asked for: half of its own load, as copies that pay stand for long."""

_WORTH_OF_FUTURE = 2.0
_NO_PLACE = 100.0
_EVICTION = 1.0
_COLD = 10.0
_RUNNING = 0.12
"""What one running request of an engine costs; eight of them as much as an eviction."""

_WAIT = 1.0
"""What a second costs that a first event would wait there: as much as an eviction."""


class CombinedWant(Struct, kw_only=True):
    """What all boxes together wait for of one adapter.

    Attributes:
        waiting: How many requests wait now.
        promised: How many clients were told when to come back for it.
        since: When the placer first heard of it, on the local monotonic clock.
        target_at: When the first request is late.
        is_copy: Whether it is for one more copy of an adapter that stands ready.
        saves: What a copy that spares requests a long way saves, in loads; 0 if it is not one.
    """

    key: AdapterKey
    waiting: int
    promised: int
    worth: float
    since: float
    target_at: float
    is_copy: bool = False
    saves: float = 0.0


class Assignment(NamedTuple):
    """A load that is to be ordered now, and what for."""

    key: AdapterKey
    engine: EngineBook
    want: CombinedWant


class Plan(NamedTuple):
    """What to order, and when each wanted adapter will be ready, in seconds."""

    assignments: list[Assignment]
    ready_in_s: dict[AdapterKey, float]


class Planner:
    """Plans the loads of one service's engines in a zone.

    Args:
        popularity: How often adapters are asked for.
        newest: Returns the newest version of an adapter; 0 if none was named.

    Attributes:
        loads: How many adapters may be on their way to the engines at once.
    """

    def __init__(self, popularity: Popularity, newest: Callable[[AdapterKey], int]) -> None:
        self._popularity = popularity
        self._newest = newest
        self._wanted: frozenset[AdapterKey] = frozenset()
        self._running: Counter[str] = Counter()
        self._waits: Mapping[str, float] = {}
        self._backing_off: Collection[str] = ()
        self._victims_of: dict[str, list[AdapterKey]] = {}
        self._turnover = Turnover()
        self.loads = LoadPace()

    def plan(
        self,
        wants: Iterable[CombinedWant],
        engines: Collection[EngineBook],
        *,
        used: Mapping[tuple[str, AdapterKey], int],
        now: float,
        waits: Mapping[str, float] | None = None,
        crowded: Collection[AdapterKey] = (),
        near: Mapping[AdapterKey, float] | None = None,
        backing_off: Collection[str] = (),
    ) -> Plan:
        """Return what to order now.

        Args:
            wants: What the boxes wait for.
            engines: The engines that may be ordered.
            used: How many requests now use an adapter at an engine.
            now: The time on the local monotonic clock.
            waits: How long a first event would wait at each engine, in seconds.
            crowded: Adapters whose every holder lets first events wait for long.
            near: What copies save in loads that would spare requests a long way.
            backing_off: Engines that asked a box for rest, or that their own limits keep from more:
                who waits although one of them holds the adapter needs it elsewhere.
        """
        plan = Plan([], {})
        self._running = _running_by_engine(used)
        index = PlanIndex(engines)
        self._waits = waits or {}
        self._backing_off = backing_off
        self._victims_of.clear()
        wants = list(wants)
        self._wanted = frozenset(want.key for want in wants if want.waiting)
        wanted = {want.key for want in wants}
        wants += self._foreseen(engines, index, wanted, now)
        wants += self._copies(index, wanted, crowded, now)
        wants += [unasked(key, now, saves=saves) for key, saves in _without(near, wanted)]
        # Of equals the one that has waited longest: a later one would push it back again and again.
        ranked = sorted(wants, key=lambda want: (-self._value(want, index, now), want.target_at))
        coming = sum(len(engine.assigned) for engine in engines)
        short_of_places = 0
        for want in ranked:
            known_s = self._known_ready_in(want, index, now)
            if known_s is not None:
                plan.ready_in_s[want.key] = known_s
                continue
            is_foreseen = not want.waiting and not want.is_copy and not want.saves
            if is_foreseen and self._is_at_hand(want.key, index):
                # It takes no place before somebody waits: it can be there at once.
                plan.ready_in_s[want.key] = WARM_LOAD_S
                continue
            engine = self._best_engine(want, engines, index, used, now)
            if engine is None and want.saves:
                continue
            if engine is None:
                short_of_places += 1
                place_in_s = self._turnover.place_s * short_of_places
                plan.ready_in_s[want.key] = place_in_s + COLD_LOAD_S
                continue
            warm = engine.at_hand(want.key, version=self._newest(want.key))
            expected_s = WARM_LOAD_S if warm else COLD_LOAD_S
            coming += 1
            at_once = int(self.loads.at_once)
            if coming > at_once:
                rounds = (coming - 1) // at_once
                plan.ready_in_s[want.key] = expected_s + rounds * COLD_LOAD_S
                continue
            index.assign(engine, want.key, now=now)
            self._victims_of.pop(engine.instance, None)
            plan.assignments.append(Assignment(want.key, engine, want))
            plan.ready_in_s[want.key] = expected_s
        self._turnover.record(given=len(plan.assignments), is_short=short_of_places > 0, now=now)
        return plan

    def room(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> int:
        """Return how many more adapters an engine could take now."""
        return engine.opening + len(self._victims(engine, used, now))

    def pressure(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> float:
        """Return how often what would next give up its place on an engine is asked for, decayed.

        0 while a place is open, infinite if none can be given up.
        """
        if engine.opening > 0:
            return 0.0
        victim = self.victim(engine, used=used, now=now)
        return math.inf if victim is None else self._popularity.of(victim)

    def victim(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> AdapterKey | None:
        """Return the adapter that may best give up its place, or None."""
        return next(iter(self._victims(engine, used, now)), None)

    def _next_victim(
        self,
        engine: EngineBook,
        used: Collection[tuple[str, AdapterKey]],
        now: float,
        *,
        opening: int,
    ) -> AdapterKey | None:
        """Return who would give way to one more adapter on an engine without an open place.

        Each adapter assigned before that has no place yet speaks for a victim of its own: one that
        no place can be given to would wait here while places elsewhere are given up.
        """
        victims = self._victims_of.get(engine.instance)
        if victims is None:
            # They stay the same until an adapter is assigned to the engine.
            victims = self._victims_of[engine.instance] = self._victims(engine, used, now)
        spoken_for = -opening
        return victims[spoken_for] if spoken_for < len(victims) else None

    def _victims(
        self, engine: EngineBook, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> list[AdapterKey]:
        """Return the adapters that may give up their places, those of the least value first."""
        victims = [
            key
            for key, place in engine.places.items()
            if place.state is PlaceState.READY
            and (engine.instance, key) not in used
            and key not in engine.assigned
            and (key not in self._wanted or engine.is_outdated(key, version=self._newest(key)))
            and now - place.since >= _GRACE_S
        ]
        return sorted(victims, key=lambda key: self._keep_value(engine, key))

    def _value(self, want: CombinedWant, index: PlanIndex, now: float) -> float:
        """Return what a load is worth to those who wait and will likely ask, less what it costs."""
        in_time = now + COLD_LOAD_S < want.target_at
        worth = want.worth if in_time or want.promised else want.worth * _LATE_PART
        asked_again = max(0.0, self._popularity.of(want.key) - _ASKED_BY_ONE)
        cost = 0.0 if self._is_at_hand(want.key, index) else COLD_COST
        return worth + want.saves + _WORTH_OF_FUTURE * asked_again - cost

    def _foreseen(
        self,
        engines: Collection[EngineBook],
        index: PlanIndex,
        wanted: Collection[AdapterKey],
        now: float,
    ) -> list[CombinedWant]:
        """Return popular adapters that stand nowhere, as if they were wanted."""
        models = {model for engine in engines for model in engine.models}
        return [
            unasked(key, now)
            for key in self._popularity.above(_POPULAR)
            if key not in wanted and key.model in models and not index.holding(key)
        ]

    def _copies(
        self,
        index: PlanIndex,
        wanted: Collection[AdapterKey],
        crowded: Collection[AdapterKey],
        now: float,
    ) -> list[CombinedWant]:
        """Return crowded adapters, as if they were wanted once more where there is less to do."""
        copies = []
        for key in crowded:
            holders = index.holding(key)
            is_coming = any(engine.places[key].state is PlaceState.COMING for engine in holders)
            on_its_way = is_coming or bool(index.assigned(key))
            asked = self._popularity.of(key) / max(1, len(holders))
            if asked >= HOT and key not in wanted and holders and not on_its_way:
                copies.append(unasked(key, now, is_copy=True))
        return copies

    def _known_ready_in(self, want: CombinedWant, index: PlanIndex, now: float) -> float | None:
        """Return when an adapter will be ready without a new load, if so."""
        key = want.key
        newest = self._newest(key)
        times: list[float] = []
        for engine in index.holding(key):
            if want.is_copy or not engine.is_ready(key, version=newest):
                continue
            if engine.instance in self._backing_off:
                continue
            stood_s = now - max(want.since, engine.places[key].since)
            if not want.waiting or stood_s < _UNREACHED_S:
                times.append(0.0)
        for engine in index.assigned(key):
            is_excluded = want.is_copy and key in engine.places
            if not is_excluded and not engine.is_ready(key, version=newest):
                left_s = engine.assigned[key] + COLD_LOAD_S - now
                times.append(max(0.05, left_s))
        return min(times, default=None)

    def _best_engine(
        self,
        want: CombinedWant,
        engines: Collection[EngineBook],
        index: PlanIndex,
        used: Collection[tuple[str, AdapterKey]],
        now: float,
    ) -> EngineBook | None:
        key = want.key
        newest = self._newest(key)

        def _cost(engine: EngineBook) -> float:
            cost = _RUNNING * self._running[engine.instance]
            cost += _WAIT * self._waits.get(engine.instance, 0.0)
            if not engine.at_hand(key, version=newest):
                cost += _COLD
            if key in engine.places:
                # Its older version gives up its own place.
                return cost
            opening = index.opening(engine)
            if opening > 0:
                return cost - 0.1 * opening
            victim = self._next_victim(engine, used, now, opening=opening)
            if victim is not None and self._outweighs(want, victim, index):
                return cost + _EVICTION + 0.5 * len(engine.assigned)
            return cost + _NO_PLACE

        candidates = [
            engine
            for engine in engines
            if key.model in engine.models
            and (key not in engine.places or self._replaceable(engine, key, used))
            and not (
                want.is_copy and self._waits.get(engine.instance, 0.0) > _LONGEST_WAIT_OF_COPY_S
            )
            and index.loads(engine) < _COMING_TO_ONE
        ]
        costs = [(_cost(engine), engine) for engine in candidates]
        cost, best = min(costs, key=lambda item: item[0], default=(_NO_PLACE, None))
        return best if cost < _NO_PLACE else None

    def _is_at_hand(self, key: AdapterKey, index: PlanIndex) -> bool:
        return index.is_at_hand(key, version=self._newest(key))

    def _replaceable(
        self, engine: EngineBook, key: AdapterKey, used: Collection[tuple[str, AdapterKey]]
    ) -> bool:
        """Whether an older version of an adapter can give up its place at once."""
        outdated = engine.is_outdated(key, version=self._newest(key))
        return outdated and (engine.instance, key) not in used

    def _outweighs(self, want: CombinedWant, victim: AdapterKey, index: PlanIndex) -> bool:
        """Whether a load may push out an adapter: if it is waited for, or far more popular."""
        if want.waiting or want.promised:
            return True
        if want.saves:
            return want.saves > self._popularity.of(victim) + _NEAR_COPY_MARGIN
        asked = self._popularity.of(want.key)
        if want.is_copy:
            asked /= 1 + len(index.holding(want.key))
        return asked > self._popularity.of(victim) + _POPULAR

    def _keep_value(self, engine: EngineBook, key: AdapterKey) -> tuple[bool, float]:
        place: Place = engine.places[key]
        return place.version >= self._newest(key), self._popularity.of(key)


def unasked(
    key: AdapterKey, now: float, *, is_copy: bool = False, saves: float = 0.0
) -> CombinedWant:
    """Return the want of an adapter that nobody waits for."""
    return CombinedWant(
        key=key,
        waiting=0,
        promised=0,
        worth=0.0,
        since=now,
        target_at=now,
        is_copy=is_copy,
        saves=saves,
    )


def _without(
    near: Mapping[AdapterKey, float] | None, wanted: Collection[AdapterKey]
) -> list[tuple[AdapterKey, float]]:
    return [(key, saves) for key, saves in (near or {}).items() if key not in wanted]


def _running_by_engine(used: Mapping[tuple[str, AdapterKey], int]) -> Counter[str]:
    running = Counter[str]()
    for (instance, _), count in used.items():
        running[instance] += count
    return running
