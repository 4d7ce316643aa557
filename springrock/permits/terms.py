"""The request rates allowed to cold and limited replicas, and the token buckets that keep them."""

from __future__ import annotations

import math
from typing import NamedTuple

from springrock.forwarding.configuration import SlowStart
from springrock.quotas.bucket import BucketLimits

PERMIT_LIFE_S = 0.15
"""How long a permit is valid, counted from before the ask. Permits issued within a second plus this
lifetime may all be used within one second, so a longer lifetime lowers the usable rate. A shorter
one wastes permits of busy boxes. An ask and its answer take a few milliseconds within a zone."""

MIN_PERMIT_LEFT_S = 0.05
"""The remaining validity below which a new permit is asked for, as connecting to the replica takes
time."""

WINDOW_S = 1.0
"""The window of the bound on cold replicas; set by the platform."""

_BURST_S = 0.25
"""Seconds' worth of permits that a bucket may hold. More would not help a replica that is still
slow, but some are needed because asks arrive unevenly."""

_MIN_BURST = 2.0
"""The depth of a bucket even under a tight bound. With less, half of the requests that arrive at
random find no permit."""

_MAX_BURST_PART = 0.1
"""The part of a window's bound to which `_MIN_BURST` is capped, as depth reduces the rate."""

_FRACTION_BELOW_NEXT = 0.99
"""Added to the rounded-down bound. A bucket that permits fewer than one more request than the bound
within a second never exceeds the bound, as the number of requests is an integer."""


class SlowStartTerms(NamedTuple):
    """The tolerances of the bound on cold replicas.

    Attributes:
        overage: How many times the configured rate a cold replica may receive in a second.
        slack: Requests that it may receive in addition.
    """

    overage: float
    slack: float


def cold_start_bound(slow_start: SlowStart, terms: SlowStartTerms) -> float:
    """Return how many requests a cold replica may receive within a second from all boxes."""
    return slow_start.per_s * terms.overage + terms.slack


def cold_start_bucket_limits(slow_start: SlowStart, terms: SlowStartTerms) -> BucketLimits:
    """Return the rate and depth of the bucket for a cold replica's permits.

    A request is sent at most `PERMIT_LIFE_S` after its permit was taken. The requests sent within a
    second therefore hold permits taken within a second plus that lifetime: at most the depth and
    what flows in meanwhile. The returned limits keep this sum within the bound.
    """
    span_s = WINDOW_S + PERMIT_LIFE_S
    usable = math.floor(cold_start_bound(slow_start, terms)) + _FRACTION_BELOW_NEXT
    min_depth = max(1.0, min(_MIN_BURST, usable * _MAX_BURST_PART))
    rate = max(0.0, min(slow_start.per_s, (usable - min_depth) / span_s))
    depth = max(min_depth, slow_start.per_s * _BURST_S)
    return BucketLimits(rate, min(depth, usable - rate * span_s))


LIMIT_WINDOW_S = 4.0
"""The window over which a limit that a replica names is enforced; set by the platform."""

_TOLERATED_FACTOR = 1.5
_TOLERATED_EXTRA = 5.0
"""Within the window a replica tolerates `_TOLERATED_FACTOR` times its limit plus `_TOLERATED_EXTRA`
requests; set by the platform."""

_MIN_LIMIT_RATE = 0.25
"""Requests a second that a replica receives whatever limit it names. A replica that receives none
also sends no answers, so that the end of its limit would never be detected."""

_MIN_LIMIT_BURST = 2.0
"""The minimum depth of the bucket for a named limit. With 1, half of the requests that arrive at
random find no permit."""


def tolerated_in_window(per_s: float) -> float:
    """Return how many requests a replica that names a limit tolerates in `LIMIT_WINDOW_S`."""
    return per_s * LIMIT_WINDOW_S * _TOLERATED_FACTOR + _TOLERATED_EXTRA


def named_limit_bucket_limits(per_s: float) -> BucketLimits:
    """Return the rate and depth of the bucket for permits under a named limit.

    The counted requests sent within the window are at most the depth plus what flows in during the
    window and a permit's lifetime. This leaves over a quarter of what the replica tolerates for
    uncounted requests.
    """
    rate = max(_MIN_LIMIT_RATE, per_s)
    return BucketLimits(rate, max(_MIN_LIMIT_BURST, rate * _BURST_S))


def uncounted_share(per_s: float, *, boxes: int) -> BucketLimits | None:
    """Return what each of some boxes may send under a named limit while no placer counts.

    The boxes divide the rate, and each may start with one request. The number of boxes is bounded
    by what the replica tolerates in addition to requests counted just before.

    Returns:
        The share of one box; None if it may send nothing.
    """
    counted = named_limit_bucket_limits(per_s)
    within = counted.depth + counted.rate * (LIMIT_WINDOW_S + PERMIT_LIFE_S)
    if not boxes or boxes > tolerated_in_window(per_s) - within:
        return None
    return BucketLimits(counted.rate / boxes, 1.0)


def limits_beside_shares(per_s: float, *, boxes: int, away: int) -> BucketLimits:
    """Return the rate and depth of the bucket for permits while some boxes may send their shares.

    A replica tolerates the shares of two fifths of the boxes in addition to its limit; with more of
    them the counted rate falls.

    Args:
        per_s: The limit that the replica names.
        boxes: How many boxes divide the limit while no placer counts for them.
        away: How many of them are not linked to the placer that counts.
    """
    counted = named_limit_bucket_limits(per_s)
    share = uncounted_share(per_s, boxes=boxes)
    if not away or share is None:
        return counted
    uncounted = away * (share.depth + share.rate * LIMIT_WINDOW_S)
    left = tolerated_in_window(per_s) - uncounted - counted.depth
    rate = left / (LIMIT_WINDOW_S + PERMIT_LIFE_S)
    return counted._replace(rate=max(0.0, min(counted.rate, rate)))


def intersection(one: BucketLimits, other: BucketLimits) -> BucketLimits:
    """Return the limits that satisfy both."""
    return BucketLimits(min(one.rate, other.rate), min(one.depth, other.depth))
