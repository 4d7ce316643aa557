"""Compares two ways to enforce a limit over many boxes: a central counter, and equal shares.

Each is measured by the part of the limit that is used and by the excess over the tolerance.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springrock.permits.terms import (
    LIMIT_WINDOW_S,
    PERMIT_LIFE_S,
    limits_beside_shares,
    named_limit_bucket_limits,
    tolerated_in_window,
    uncounted_share,
)
from springrock.quotas.bucket import BucketLimits, TokenBucket
from tests.permits.limit_world import LimitWorld, apply_load, use_virtual_clock

LENGTH_S = 30.0
DEMAND_FACTOR = 3.0
"""Demand as a multiple of the limit."""

Demand = Callable[[int], float]


def even(boxes: int, per_s: float) -> Demand:
    return lambda box: DEMAND_FACTOR * per_s / boxes


def uneven(boxes: int, per_s: float) -> Demand:
    """Return a demand of which nine tenths fall on a seventh of the boxes."""
    busy = max(1, boxes // 7)
    rest = max(1, boxes - busy)
    return lambda box: DEMAND_FACTOR * per_s * (0.9 / busy if box < busy else 0.1 / rest)


def counted(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float, demand: Demand
) -> tuple[float, float]:
    """Return the used part of the limit, and the excess over what the replica tolerates."""
    world = LimitWorld(boxes, lambda at: per_s)
    use_virtual_clock(monkeypatch, world)
    apply_load(world, seconds=4.0, per_s=demand)
    sent = apply_load(world, seconds=LENGTH_S, per_s=demand).sent
    return sent / (per_s * LENGTH_S), world.excess()


def shared(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float, demand: Demand
) -> tuple[float, float]:
    """Return the same for boxes that each have an equal share of the limit and no counter."""
    world = LimitWorld(boxes, lambda at: per_s)
    use_virtual_clock(monkeypatch, world)
    share = BucketLimits(named_limit_bucket_limits(per_s).rate / boxes, 1.0)
    buckets = [TokenBucket(share, now=0.0, level=1.0) for _ in range(boxes)]
    for box in world.boxes:
        bucket = buckets[box.number]

        def _try_send(number: int = box.number, bucket: TokenBucket = bucket) -> bool:
            if bucket.take(1.0, now=world.now):
                return False
            world.send(number)
            return True

        monkeypatch.setattr(box, "try_send", _try_send)
    apply_load(world, seconds=4.0, per_s=demand)
    sent = apply_load(world, seconds=LENGTH_S, per_s=demand).sent
    return sent / (per_s * LENGTH_S), world.excess()


@pytest.mark.parametrize("boxes", [7, 80])
@pytest.mark.parametrize("per_s", [0.5, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("spread", [even, uneven])
def test_a_central_counter_uses_the_limit_without_exceeding_it(
    monkeypatch: pytest.MonkeyPatch,
    boxes: int,
    per_s: float,
    spread: Callable[[int, float], Demand],
) -> None:
    used, excess = counted(monkeypatch, boxes, per_s, spread(boxes, per_s))
    assert excess <= 0
    assert used >= 0.9


@pytest.mark.parametrize("boxes", [7, 80])
@pytest.mark.parametrize("per_s", [1.0, 3.0])
def test_equal_shares_leave_much_of_the_limit_unused_under_uneven_demand(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float
) -> None:
    used, _ = shared(monkeypatch, boxes, per_s, uneven(boxes, per_s))
    assert used < 0.6


@pytest.mark.parametrize("per_s", [0.0, 0.4, 3.0, 20.0, 60.0])
@pytest.mark.parametrize("boxes", [1, 2, 4, 7])
def test_counted_permits_and_shares_together_stay_within_the_tolerance(
    per_s: float, boxes: int
) -> None:
    for away in range(boxes + 1):
        counted = limits_beside_shares(per_s, boxes=boxes, away=away)
        share = uncounted_share(per_s, boxes=boxes)
        within = counted.depth + counted.rate * (LIMIT_WINDOW_S + PERMIT_LIFE_S)
        if share is not None:
            within += away * (share.depth + share.rate * LIMIT_WINDOW_S)
        assert within <= tolerated_in_window(per_s) + 1e-9
        if 5 * away <= 2 * boxes:
            assert counted == named_limit_bucket_limits(per_s), "few boxes away cost nothing"
