"""Compares strategies for dividing a team's quota, in virtual time on the same requests.

The reference is what a single counter for the whole deployment would serve. A strategy is
measured by the part of it that it serves, and must never let through more than is tolerated.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest
import simpy

from springrock.forwarding.configuration import QuotaUnit, Team
from springrock.quotas.bucket import BucketLimits, TokenBucket
from springrock.quotas.shares import QuotaTerms, limits_of_zone

ZONES = 3
BOXES = 83
TERMS = QuotaTerms(window_s=8.0, overage=0.1, slack=17_000.0, zones=ZONES)
TEAM = Team(name="t", unit=QuotaUnit.TOKENS, rate=48_000.0, burst=48_000.0)
MEAN_TOKENS = 2_300
LENGTH_S = 60.0
MEASURED_FROM_S = 10.0


class Arrival(NamedTuple):
    at: float
    zone: int
    box: int
    tokens: int


class Load(NamedTuple):
    """What a team sends, as a multiple of its rate, and the part that each zone receives."""

    of_rate: float
    zones: tuple[float, ...]


USUAL = Load(0.56, (0.33, 0.33, 0.34))
UNEVEN = Load(0.8, (0.8, 0.1, 0.1))
HOT = Load(3.4, (0.33, 0.33, 0.34))
HOT_IN_ONE_ZONE = Load(3.4, (1.0, 0.0, 0.0))

Strategy = Callable[[Arrival], bool]


def arrivals(load: Load, seed: int) -> list[Arrival]:
    """Return the requests of a team, including those before the measured time."""
    chance = random.Random(seed)
    environment = simpy.Environment()
    found: list[Arrival] = []

    def _send() -> Iterator[simpy.Event]:
        per_s = load.of_rate * TEAM.rate / MEAN_TOKENS
        while True:
            yield environment.timeout(chance.expovariate(per_s))
            zone = chance.choices(range(ZONES), weights=load.zones)[0]
            tokens = min(7_500, round(chance.lognormvariate(7.35, 0.87)))
            found.append(Arrival(environment.now, zone, chance.randrange(BOXES), tokens))

    environment.process(_send())
    environment.run(until=LENGTH_S)
    return found


def _bucket(limits: BucketLimits) -> TokenBucket:
    return TokenBucket(limits, now=0.0)


def single_counter() -> Strategy:
    bucket = _bucket(BucketLimits(TEAM.rate, TEAM.burst))
    return lambda item: bucket.take(item.tokens, now=item.at) == 0.0


def shares_of_boxes() -> Strategy:
    buckets = [_bucket(BucketLimits(TEAM.rate / BOXES, TEAM.burst / BOXES)) for _ in range(BOXES)]
    return lambda item: buckets[item.box].take(item.tokens, now=item.at) == 0.0


def shares_of_zones_only() -> Strategy:
    buckets = [_bucket(limits_of_zone(TEAM, TERMS)) for _ in range(ZONES)]
    return lambda item: buckets[item.zone].take(item.tokens, now=item.at) == 0.0


def shares_of_all_zones() -> Strategy:
    buckets = [_bucket(limits_of_zone(TEAM, TERMS)) for _ in range(ZONES)]

    def _take(item: Arrival) -> bool:
        order = [buckets[(item.zone + step) % ZONES] for step in range(ZONES)]
        return any(bucket.take(item.tokens, now=item.at) == 0.0 for bucket in order)

    return _take


def served(strategy: Callable[[], Strategy], load: Load, seed: int) -> list[Arrival]:
    take = strategy()
    return [item for item in arrivals(load, seed) if take(item)]


def served_ratio(strategy: Callable[[], Strategy], load: Load) -> float:
    """Return what a strategy lets through as a fraction of what a single counter would."""
    let_through = reference = 0
    for seed in range(5):
        for chosen, is_reference in ((strategy, False), (single_counter, True)):
            tokens = sum(
                item.tokens for item in served(chosen, load, seed) if item.at > MEASURED_FROM_S
            )
            let_through += 0 if is_reference else tokens
            reference += tokens if is_reference else 0
    return let_through / reference


@pytest.mark.parametrize("load", [USUAL, UNEVEN, HOT, HOT_IN_ONE_ZONE])
def test_asking_all_zones_serves_the_reference_however_load_is_distributed(load: Load) -> None:
    """Asking all zones serves 1.0; the own zone only 0.33 to 1.0; shares of boxes 0.02 to 0.07."""
    assert served_ratio(shares_of_all_zones, load) >= 0.99


def test_shares_of_one_zone_or_box_only_serve_little_under_uneven_load() -> None:
    assert served_ratio(shares_of_zones_only, HOT_IN_ONE_ZONE) < 0.4
    assert served_ratio(shares_of_boxes, USUAL) < 0.1


@pytest.mark.parametrize("load", [USUAL, UNEVEN, HOT, HOT_IN_ONE_ZONE])
def test_no_window_exceeds_the_tolerance(load: Load) -> None:
    allowed = (TEAM.rate * TERMS.window_s + TEAM.burst) * (1 + TERMS.overage) + TERMS.slack
    for seed in range(5):
        ran = served(shares_of_all_zones, load, seed)
        for first in ran:
            window = [item for item in ran if 0 <= item.at - first.at <= TERMS.window_s]
            assert sum(item.tokens for item in window) <= allowed
