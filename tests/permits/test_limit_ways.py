"""Two ways to keep a limit over many boxes, by what part of it is used: counted out, or shared."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springrock.permits.terms import named_limit_limits
from springrock.quotas.bucket import BucketLimits, TokenBucket
from tests.permits.limit_world import LimitWorld, press, quiet_and_virtual

LENGTH_S = 30.0
PRESSURE = 3.0
"""Demand, in times the limit."""

Demand = Callable[[int], float]


def even(boxes: int, per_s: float) -> Demand:
    return lambda box: PRESSURE * per_s / boxes


def uneven(boxes: int, per_s: float) -> Demand:
    """Nine tenths of the demand at a seventh of the boxes."""
    busy = max(1, boxes // 7)
    rest = max(1, boxes - busy)
    return lambda box: PRESSURE * per_s * (0.9 / busy if box < busy else 0.1 / rest)


def counted(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float, demand: Demand
) -> tuple[float, float]:
    """Return what part of the limit is used, and the excess over what the replica bears."""
    world = LimitWorld(boxes, lambda at: per_s)
    quiet_and_virtual(monkeypatch, world)
    press(world, seconds=4.0, per_s=demand)
    sent = press(world, seconds=LENGTH_S, per_s=demand).sent
    return sent / (per_s * LENGTH_S), world.excess()


def shared(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float, demand: Demand
) -> tuple[float, float]:
    """The same where each box takes an equal part of the limit, and asks nobody."""
    world = LimitWorld(boxes, lambda at: per_s)
    quiet_and_virtual(monkeypatch, world)
    part = BucketLimits(named_limit_limits(per_s).rate / boxes, 1.0)
    buckets = [TokenBucket(part, now=0.0, level=1.0) for _ in range(boxes)]
    for box in world.boxes:
        bucket = buckets[box.number]

        def _try(number: int = box.number, bucket: TokenBucket = bucket) -> bool:
            if bucket.take(1.0, now=world.now):
                return False
            world.send(number)
            return True

        monkeypatch.setattr(box, "try_send", _try)
    press(world, seconds=4.0, per_s=demand)
    sent = press(world, seconds=LENGTH_S, per_s=demand).sent
    return sent / (per_s * LENGTH_S), world.excess()


@pytest.mark.parametrize("boxes", [7, 80])
@pytest.mark.parametrize("per_s", [0.5, 1.0, 3.0, 20.0])
@pytest.mark.parametrize("spread", [even, uneven])
def test_what_is_counted_out_is_used_and_kept(
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
def test_equal_shares_leave_most_of_an_uneven_demand_unused(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float
) -> None:
    used, _ = shared(monkeypatch, boxes, per_s, uneven(boxes, per_s))
    assert used < 0.6
