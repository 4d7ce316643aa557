"""What a cold replica may get, and the rate at which its permits are counted out."""

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
