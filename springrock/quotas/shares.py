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
"""Of what the operator tolerates beyond rate and burst this part is added to the depth, so that an
uneven spread over the zones refuses nobody; the rest covers what no box sees."""


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
    """Return what one zone may let through of a team's requests."""
    spare = terms.overage * (team.rate * terms.window_s + team.burst) + terms.slack
    depth = team.burst + _SPARE_PART * spare
    return BucketLimits(team.rate / terms.zones, depth / terms.zones)
