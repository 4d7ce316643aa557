"""Decides which adapter is loaded next, and on which engine.

The planner reads the engine books and records its assignments there. It sends no orders.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from msgspec import Struct

from springrock.forwarding.message import AdapterKey
from springrock.placement.engine_book import EngineBook, Place, PlaceState
from springrock.placement.load_concurrency import LoadConcurrency
from springrock.placement.place_interval import PlaceInterval
from springrock.placement.plan_index import PlanIndex
from springrock.placement.popularity import Popularity

COLD_LOAD_S = 0.35
"""Expected time of a load from the weight store, until the placer learns that it is done."""

WARM_LOAD_S = 0.1
"""Expected time of a load of an adapter that the engine has cached."""

_MAX_LOADS_PER_ENGINE = 4
"""Concurrent loads per engine that the platform allows."""

_UNREACHABLE_AFTER_S = 0.3
"""A request that still waits this long after its adapter became ready cannot use that copy."""

_MIN_RESIDENCY_S = 0.2
"""Time a newly loaded adapter is kept, so that the requests that waited for it can use it."""

_LATE_WORTH_FACTOR = 0.3
"""Worth of a late answer, as a fraction of its worth in time."""

_SINGLE_CLIENT_COUNT = 1.5
"""Popularity that a single client causes, its retry included."""

_POPULAR_COUNT = 2.5
"""Popularity above which an adapter is loaded although no request waits for it."""

HOT_COUNT = 5.0
"""Popularity per copy from which an adapter gets one more copy when all its holders are crowded."""

COPY_WAIT_FRACTION = 0.5
"""Fraction of the time to a request's target that its first event may wait.

If it would wait longer, another copy is better, as its load takes about the other half.
"""

_MAX_WAIT_AT_COPY_S = 0.15
"""Wait for a first event above which an engine is too busy for one more copy to help."""

COLD_COST = 1.0
"""Cost of a load from the weight store, in units of request worth: it occupies its place longer."""

_NEAR_COPY_MARGIN = 0.5
"""Margin, in loads, by which a near copy's savings must exceed the popularity of its victim.

It is half the cost of the copy's own load, as worthwhile copies stay loaded for long.
"""

_FUTURE_WORTH = 2.0
"""Worth of each request that is expected later, by the adapter's popularity."""

_NO_PLACE_COST = 100.0
_EVICTION_COST = 1.0
_COLD_ENGINE_COST = 10.0
_RUNNING_COST = 0.12
"""Cost of each request that runs on an engine; eight of them cost as much as an eviction."""

_WAIT_COST_PER_S = 1.0
"""Cost of each second that a first event would wait: as much as an eviction."""


class CombinedWant(Struct, kw_only=True):
    """The demand of all boxes together for one adapter.

    Attributes:
        waiting: Number of requests that wait now.
        promised: Number of clients that were given a time at which to retry.
        worth: Total worth of those requests.
        since: When the placer first received a request for it, on the local monotonic clock.
        target_at: When the first of the requests becomes late.
        is_copy: Whether it asks for one more copy of an adapter that is already loaded.
        saves: Loads that a copy nearer to its callers saves in traffic between zones; 0 if the
            want is not for such a copy.
        software: The software version that the engine must have, as streams of it wait to go on;
            None for any.
    """

    key: AdapterKey
    waiting: int
    promised: int
    worth: float
    since: float
    target_at: float
    is_copy: bool = False
    saves: float = 0.0
    software: str | None = None

    def fits(self, engine: EngineBook) -> bool:
        """Whether an engine has the software version that the waiting requests need."""
        return self.software is None or engine.record.software == self.software


class Assignment(NamedTuple):
    """A load to be ordered now, and the want that it serves."""

    key: AdapterKey
    engine: EngineBook
    want: CombinedWant


class Plan(NamedTuple):
    """The loads to order, and the seconds until each wanted adapter is expected to be ready."""

    assignments: list[Assignment]
    ready_in_s: dict[AdapterKey, float]


class Planner:
    """Plans the loads of one service's engines in a zone.

    Args:
        popularity: Decayed request counts of the adapters.
        newest: Returns the newest version of an adapter; 0 if none was named.

    Attributes:
        load_concurrency: The limit on concurrent loads of the service's engines.
    """

    def __init__(self, popularity: Popularity, newest: Callable[[AdapterKey], int]) -> None:
        self._popularity = popularity
        self._newest = newest
        self._wanted: frozenset[AdapterKey] = frozenset()
        self._running: Counter[str] = Counter()
        self._waits: Mapping[str, float] = {}
        self._backing_off: Collection[str] = ()
        self._victims_of: dict[str, list[AdapterKey]] = {}
        self._place_interval = PlaceInterval()
        self.load_concurrency = LoadConcurrency()

    def plan(
        self,
        wants: Iterable[CombinedWant],
        engines: Collection[EngineBook],
        *,
        used: Mapping[tuple[str, AdapterKey], int],
        now: float,
        waits: Mapping[str, float] | None = None,
        crowded: Collection[AdapterKey] = (),
        near_copies: Mapping[AdapterKey, float] | None = None,
        backing_off: Collection[str] = (),
    ) -> Plan:
        """Assign loads to engines and return the plan.

        Args:
            wants: The demand of the boxes.
            engines: The engines that may be given orders.
            used: Number of requests that use each adapter on each engine.
            now: The time on the local monotonic clock.
            waits: Seconds that a first event would wait on each engine.
            crowded: Adapters whose first events wait too long on every engine that holds them.
            near_copies: Loads that a copy in this zone would save, by adapter.
            backing_off: Engines that asked a box for a back-off or have reached their own limits.
                A request that waits although one of them holds its adapter needs another copy.
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
        wants += self._popular_wants(engines, index, wanted, now)
        wants += self._copy_wants(index, wanted, crowded, now)
        wants += [
            want_without_requests(key, now, saves=saves)
            for key, saves in _without(near_copies, wanted)
        ]
        # Ties go to the earliest target: otherwise newer wants would postpone it repeatedly.
        ranked = sorted(wants, key=lambda want: (-self._value(want, index, now), want.target_at))
        loads_under_way = sum(len(engine.assigned) for engine in engines)
        short_of_places = 0
        for want in ranked:
            existing_s = self._existing_ready_in(want, index, now)
            if existing_s is not None:
                plan.ready_in_s[want.key] = existing_s
                continue
            is_speculative = not want.waiting and not want.is_copy and not want.saves
            if is_speculative and self._is_cached_anywhere(want.key, index):
                # It gets a place only when a request waits, as a cached adapter loads fast.
                plan.ready_in_s[want.key] = WARM_LOAD_S
                continue
            engine = self._best_engine(want, engines, index, used, now)
            if engine is None and want.saves:
                continue
            if engine is None:
                short_of_places += 1
                place_in_s = self._place_interval.estimate_s * short_of_places
                plan.ready_in_s[want.key] = place_in_s + COLD_LOAD_S
                continue
            warm = engine.is_cached(want.key, version=self._newest(want.key))
            expected_s = WARM_LOAD_S if warm else COLD_LOAD_S
            loads_under_way += 1
            max_loads = int(self.load_concurrency.limit)
            if loads_under_way > max_loads:
                rounds = (loads_under_way - 1) // max_loads
                plan.ready_in_s[want.key] = expected_s + rounds * COLD_LOAD_S
                continue
            index.assign(engine, want.key, now=now)
            self._victims_of.pop(engine.instance, None)
            plan.assignments.append(Assignment(want.key, engine, want))
            plan.ready_in_s[want.key] = expected_s
        self._place_interval.record(
            assigned=len(plan.assignments), is_short=short_of_places > 0, now=now
        )
        return plan

    def room(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> int:
        """Return how many more adapters could be loaded on an engine now."""
        return engine.available_places + len(self._victims(engine, used, now))

    def pressure(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> float:
        """Return the popularity of the adapter that an engine would evict next.

        0 while a place is available; infinite if no adapter can be evicted.
        """
        if engine.available_places > 0:
            return 0.0
        victim = self.victim(engine, used=used, now=now)
        return math.inf if victim is None else self._popularity.of(victim)

    def victim(
        self, engine: EngineBook, *, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> AdapterKey | None:
        """Return the adapter that is the best one to evict, or None if none can be."""
        return next(iter(self._victims(engine, used, now)), None)

    def _next_victim(
        self,
        engine: EngineBook,
        used: Collection[tuple[str, AdapterKey]],
        now: float,
        *,
        available_places: int,
    ) -> AdapterKey | None:
        """Return the victim for one more adapter on an engine that has no available place.

        Each earlier assignment without a place reserves a victim of its own. Otherwise an adapter
        that cannot get a place would wait here although other engines can evict for it.
        """
        victims = self._victims_of.get(engine.instance)
        if victims is None:
            # The list is valid until an adapter is assigned to the engine.
            victims = self._victims_of[engine.instance] = self._victims(engine, used, now)
        reserved = -available_places
        return victims[reserved] if reserved < len(victims) else None

    def _victims(
        self, engine: EngineBook, used: Collection[tuple[str, AdapterKey]], now: float
    ) -> list[AdapterKey]:
        """Return the adapters that may be evicted, the least valuable first."""
        victims = [
            key
            for key, place in engine.places.items()
            if place.state is PlaceState.READY
            and (engine.instance, key) not in used
            and key not in engine.assigned
            and (key not in self._wanted or engine.is_outdated(key, version=self._newest(key)))
            and now - place.since >= _MIN_RESIDENCY_S
        ]
        return sorted(victims, key=lambda key: self._retention_value(engine, key))

    def _value(self, want: CombinedWant, index: PlanIndex, now: float) -> float:
        """Return the worth of a load to waiting and expected requests, less its cost."""
        in_time = now + COLD_LOAD_S < want.target_at
        worth = want.worth if in_time or want.promised else want.worth * _LATE_WORTH_FACTOR
        expected_requests = max(0.0, self._popularity.of(want.key) - _SINGLE_CLIENT_COUNT)
        cost = 0.0 if self._is_cached_anywhere(want.key, index) else COLD_COST
        return worth + want.saves + _FUTURE_WORTH * expected_requests - cost

    def _popular_wants(
        self,
        engines: Collection[EngineBook],
        index: PlanIndex,
        wanted: Collection[AdapterKey],
        now: float,
    ) -> list[CombinedWant]:
        """Return wants for popular adapters that no engine holds."""
        models = {model for engine in engines for model in engine.models}
        return [
            want_without_requests(key, now)
            for key in self._popularity.above(_POPULAR_COUNT)
            if key not in wanted and key.model in models and not index.holding(key)
        ]

    def _copy_wants(
        self,
        index: PlanIndex,
        wanted: Collection[AdapterKey],
        crowded: Collection[AdapterKey],
        now: float,
    ) -> list[CombinedWant]:
        """Return wants for one more copy of each crowded adapter that is hot and not loading."""
        copies = []
        for key in crowded:
            holders = index.holding(key)
            is_loading = any(engine.places[key].state is PlaceState.LOADING for engine in holders)
            is_assigned_or_loading = is_loading or bool(index.assigned(key))
            popularity = self._popularity.of(key) / max(1, len(holders))
            if (
                popularity >= HOT_COUNT
                and key not in wanted
                and holders
                and not is_assigned_or_loading
            ):
                copies.append(want_without_requests(key, now, is_copy=True))
        return copies

    def _existing_ready_in(self, want: CombinedWant, index: PlanIndex, now: float) -> float | None:
        """Return the seconds until an adapter is ready without a new load; None if it needs one."""
        key = want.key
        newest = self._newest(key)
        times: list[float] = []
        for engine in index.holding(key):
            if want.is_copy or not engine.is_ready(key, version=newest) or not want.fits(engine):
                continue
            if engine.instance in self._backing_off:
                continue
            ready_for_s = now - max(want.since, engine.places[key].since)
            if not want.waiting or ready_for_s < _UNREACHABLE_AFTER_S:
                times.append(0.0)
        for engine in index.assigned(key):
            is_excluded = (want.is_copy and key in engine.places) or not want.fits(engine)
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
            cost = _RUNNING_COST * self._running[engine.instance]
            cost += _WAIT_COST_PER_S * self._waits.get(engine.instance, 0.0)
            if not engine.is_cached(key, version=newest):
                cost += _COLD_ENGINE_COST
            if key in engine.places:
                # The older version is evicted from the same place.
                return cost
            available_places = index.available_places(engine)
            if available_places > 0:
                return cost - 0.1 * available_places
            victim = self._next_victim(engine, used, now, available_places=available_places)
            if victim is not None and self._outweighs(want, victim, index):
                return cost + _EVICTION_COST + 0.5 * len(engine.assigned)
            return cost + _NO_PLACE_COST

        candidates = [
            engine
            for engine in engines
            if key.model in engine.models
            and want.fits(engine)
            and (key not in engine.places or self._is_replaceable(engine, key, used))
            and not (want.is_copy and self._waits.get(engine.instance, 0.0) > _MAX_WAIT_AT_COPY_S)
            and index.load_count(engine) < _MAX_LOADS_PER_ENGINE
        ]
        costs = [(_cost(engine), engine) for engine in candidates]
        cost, best = min(costs, key=lambda item: item[0], default=(_NO_PLACE_COST, None))
        return best if cost < _NO_PLACE_COST else None

    def _is_cached_anywhere(self, key: AdapterKey, index: PlanIndex) -> bool:
        return index.is_cached(key, version=self._newest(key))

    def _is_replaceable(
        self, engine: EngineBook, key: AdapterKey, used: Collection[tuple[str, AdapterKey]]
    ) -> bool:
        """Whether an engine holds an outdated version of an adapter that no request uses."""
        outdated = engine.is_outdated(key, version=self._newest(key))
        return outdated and (engine.instance, key) not in used

    def _outweighs(self, want: CombinedWant, victim: AdapterKey, index: PlanIndex) -> bool:
        """Whether a load may evict an adapter: requests wait for it, or it is far more popular."""
        if want.waiting or want.promised:
            return True
        if want.saves:
            return want.saves > self._popularity.of(victim) + _NEAR_COPY_MARGIN
        popularity = self._popularity.of(want.key)
        if want.is_copy:
            popularity /= 1 + len(index.holding(want.key))
        return popularity > self._popularity.of(victim) + _POPULAR_COUNT

    def _retention_value(self, engine: EngineBook, key: AdapterKey) -> tuple[bool, float]:
        place: Place = engine.places[key]
        return place.version >= self._newest(key), self._popularity.of(key)


def want_without_requests(
    key: AdapterKey, now: float, *, is_copy: bool = False, saves: float = 0.0
) -> CombinedWant:
    """Return a want for an adapter that no request waits for."""
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
    near_copies: Mapping[AdapterKey, float] | None, wanted: Collection[AdapterKey]
) -> list[tuple[AdapterKey, float]]:
    return [(key, saves) for key, saves in (near_copies or {}).items() if key not in wanted]


def _running_by_engine(used: Mapping[tuple[str, AdapterKey], int]) -> Counter[str]:
    running = Counter[str]()
    for (instance, _), count in used.items():
        running[instance] += count
    return running
