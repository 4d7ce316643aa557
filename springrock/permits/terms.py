"""What a cold or limited replica may get, and the rate at which its permits are counted out."""

from __future__ import annotations

import math
from typing import NamedTuple

from springrock.forwarding.configuration import SlowStart
from springrock.quotas.bucket import BucketLimits

PERMIT_LIFE_S = 0.15
"""How long after the ask a permit is good. What was permitted within a second and this may be sent
within one second, so a longer life costs rate; a shorter one loses permits of boxes that are
busy. An ask and its answer take some milliseconds within a zone."""

LEAST_PERMIT_S = 0.05
"""With less of it left another permit is asked: the connection to the replica takes time."""

WINDOW_S = 1.0
"""The span over which the bound holds; the platform's rule."""

_AT_ONCE_S = 0.25
"""So much of a second's worth may be saved up: a replica that is slow yet is not helped by more at
once, and boxes ask in no even rhythm."""

_LEAST_AT_ONCE = 2.0
"""Where the bound is tight, so much may be saved up all the same: with less, half of what comes
at random finds no room."""

_LEAST_PART = 0.1
"""Of what a second may see, no more than this is saved up at the cost of the rate."""

_UNDER_ONE_MORE = 0.99
"""Requests are whole: a bucket that gives less than one more than the bound in a second's span
gives no more than the bound."""


class SlowStartTerms(NamedTuple):
    """How strictly the bound is meant.

    Attributes:
        overage: How many times the stated rate a cold replica may get in a second.
        slack: Requests that it may get beside that.
    """

    overage: float
    slack: float


def bound_of(slow_start: SlowStart, terms: SlowStartTerms) -> float:
    """Return how many requests a cold replica may get within a second, from all boxes."""
    return slow_start.per_s * terms.overage + terms.slack


def limits_of(slow_start: SlowStart, terms: SlowStartTerms) -> BucketLimits:
    """Return the rate and the depth at which permits for one replica are counted out.

    A request is sent at most `PERMIT_LIFE_S` after its permit was taken from the bucket, so what is
    sent within a second was taken within a second and that life: at most the depth and what flows
    in meanwhile, which together stay within the bound.
    """
    span_s = WINDOW_S + PERMIT_LIFE_S
    usable = math.floor(bound_of(slow_start, terms)) + _UNDER_ONE_MORE
    least = max(1.0, min(_LEAST_AT_ONCE, usable * _LEAST_PART))
    rate = max(0.0, min(slow_start.per_s, (usable - least) / span_s))
    at_once = max(least, slow_start.per_s * _AT_ONCE_S)
    return BucketLimits(rate, min(at_once, usable - rate * span_s))


LIMIT_WINDOW_S = 4.0
"""The span over which a limit that a replica names is judged; the platform's rule."""

_BORNE_TIMES = 1.5
_BORNE_BESIDE = 5.0
"""What it bears within the span: so many times its limit, and so many requests; the same rule."""

_LEAST_OF_LIMIT = 0.25
"""Requests a second that a replica gets whatever it names: one that gets nothing answers nothing,
so nobody would learn that its limit is no more."""

_AT_ONCE_OF_LIMIT = 2.0
"""So many may be saved up below a limit: with one, half of what comes at random finds no room."""


def borne_of(per_s: float) -> float:
    """Return how many requests a replica that names a limit bears within `LIMIT_WINDOW_S`."""
    return per_s * LIMIT_WINDOW_S * _BORNE_TIMES + _BORNE_BESIDE


def limits_of_named(per_s: float) -> BucketLimits:
    """Return the rate and the depth at which permits below a limit are counted out.

    What is sent within the window and was counted is at most the depth and what flows in within
    the window and the life of a permit, which leaves over a quarter of what the replica bears for
    what nobody counts.
    """
    rate = max(_LEAST_OF_LIMIT, per_s)
    return BucketLimits(rate, max(_AT_ONCE_OF_LIMIT, rate * _AT_ONCE_S))


def share_of_named(per_s: float, *, boxes: int) -> BucketLimits | None:
    """Return what one of some boxes sends below a limit while nobody counts; None for nothing.

    They share the rate, and each may have saved up one request: as many as the replica bears beside
    what was counted out just before.
    """
    counted = limits_of_named(per_s)
    within = counted.depth + counted.rate * (LIMIT_WINDOW_S + PERMIT_LIFE_S)
    if not boxes or boxes > borne_of(per_s) - within:
        return None
    return BucketLimits(counted.rate / boxes, 1.0)


def stricter(one: BucketLimits, other: BucketLimits) -> BucketLimits:
    """Return limits that keep within both."""
    return BucketLimits(min(one.rate, other.rate), min(one.depth, other.depth))
