"""What engines newly hold, told to the boxes: to those of another region more seldom."""

from __future__ import annotations

from typing import Protocol

from springrock.clock import monotonic
from springrock.placement.messages import EngineHolds, Message, Residents
from springrock.topology import Distance, Topology

FAR_EVERY_S = 2.0
"""How often boxes of another region are told. They bring what they need in their own region first:
what they do not know yet costs a load at most, while each byte to them goes over the link that
all traffic between the regions shares."""


class ZoneLinks(Protocol):
    """The boxes linked to a zone's placer."""

    def send_to_zones(self, message: Message, *, far: bool) -> None:
        """Send a message to the linked boxes of the region, or to those of other ones."""


class ResidentsPublisher:
    """Tells boxes what engines newly hold.

    Args:
        links: The linked boxes.
    """

    def __init__(self, links: ZoneLinks) -> None:
        self._links = links
        self._for_far: dict[str, EngineHolds] = {}
        self._reported_far_at = monotonic()

    def notify(self, changed: Residents | None) -> None:
        """Tell what has changed since the last time, if anything has.

        Args:
            changed: The engines that hold something else now.
        """
        if changed is not None:
            self._links.send_to_zones(changed, far=False)
            self._for_far.update((engine.instance, engine) for engine in changed.engines)
        now = monotonic()
        if self._for_far and now - self._reported_far_at >= FAR_EVERY_S:
            self._links.send_to_zones(Residents(list(self._for_far.values())), far=True)
            self._for_far.clear()
            self._reported_far_at = now


def is_far(topology: Topology, zone: str, home_zone: str) -> bool:
    """Whether a box stands in another region than a zone; one that has not said where does not."""
    return bool(home_zone) and (topology.distance_between(zone, home_zone) is Distance.OTHER_REGION)
