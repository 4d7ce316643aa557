"""Divides a team's quota into shares that together never exceed it.

Each availability zone has an equal, fixed share. Its placer grants it to all boxes that ask,
including those of other zones; a box whose own zone has nothing left asks the others. As no share
moves between zones, no lost or late message and no network cut can let more through than the quota.
"""

from __future__ import annotations

from typing import NamedTuple

from springrock.forwarding.configuration import Team
from springrock.quotas.bucket import BucketLimits

_TOLERANCE_USED = 0.5
"""The part of the tolerance beyond rate and burst that the shares let through, so that an uneven
distribution over the zones causes no refusals. The rest covers requests that no box counts."""

_BURST_PART = 0.12
"""The part of a window's units that may be used at once; the rest flows in evenly. For a team whose
burst is one second of its rate this is about the burst. Were the depth the whole burst and the
inflow the rate alone, the burst would be usable only once: a team lowered to 35,000 tokens a second
and a burst of 124,000 got 35,000 a second permanently, not the 50,000 a second that every window of
8 s allows."""


class QuotaTerms(NamedTuple):
    """The window and the tolerances of quotas.

    Attributes:
        window_s: The window over which use is measured, in seconds.
        overage: The fraction by which use may exceed rate and burst.
        slack: Units by which it may exceed them in addition.
        zones: How many zones have a share.
    """

    window_s: float
    overage: float
    slack: float
    zones: int


def limits_of_zone(team: Team, terms: QuotaTerms) -> BucketLimits:
    """Return the rate and depth of one zone's share of a team's quota.

    Over any window, all zones together let through the rate, the burst and a part of the tolerance.
    """
    limit = team.rate * terms.window_s + team.burst
    tolerance = terms.overage * limit + terms.slack
    in_window = (limit + _TOLERANCE_USED * tolerance) / terms.zones
    burst = _BURST_PART * in_window
    return BucketLimits((in_window - burst) / terms.window_s, burst)
