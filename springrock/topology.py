"""The availability zones of a deployment, their regions, and their distances from this box."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from msgspec import Struct


class Distance(IntEnum):
    """How far a zone is from this box's own, in ascending order."""

    OWN_ZONE = 0
    OWN_REGION = 1
    OTHER_REGION = 2


class Topology(Struct, frozen=True, kw_only=True):
    """The zones of a deployment, from the settings.

    Attributes:
        home: The availability zone of this box.
        zones: All zones; empty if the settings do not list them.
        regions: The region of each zone; empty if the settings name none: all zones then count as
            one region.
    """

    home: str
    zones: tuple[str, ...] = ()
    regions: Mapping[str, str] = {}

    def knows(self, zone: str) -> bool:
        """Whether a zone belongs to the deployment; true for every zone if none are listed."""
        return not self.zones or zone in self.zones

    def region_of(self, zone: str) -> str | None:
        """Return the region of a zone; None if unknown."""
        return self.regions.get(zone)

    def distance(self, zone: str) -> Distance:
        """Return how far a zone is from this box's own."""
        return self.distance_between(self.home, zone)

    def distance_between(self, one: str, other: str) -> Distance:
        """Return how far two zones are from each other."""
        if one == other:
            return Distance.OWN_ZONE
        if self.regions and self.region_of(one) != self.region_of(other):
            return Distance.OTHER_REGION
        return Distance.OWN_REGION
