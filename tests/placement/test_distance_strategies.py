"""A simulation of the strategies that choose the zone in which an adapter is loaded.

All strategies get the same requests, in virtual time. Each zone holds adapters in the places of its
engines. The simulation counts loads from the weight store, bytes between zones and between regions,
and evictions.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from springrock.forwarding.distance_cost import DistancePrices, estimate_request_bytes
from springrock.forwarding.message import AdapterKey
from springrock.ids import rendezvous_score
from springrock.placement import popularity as popularity_module
from springrock.placement.near_copies import NearCopies
from springrock.placement.popularity import Popularity
from springrock.placement.zone_choice import ZoneView, choose_zone
from springrock.topology import Distance, Topology

ADAPTER_COUNT = 10_000
ZIPF = 1.2
DURATION_S = 45.0
WARMUP_S = 15.0
LOAD_S = 0.3
NOTICE_DELAY_S = 0.1
"""Delay until boxes know that a zone has loaded an adapter."""

PUBLISH_INTERVAL_S = 0.4
"""Interval at which placers publish their pressure."""

MARGIN = 0.5
"""Margin, in loads, by which a copy's savings must exceed the popularity of its victim."""

PROMPT_TOKENS = (646, 9_190)
LONG_PROMPT_SHARE = 0.035


class Site(NamedTuple):
    """Zones with engines, and the distribution of the requests over them.

    Attributes:
        regions: The region of each zone.
        engines: Number of engines in each zone.
        places: Number of places on each engine.
        per_s: Requests per second over all zones.
        shares: Weight of each zone in the requests.
    """

    regions: dict[str, str]
    engines: int
    places: int
    per_s: float
    shares: tuple[float, ...]


THREE = Site({f"a-{n}": "a" for n in range(3)}, 15, 8, 326.0, (1.0, 1.0, 1.0))
UNEVEN = THREE._replace(shares=(8.0, 1.0, 1.0))
SIX = Site({f"{region}-{n}": region for region in "ab" for n in range(3)}, 8, 9, 432.0, (1.0,) * 6)


class Cost(NamedTuple):
    """The cost of a strategy.

    Attributes:
        loads: Loaded adapters per 100 requests.
        zones: Kilobytes between zones of a region per request.
        regions: Kilobytes between regions per request.
        evictions: Evicted adapters per 100 requests.
        busiest: Requests that the busiest zone served, as a multiple of an equal share.
    """

    loads: float
    zones: float
    regions: float
    evictions: float
    busiest: float

    def price(self, prices: DistancePrices) -> float:
        """Return the cost of a request, in loads."""
        near = prices.price_in_loads(Distance.OWN_REGION, self.zones * 1_000)
        far = prices.price_in_loads(Distance.OTHER_REGION, self.regions * 1_000)
        return self.loads / 100 + near + far


class Clock:
    """Virtual time."""

    now = 1_000.0


class Zone:
    """The engines of a zone, with the adapters that they hold and load."""

    def __init__(self, name: str, site: Site, topology: Topology, prices: DistancePrices) -> None:
        self.name = name
        self.engines: list[set[AdapterKey]] = [set() for _ in range(site.engines)]
        self.places = site.places
        self.popularity = Popularity()
        self.near_copies = NearCopies(name, topology=lambda: topology, prices=prices)
        self.loading: dict[AdapterKey, float] = {}
        self.ready: set[AdapterKey] = set()
        self.pressure = 0.0
        self.loads = self.evictions = self.served = 0

    def victim(self, engine: set[AdapterKey]) -> tuple[float, AdapterKey | None]:
        """Return the popularity of the adapter to evict on an engine, and the adapter itself."""
        if len(engine) < self.places:
            return 0.0, None
        return min((self.popularity.of(key), key) for key in engine)

    def publish_pressure(self) -> None:
        """Publish the current pressure of the zone."""
        costs = sorted(self.victim(engine)[0] for engine in self.engines)
        self.pressure = costs[len(costs) // 2]

    def load(self, key: AdapterKey, rng: random.Random, *, saves: float | None = None) -> bool:
        """Load an adapter; a near copy only if it saves more than its victim is worth."""
        engines = rng.sample(self.engines, 4)
        (victim_popularity, victim), engine = min(
            ((self.victim(engine), engine) for engine in engines), key=lambda item: item[0][0]
        )
        if saves is not None and saves <= victim_popularity + MARGIN:
            return False
        if victim is not None:
            engine.discard(victim)
            self.ready.discard(victim)
            self.evictions += 1
        engine.add(key)
        self.loads += 1
        return True


def hash_over_all(key: AdapterKey, views: list[ZoneView], holding: set[str]) -> str:
    """Choose by a hash over all zones, or over those that hold the adapter, the own one first."""
    home = next((view.name for view in views if view.distance is Distance.OWN_ZONE), "")
    if home in holding:
        return home
    names = holding or {view.name for view in views}
    return max(names, key=lambda name: rendezvous_score(str(key), name))


def hash_in_region(key: AdapterKey, views: list[ZoneView], holding: set[str]) -> str:
    """Choose by a hash over the zones of the own region."""
    near = [view for view in views if view.distance is not Distance.OTHER_REGION]
    held_near = {view.name for view in near} & holding
    return (
        hash_over_all(key, near, held_near)
        if held_near or not holding
        else (hash_over_all(key, views, holding))
    )


def by_distance(key: AdapterKey, views: list[ZoneView], holding: set[str]) -> str:
    """Choose the own zone unless its pressure is much higher than elsewhere in the region."""
    advantage = DistancePrices().price_in_loads(
        Distance.OWN_REGION, estimate_request_bytes(PROMPT_TOKENS[0])
    )
    name = choose_zone(key, views, prefer=holding, home_advantage=advantage)
    assert name is not None
    return name


Strategy = Callable[[AdapterKey, list[ZoneView], set[str]], str]


class Simulation:
    """A simulation of one strategy over a site's requests."""

    def __init__(
        self,
        strategy: Strategy,
        site: Site,
        *,
        copies: bool,
        clock: Clock,
        prices: DistancePrices,
        seed: int,
    ) -> None:
        self.strategy, self.site, self.copies, self.clock = strategy, site, copies, clock
        self.rng = random.Random(seed)
        self.topologies = {
            name: Topology(home=name, zones=tuple(site.regions), regions=site.regions)
            for name in site.regions
        }
        self.zones = {
            name: Zone(name, site, self.topologies[name], prices) for name in site.regions
        }
        self.crossed_bytes = {Distance.OWN_REGION: 0, Distance.OTHER_REGION: 0}
        self.requests = 0
        weights = [number**-ZIPF for number in range(1, ADAPTER_COUNT + 1)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.tie_breakers = itertools.count()

    def run(self) -> Cost:
        """Return the cost of the requests after the warm-up."""
        started = self.clock.now
        self.schedule(PUBLISH_INTERVAL_S, self.publish_pressure)
        for at, home, key, tokens in self.arrivals():
            while self.events and self.events[0][0] <= started + at:
                when, _, action = heapq.heappop(self.events)
                self.clock.now = when
                action()
            self.clock.now = started + at
            if at > WARMUP_S and not self.requests:
                self.reset_counts()
            self.requests += at > WARMUP_S
            self.serve(home, key, estimate_request_bytes(tokens))
        total = sum(zone.served for zone in self.zones.values())
        return Cost(
            100 * sum(zone.loads for zone in self.zones.values()) / self.requests,
            self.crossed_bytes[Distance.OWN_REGION] / self.requests / 1_000,
            self.crossed_bytes[Distance.OTHER_REGION] / self.requests / 1_000,
            100 * sum(zone.evictions for zone in self.zones.values()) / self.requests,
            max(zone.served for zone in self.zones.values()) * len(self.zones) / total,
        )

    def arrivals(self) -> Iterator[tuple[float, str, AdapterKey, int]]:
        at = 0.0
        names = list(self.site.regions)
        while at < DURATION_S:
            at += self.rng.expovariate(self.site.per_s)
            home = self.rng.choices(names, weights=self.site.shares)[0]
            drawn = self.rng.choices(range(ADAPTER_COUNT), cum_weights=self.cumulative_weights)[0]
            tokens = PROMPT_TOKENS[self.rng.random() < LONG_PROMPT_SHARE]
            yield at, home, AdapterKey("m", f"a{drawn}"), tokens

    def reset_counts(self) -> None:
        for zone in self.zones.values():
            zone.loads = zone.evictions = zone.served = 0
        self.crossed_bytes = dict.fromkeys(self.crossed_bytes, 0)

    def schedule(self, in_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.clock.now + in_s, next(self.tie_breakers), action))

    def publish_pressure(self) -> None:
        for zone in self.zones.values():
            zone.publish_pressure()
        self.schedule(PUBLISH_INTERVAL_S, self.publish_pressure)

    def serve(self, home: str, key: AdapterKey, carried_bytes: int) -> None:
        topology = self.topologies[home]
        views = [
            ZoneView(
                name,
                self.site.engines,
                True,
                True,
                1,
                distance=topology.distance(name),
                pressure=zone.pressure,
            )
            for name, zone in self.zones.items()
        ]
        holding = {name for name, zone in self.zones.items() if key in zone.ready}
        if key in self.zones[home].loading:
            holding = holding or {home}
        name = self.strategy(key, views, holding)
        zone = self.zones[name]
        zone.popularity.record(key, 1)
        zone.served += 1
        distance = topology.distance(name)
        if distance is not Distance.OWN_ZONE:
            self.crossed_bytes[distance] += carried_bytes
        if not self.is_held(zone, key):
            self.load(zone, key)
        saves = zone.near_copies.record(key, home_zone=home, carried_bytes=carried_bytes)
        if self.copies and saves:
            self.load_near(self.near_zone(home, distance, key), key, saves)

    def near_zone(self, home: str, distance: Distance, key: AdapterKey) -> Zone:
        if distance is Distance.OWN_REGION:
            return self.zones[home]
        region = self.site.regions[home]
        names = [name for name in self.zones if self.site.regions[name] == region]
        return self.zones[max(names, key=lambda name: rendezvous_score(str(key), name))]

    @staticmethod
    def is_held(zone: Zone, key: AdapterKey) -> bool:
        return key in zone.loading or any(key in engine for engine in zone.engines)

    def load(self, zone: Zone, key: AdapterKey, saves: float | None = None) -> None:
        if not zone.load(key, self.rng, saves=saves):
            return
        if saves is not None:
            zone.popularity.record(key, saves)
        zone.loading[key] = self.clock.now

        def _finish_load() -> None:
            zone.loading.pop(key, None)
            if any(key in engine for engine in zone.engines):
                zone.ready.add(key)

        self.schedule(LOAD_S + NOTICE_DELAY_S, _finish_load)

    def load_near(self, zone: Zone, key: AdapterKey, saves: float) -> None:
        if not self.is_held(zone, key):
            self.load(zone, key, saves)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(popularity_module, "monotonic", lambda: clock.now)
    return clock


def simulate(strategy: Strategy, site: Site, clock: Clock, *, copies: bool) -> Cost:
    prices = DistancePrices()
    return Simulation(strategy, site, copies=copies, clock=clock, prices=prices, seed=1).run()


EXPENSIVE_ZONES = DistancePrices(zone_mb=1.0, region_mb=2.0, adapter_load=0.014)
EXPENSIVE_REGIONS = DistancePrices(zone_mb=0.25, region_mb=1.0, adapter_load=0.03)
"""Prices of operators for whom the bytes between zones, or between regions, were expensive."""


def test_three_zones_that_load_at_home_and_make_worthwhile_copies_avoid_most_traffic(
    clock: Clock,
) -> None:
    """By hash: 3.86 KB between zones per request and 18.3 loads per 100 requests.

    By distance with copies: 0.69 KB and 20.0 loads.
    """
    before = simulate(hash_over_all, THREE, clock, copies=False)
    after = simulate(by_distance, THREE, clock, copies=True)
    assert after.zones < 0.25 * before.zones
    assert after.loads < 1.15 * before.loads
    assert after.price(EXPENSIVE_ZONES) < 0.65 * before.price(EXPENSIVE_ZONES)


def test_two_regions_keep_nearly_all_requests_to_themselves(clock: Clock) -> None:
    """By hash: 2.88 KB between regions and 1.94 KB between zones per request.

    By distance with copies: 0.30 KB and 0.89 KB.
    """
    before = simulate(hash_over_all, SIX, clock, copies=False)
    after = simulate(by_distance, SIX, clock, copies=True)
    assert after.regions < 0.15 * before.regions
    assert after.zones < 0.6 * before.zones
    assert after.loads < 1.25 * before.loads
    assert after.price(EXPENSIVE_REGIONS) < 0.85 * before.price(EXPENSIVE_REGIONS)


def test_each_part_of_the_choice_lowers_the_price(clock: Clock) -> None:
    """Cost per request, in loads: 0.34 by a hash within the region and 0.27 with copies.

    By distance it is 0.27, and 0.25 with copies.
    """
    hashed, hashed_copied, home, home_copied = (
        simulate(strategy, SIX, clock, copies=copies).price(DistancePrices())
        for strategy in (hash_in_region, by_distance)
        for copies in (False, True)
    )
    assert home_copied < min(hashed_copied, home)
    assert max(hashed_copied, home) < hashed


def test_if_one_zone_sends_most_requests_the_places_of_the_others_are_still_used(
    clock: Clock,
) -> None:
    """With requests in the ratio of 8 to 1 to 1 the busiest zone serves 2.0 equal shares."""
    hashed = simulate(hash_over_all, UNEVEN, clock, copies=False)
    after = simulate(by_distance, UNEVEN, clock, copies=True)
    assert after.busiest < 2.15
    assert after.loads < 1.15 * hashed.loads
    assert after.price(EXPENSIVE_ZONES) < 0.65 * hashed.price(EXPENSIVE_ZONES)
