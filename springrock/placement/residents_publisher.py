"""Publishes changes of engines' adapters to boxes, less often to those of other regions."""

from __future__ import annotations

from typing import Protocol

from springrock.clock import monotonic
from springrock.placement.messages import EngineHolds, Message, Residents
from springrock.topology import Distance, Topology

FAR_PUBLISH_INTERVAL_S = 2.0
"""Interval of messages to boxes of another region. Such a box loads an adapter in its own region
first: an outdated view costs it a load at most, while each byte to it goes over the link that
all traffic between the regions shares."""


class ZoneLinks(Protocol):
    """The boxes linked to a zone's placer."""

    def send_to_zones(self, message: Message, *, far: bool) -> None:
        """Send a message to the linked boxes of the region, or to those of other regions."""


class ResidentsPublisher:
    """Publishes changes of engines' adapters to the linked boxes.

    Args:
        links: The linked boxes.
    """

    def __init__(self, links: ZoneLinks) -> None:
        self._links = links
        self._for_far: dict[str, EngineHolds] = {}
        self._reported_far_at = monotonic()

    def notify(self, changed: Residents | None) -> None:
        """Publish changes, and the collected ones to other regions when they are due.

        Args:
            changed: The engines whose adapters have changed since the last call; None if none have.
        """
        if changed is not None:
            self._links.send_to_zones(changed, far=False)
            self._for_far.update((engine.instance, engine) for engine in changed.engines)
        now = monotonic()
        if self._for_far and now - self._reported_far_at >= FAR_PUBLISH_INTERVAL_S:
            self._links.send_to_zones(Residents(list(self._for_far.values())), far=True)
            self._for_far.clear()
            self._reported_far_at = now


def is_far(topology: Topology, zone: str, home_zone: str) -> bool:
    """Whether a box is in another region than a zone; False if the box named no home zone."""
    return bool(home_zone) and (topology.distance_between(zone, home_zone) is Distance.OTHER_REGION)
