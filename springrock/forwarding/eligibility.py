"""Decides whether a request may be sent to a replica, for all code that chooses or sends.

Boxes check it when they choose a replica and again right before each send, placers when they grant
an engine. The functions are pure: the caller passes in all state, and nothing blocks.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from springrock.forwarding.directory import ReplicaRecord
from springrock.topology import Topology


class Obstacle(StrEnum):
    """Why a request may not be sent to a replica now; the values appear in logs and metrics."""

    NOT_UNDERSTOOD = "not_understood"
    """The replica's latest record cannot be parsed."""
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    """The replica's zone is evacuated."""
    OUTSIDE_REGIONS = "outside_regions"
    """The replica is in no region where the request may be served."""
    OTHER_SOFTWARE = "other_software"
    """The replica runs another software version than the one that began the request's stream."""
    BACKING_OFF = "backing_off"
    """The replica refused a request of this box and asked for a back-off that has not ended."""
    COLD = "cold"
    """The replica started recently, and there is no permit to send it the request."""
    LIMITED = "limited"
    """The replica limits the rate of all boxes together, and there is no permit for the request."""
    RESTING = "resting"
    """The replica cools down after failures; used only if there is no other replica."""


METERED = frozenset((Obstacle.COLD, Obstacle.LIMITED))
"""The obstacles that a permit removes; a replica that has one of them is called metered."""


class Bounds(NamedTuple):
    """The replicas that a request is restricted to.

    Attributes:
        regions: The regions where it may be served; None for any.
        software: The software version that began its stream; None for any.
    """

    regions: frozenset[str] | None = None
    software: str | None = None

    def allow(self, zone: str, topology: Topology) -> bool:
        """Whether a request may be served in a zone; a zone of unknown region is in no region."""
        return self.regions is None or topology.region_of(zone) in self.regions

    def allow_software(self, record: ReplicaRecord) -> bool:
        """Whether a replica has the software version that the request needs."""
        return self.software is None or record.software == self.software


class RoutingState(NamedTuple):
    """The state that routing depends on, apart from the replicas themselves.

    Attributes:
        topology: The zones and their regions.
        evacuated: The evacuated zones, which get no requests.
        is_cold: Whether a replica may still be warming up after a start.
        announced: The zones that get no new adapters: the evacuated ones, and those whose
            evacuation is announced, which still serve the adapters that they hold.
        is_limited: Whether a replica limits the rate of requests of all boxes together.
    """

    topology: Topology
    evacuated: frozenset[str] = frozenset()
    is_cold: Callable[[ReplicaRecord], bool] = lambda record: False
    announced: frozenset[str] = frozenset()
    is_limited: Callable[[ReplicaRecord], bool] = lambda record: False

    def permit_obstacle(self, record: ReplicaRecord) -> Obstacle | None:
        """Return why a replica gets requests only with a permit; None if it needs none."""
        if self.is_cold(record):
            return Obstacle.COLD
        return Obstacle.LIMITED if self.is_limited(record) else None


ANYWHERE = Bounds()


def obstacle_of(
    record: ReplicaRecord,
    *,
    bounds: Bounds,
    routing_state: RoutingState,
    backing_off: bool = False,
    resting: bool = False,
    permitted: bool = False,
) -> Obstacle | None:
    """Return why a request may not be sent to a replica; None if it may.

    Args:
        record: The replica's record.
        bounds: The replicas that the request is restricted to.
        routing_state: The state of zones and permits that routing depends on.
        backing_off: Whether the replica has asked the sending box for a back-off.
        resting: Whether the replica cools down after recent failures.
        permitted: Whether there is a permit to send the request although the replica is cold or
            has named a limit.
    """
    if not record.understood:
        return Obstacle.NOT_UNDERSTOOD
    if record.leaving:
        return Obstacle.LEAVING
    zone_obstacle = zone_obstacle_of(record.zone, bounds=bounds, routing_state=routing_state)
    if zone_obstacle is not None:
        return zone_obstacle
    if not bounds.allow_software(record):
        return Obstacle.OTHER_SOFTWARE
    if backing_off:
        return Obstacle.BACKING_OFF
    metered = None if permitted else routing_state.permit_obstacle(record)
    if metered is not None:
        return metered
    return Obstacle.RESTING if resting else None


def may_be_loaded(record: ReplicaRecord, *, routing_state: RoutingState) -> bool:
    """Whether a replica may load adapters; a cold one may, as it warms up in the meantime."""
    if record.zone in routing_state.announced:
        return False
    return obstacle_of(record, bounds=ANYWHERE, routing_state=routing_state, permitted=True) is None


def zone_obstacle_of(zone: str, *, bounds: Bounds, routing_state: RoutingState) -> Obstacle | None:
    """Return why a request may not be sent to any replica of a zone; None if it may."""
    if zone in routing_state.evacuated:
        return Obstacle.EVACUATED
    if not bounds.allow(zone, routing_state.topology):
        return Obstacle.OUTSIDE_REGIONS
    return None
