"""Whether a request may go to a replica: the one answer for all that choose or send.

Boxes ask when they choose a replica and again at the moment of each send, placers when they grant
an engine. Nothing here waits, counts or looks anything up: the caller hands over what is known.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from springrock.forwarding.directory import ReplicaRecord
from springrock.topology import Topology


class Obstacle(StrEnum):
    """Why a request may not go to a replica now; logs and metrics name it."""

    NOT_UNDERSTOOD = "not_understood"
    """What the replica last said of itself cannot be read."""
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    """Its zone is evacuated."""
    OUTSIDE_REGIONS = "outside_regions"
    """It stands in no region where the request may be served."""
    BACKING_OFF = "backing_off"
    """It turned a request of this box away and asked for rest, which is not over."""
    COLD = "cold"
    """It has started lately, and there is no permit to send it the request."""
    LIMITED = "limited"
    """It names a limit for all boxes together, and there is no permit to send it the request."""
    RESTING = "resting"
    """It failed lately and is left alone; better than nothing at all."""


METERED = frozenset((Obstacle.COLD, Obstacle.LIMITED))
"""What a permit removes."""


class Bounds(NamedTuple):
    """What a request itself allows.

    Attributes:
        regions: Where it may be served; None for anywhere.
    """

    regions: frozenset[str] | None = None

    def allow(self, zone: str, topology: Topology) -> bool:
        """Whether a request may be served in a zone; one whose region is not told is in none."""
        return self.regions is None or topology.region_of(zone) in self.regions


class World(NamedTuple):
    """What is known beside the replica itself.

    Attributes:
        topology: The zones and their regions.
        evacuated: The zones that get nothing now.
        is_cold: Whether a replica is not known to be warm.
        announced: The zones to which nothing new is brought: those that are evacuated, and those
            that are about to be and still serve what stands there.
        is_limited: Whether a replica takes but so many requests from all boxes together.
    """

    topology: Topology
    evacuated: frozenset[str] = frozenset()
    is_cold: Callable[[ReplicaRecord], bool] = lambda record: False
    announced: frozenset[str] = frozenset()
    is_limited: Callable[[ReplicaRecord], bool] = lambda record: False

    def metered(self, record: ReplicaRecord) -> Obstacle | None:
        """Return why a replica gets requests by permit only; None if it does not."""
        if self.is_cold(record):
            return Obstacle.COLD
        return Obstacle.LIMITED if self.is_limited(record) else None


ANYWHERE = Bounds()


def obstacle_of(
    record: ReplicaRecord,
    *,
    bounds: Bounds,
    world: World,
    backing_off: bool = False,
    resting: bool = False,
    permitted: bool = False,
) -> Obstacle | None:
    """Return why a request may not go to a replica; None if it may.

    Args:
        record: What the replica says of itself.
        bounds: What the request allows.
        world: What is known beside that.
        backing_off: Whether the replica has asked the box that would send for rest.
        resting: Whether the replica is left alone, as requests failed there lately.
        permitted: Whether there is a permit to send the request although the replica is cold or
            has named a limit.
    """
    if not record.understood:
        return Obstacle.NOT_UNDERSTOOD
    if record.leaving:
        return Obstacle.LEAVING
    zone_obstacle = zone_obstacle_of(record.zone, bounds=bounds, world=world)
    if zone_obstacle is not None:
        return zone_obstacle
    if backing_off:
        return Obstacle.BACKING_OFF
    metered = None if permitted else world.metered(record)
    if metered is not None:
        return metered
    return Obstacle.RESTING if resting else None


def may_be_loaded(record: ReplicaRecord, *, world: World) -> bool:
    """Whether a replica may be given adapters; a cold one may, as it warms up meanwhile."""
    if record.zone in world.announced:
        return False
    return obstacle_of(record, bounds=ANYWHERE, world=world, permitted=True) is None


def zone_obstacle_of(zone: str, *, bounds: Bounds, world: World) -> Obstacle | None:
    """Return why a request may go to no replica of a zone; None if it may."""
    if zone in world.evacuated:
        return Obstacle.EVACUATED
    if not bounds.allow(zone, world.topology):
        return Obstacle.OUTSIDE_REGIONS
    return None
