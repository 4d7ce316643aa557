"""A bucket never lets more through than it may, whatever is given back, and wastes nothing."""

from __future__ import annotations

from itertools import accumulate

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springrock.quotas.bucket import BucketLimits, TokenBucket

LIMITS = BucketLimits(rate=2.0, depth=10.0)


def test_it_begins_empty_and_fills_to_its_depth() -> None:
    bucket = TokenBucket(LIMITS, now=0.0)
    assert bucket.take(1.0, now=0.0) == pytest.approx(0.5)
    assert bucket.level(3.0) == 6.0
    assert bucket.level(100.0) == 10.0


def test_more_than_it_ever_holds_is_never_taken() -> None:
    assert TokenBucket(LIMITS, now=0.0).take(10.5, now=100.0) == float("inf")
    assert TokenBucket(BucketLimits(0.0, 5.0), now=0.0).take(1.0, now=9.0) == float("inf")


def test_limits_change_at_once_and_fill_nothing() -> None:
    bucket = TokenBucket(LIMITS, now=0.0)
    bucket.change(BucketLimits(rate=1.0, depth=4.0), now=5.0)
    assert bucket.level(5.0) == 4.0
    bucket.change(BucketLimits(rate=10.0, depth=100.0), now=5.0)
    assert bucket.level(6.0) == 14.0


def test_what_is_given_back_can_be_taken_again() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    assert bucket.take(8.0, now=5.0) == 0.0
    assert bucket.refund(8.0, taken_at=5.0, now=5.5) == 7.0, "it was full, and is again"
    assert bucket.take(10.0, now=5.5) == 0.0


def test_what_the_bucket_has_made_up_for_is_not_given_back_twice() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    assert bucket.take(8.0, now=5.0) == 0.0
    assert bucket.take(10.0, now=9.0) == 0.0, "it is full again"
    assert bucket.refund(8.0, taken_at=5.0, now=9.1) == 0.0


def test_two_that_are_given_back_do_not_count_the_same_room_twice() -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    bucket.take(4.0, now=5.0)
    bucket.take(4.0, now=5.1)
    bucket.take(5.0, now=6.6)
    back = bucket.refund(4.0, taken_at=5.0, now=6.7)
    back += bucket.refund(4.0, taken_at=5.1, now=6.7)
    assert back == pytest.approx(10.0 - 5.2)


class _Op:
    """One step: some time passes, then something is taken, or an earlier taking is given back."""

    def __init__(self, after: float, units: float, undoes: int | None) -> None:
        self.after, self.units, self.undoes = after, units, undoes

    def __repr__(self) -> str:
        return f"_Op({self.after}, {self.units}, {self.undoes})"


OPS = st.lists(
    st.builds(
        _Op,
        st.sampled_from([0.0, 0.1, 0.7, 1.5, 4.0]),
        st.sampled_from([0.5, 1.0, 3.0, 7.0, 10.0]),
        st.one_of(st.none(), st.integers(0, 8)),
    ),
    max_size=40,
)


@settings(max_examples=2000, deadline=None, derandomize=True)
@given(OPS)
def test_no_span_of_time_lets_through_more_than_depth_and_rate(ops: list[_Op]) -> None:
    bucket = TokenBucket(LIMITS, now=0.0, refund_window_s=20.0)
    now = 0.0
    taken: list[tuple[float, float]] = []
    kept: list[bool] = []
    for op in ops:
        now += op.after
        if op.undoes is None:
            if bucket.take(op.units, now=now) == 0.0:
                taken.append((now, op.units))
                kept.append(True)
        elif op.undoes < len(taken) and kept[op.undoes]:
            kept[op.undoes] = False
            at, units = taken[op.undoes]
            bucket.refund(units, taken_at=at, now=now)
    ran = [item for item, stays in zip(taken, kept, strict=True) if stays]
    for first, (began, _) in enumerate(ran):
        sums = accumulate(units for _, units in ran[first:])
        for (ended, _), total in zip(ran[first:], sums, strict=True):
            assert total <= LIMITS.depth + LIMITS.rate * (ended - began) + 1e-6


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from([0.1, 0.5, 2.0]), min_size=1, max_size=20))
def test_what_is_all_given_back_at_once_leaves_the_bucket_as_it_was(pauses: list[float]) -> None:
    bucket, untouched = (TokenBucket(LIMITS, now=0.0, refund_window_s=60.0) for _ in range(2))
    now, taken = 0.0, []
    for pause in pauses:
        now += pause
        if bucket.take(1.0, now=now) == 0.0:
            taken.append(now)
    for at in reversed(taken):
        bucket.refund(1.0, taken_at=at, now=now)
    assert bucket.level(now) == pytest.approx(untouched.level(now))
