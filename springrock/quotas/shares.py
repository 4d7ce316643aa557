"""How a team's quota is divided, so that all parts together never exceed it.

Each availability zone has an equal part of its own, which its placer counts out to whoever asks,
boxes of other zones too. No part moves between zones, so no message that is lost or late, and no
cut, can let more through than the quota; who needs more than the own zone has asks the others.
"""

from __future__ import annotations

from typing import NamedTuple

from springrock.forwarding.configuration import Team
from springrock.quotas.bucket import BucketLimits

_SPARE_PART = 0.5
"""Of what the operator tolerates beyond rate and burst this part is let through, so that an uneven
spread over the zones refuses nobody; the rest covers what no box sees."""

_AT_ONCE_PART = 0.12
"""Of what a window may hold, the part that may come at once; the rest flows in evenly. It is the
burst where that is a second of the rate. With the whole burst at once and only the rate flowing in,
a team whose limit was lowered to 35,000 tokens a second and a burst of 124,000 got 35,000 a second
for good, of 50,000 that every window of 8 s may hold."""


class QuotaTerms(NamedTuple):
    """How strictly quotas are meant.

    Attributes:
        window_s: The span over which use is judged.
        overage: The part by which it may exceed rate and burst.
        slack: Units by which it may exceed them beside that.
        zones: In how many zones quotas are counted.
    """

    window_s: float
    overage: float
    slack: float
    zones: int


def limits_of_zone(team: Team, terms: QuotaTerms) -> BucketLimits:
    """Return what one zone may let through of a team's requests.

    Over any window, all zones together let through the rate and the burst and a part of what is
    tolerated beyond.
    """
    limit = team.rate * terms.window_s + team.burst
    spare = terms.overage * limit + terms.slack
    in_window = (limit + _SPARE_PART * spare) / terms.zones
    at_once = _AT_ONCE_PART * in_window
    return BucketLimits((in_window - at_once) / terms.window_s, at_once)
