"""A bucket never lets through more than its limits allow, and refunds restore what was taken."""

from __future__ import annotations

from itertools import accumulate

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springrock.quotas.bucket import BucketLimits, TokenBucket

LIMITS = BucketLimits(rate=2.0, depth=10.0)


def test_a_bucket_starts_empty_and_fills_to_its_depth() -> None:
    bucket = TokenBucket(LIMITS, now=0.0)
    assert bucket.take(1.0, now=0.0) == pytest.approx(0.5)
    assert bucket.level(3.0) == 6.0
    assert bucket.level(100.0) == 10.0


def test_more_than_the_bucket_can_hold_is_never_available() -> None:
    assert TokenBucket(LIMITS, now=0.0).take(10.5, now=100.0) == float("inf")
    assert TokenBucket(BucketLimits(0.0, 5.0), now=0.0).take(1.0, now=9.0) == float("inf")


def test_changed_limits_apply_at_once_and_do_not_raise_the_level() -> None:
    bucket = TokenBucket(LIMITS, now=0.0)
    bucket.change(BucketLimits(rate=1.0, depth=4.0), now=5.0)
    assert bucket.level(5.0) == 4.0
    bucket.change(BucketLimits(rate=10.0, depth=100.0), now=5.0)
    assert bucket.level(6.0) == 14.0


def test_refunded_units_can_be_taken_again() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    assert bucket.take(8.0, now=5.0) == 0.0
    assert bucket.refund(8.0, taken_at=5.0, now=5.5) == 7.0, (
        "the bucket would hold its depth without the take"
    )
    assert bucket.take(10.0, now=5.5) == 0.0


def test_a_take_before_the_bucket_was_full_is_not_refunded() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    assert bucket.take(8.0, now=5.0) == 0.0
    assert bucket.take(10.0, now=9.0) == 0.0, "the bucket has been full again"
    assert bucket.refund(8.0, taken_at=5.0, now=9.1) == 0.0


def test_two_refunds_do_not_use_the_same_room_twice() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    bucket.take(4.0, now=5.0)
    bucket.take(4.0, now=5.1)
    bucket.take(5.0, now=6.6)
    back = bucket.refund(4.0, taken_at=5.0, now=6.7)
    back += bucket.refund(4.0, taken_at=5.1, now=6.7)
    assert back == pytest.approx(10.0 - 5.2)


class _Step:
    """One step: some time passes, then units are taken, or an earlier take is refunded."""

    def __init__(self, after: float, units: float, undoes: int | None) -> None:
        self.after, self.units, self.undoes = after, units, undoes

    def __repr__(self) -> str:
        return f"_Step({self.after}, {self.units}, {self.undoes})"


STEPS = st.lists(
    st.builds(
        _Step,
        st.sampled_from([0.0, 0.1, 0.7, 1.5, 4.0]),
        st.sampled_from([0.5, 1.0, 3.0, 7.0, 10.0]),
        st.one_of(st.none(), st.integers(0, 8)),
    ),
    max_size=40,
)


@settings(max_examples=2000, deadline=None, derandomize=True)
@given(STEPS)
def test_no_span_of_time_lets_through_more_than_depth_and_inflow(steps: list[_Step]) -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    now = 0.0
    taken: list[tuple[float, float]] = []
    kept: list[bool] = []
    for step in steps:
        now += step.after
        if step.undoes is None:
            if bucket.take(step.units, now=now) == 0.0:
                taken.append((now, step.units))
                kept.append(True)
        elif step.undoes < len(taken) and kept[step.undoes]:
            kept[step.undoes] = False
            at, units = taken[step.undoes]
            bucket.refund(units, taken_at=at, now=now)
    ran = [item for item, stays in zip(taken, kept, strict=True) if stays]
    for first, (began, _) in enumerate(ran):
        sums = accumulate(units for _, units in ran[first:])
        for (ended, _), total in zip(ran[first:], sums, strict=True):
            assert total <= LIMITS.depth + LIMITS.rate * (ended - began) + 1e-6


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([0.1, 0.5, 2.0]), min_size=1, max_size=20))
def test_refunding_all_takes_leaves_the_bucket_as_if_untouched(pauses: list[float]) -> None:
    bucket, untouched = (TokenBucket(LIMITS, now=0.0, refund_window_s=60.0) for _ in range(2))
    now, taken = 0.0, []
    for pause in pauses:
        now += pause
        if bucket.take(1.0, now=now) == 0.0:
            taken.append(now)
    for at in reversed(taken):
        bucket.refund(1.0, taken_at=at, now=now)
    assert bucket.level(now) == pytest.approx(untouched.level(now))
