"""Prefetches the adapters requested in an evacuated zone into the remaining zones."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple, Protocol

import gevent

from springrock.clock import monotonic
from springrock.forwarding.eligibility import RoutingState, may_be_loaded
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.demand import DemandBook
from springrock.placement.handover_messages import AskedFor, Handover
from springrock.placement.planner import CombinedWant, want_without_requests
from springrock.placement.popularity import Popularity
from springrock.placement.residency import Residency
from springrock.placement.zone_choice import ZoneView, choose_zone

_HANDOVER_INTERVAL_S = 0.5
"""How often the placer of a zone with an announced evacuation sends the handover. It is repeated so
that a box that becomes the placer of another zone during the announcement receives it too."""

_HANDOVER_TIMEOUT_S = 0.5
"""How long after its zone's evacuation a placer that sends no handover counts as unreachable."""

_MAX_HANDED_OVER = 400
"""Most adapters in one handover message: more than the remaining zones can load before the
evacuated zone is cut off from requests."""

_MAX_PLANNED = 40
"""Most adapters passed to one plan: as many as are ever loaded at once. The planner checks every
engine for each of them, several times a second."""

_MIN_REQUEST_COUNT = 0.25
"""Lowest decayed request count to hand over: one request within the last two half-lives."""

_PREFETCH_DURATION_S = 8.0
"""How long adapters of an evacuated zone are prefetched without a request in this zone: more than
twice the announcement, which lasts a few seconds. An adapter not requested by then is not worth a
load."""


def handover_of(popularity: Popularity) -> Handover:
    """Return the adapters requested in a zone, the most requested first."""
    ranked = popularity.ranked(min_count=_MIN_REQUEST_COUNT)[:_MAX_HANDED_OVER]
    return Handover([AskedFor(*key, round(count, 2)) for key, count in ranked])


class _ZonePrefetch(NamedTuple):
    """The adapters that a zone prefetches on behalf of one evacuated zone.

    Attributes:
        missing: The request counts of adapters that are not in this zone yet.
        loaded: Adapters that were loaded, or were in this zone already.
    """

    missing: dict[AdapterKey, float]
    loaded: set[AdapterKey]


class PrefetchWants:
    """The adapters that a zone's placer prefetches without a request in the zone.

    Args:
        zone: The zone.
        popularity: The request counts of the zone; raised to those handed over.
        log: The log to write to.
        metrics: The metrics that show the number of adapters still missing.
        on_update: Called when there are new adapters to prefetch.
    """

    def __init__(
        self,
        zone: str,
        *,
        popularity: Popularity,
        log: Log,
        metrics: ForwardingMetrics,
        on_update: Callable[[], None],
    ) -> None:
        self._on_update = on_update
        self._zone = zone
        self._popularity = popularity
        self._log = log
        self._missing_gauge = metrics.adapters_to_prefetch.labels(zone)
        self._by_zone: dict[str, _ZonePrefetch] = {}
        self._ends_at: dict[str, float] = {}

    @property
    def pending(self) -> bool:
        """Whether any adapter is still missing."""
        return any(prefetch.missing for prefetch in self._by_zone.values())

    def add(self, from_zone: str, asked_for: Iterable[AskedFor]) -> None:
        """Add adapters requested in an evacuated zone; those already loaded for it are skipped.

        Args:
            from_zone: The evacuated zone.
            asked_for: The adapters to prefetch, the most requested first.
        """
        prefetch = self._by_zone.get(from_zone, _ZonePrefetch({}, set()))
        missing = [item for item in asked_for if item.key not in prefetch.loaded]
        new = [item for item in missing if item.key not in prefetch.missing]
        for item in missing:
            # The placer's handover may arrive after the engines' adapters were added with count 0.
            prefetch.missing[item.key] = max(
                item.request_count, prefetch.missing.get(item.key, 0.0)
            )
            self._popularity.raise_to(item.key, item.request_count)
        if not new:
            return
        self._by_zone[from_zone] = prefetch
        self._ends_at.setdefault(from_zone, monotonic() + _PREFETCH_DURATION_S)
        self._log.info(
            "Prefetching adapters of an evacuated zone.",
            zone=self._zone,
            from_zone=from_zone,
            count=len(new),
            first=[str(item.key) for item in new[:3]],
        )
        self._on_update()

    def wants(self, is_there: Callable[[AdapterKey], bool], now: float) -> list[CombinedWant]:
        """Return the adapters to prefetch next, the most requested first.

        Args:
            is_there: Whether an engine of the zone holds an adapter, is loading it or keeps its
                weights.
            now: The time on the local monotonic clock.
        """
        for from_zone in [zone for zone, ends_at in self._ends_at.items() if ends_at <= now]:
            self.drop(from_zone)
        counts: dict[AdapterKey, float] = {}
        for prefetch in self._by_zone.values():
            for key in [key for key in prefetch.missing if is_there(key)]:
                del prefetch.missing[key]
                prefetch.loaded.add(key)
            counts.update(prefetch.missing)
        self._missing_gauge.set(len(counts))
        ranked = sorted(counts, key=lambda key: -counts[key])[:_MAX_PLANNED]
        return [want_without_requests(key, now) for key in ranked]

    def handle_cut(self, from_zone: str) -> None:
        """Log the progress of the prefetch when an evacuated zone is cut off from requests."""
        prefetch = self._by_zone.get(from_zone)
        if prefetch is None:
            return
        self._log.info(
            "Adapters of an evacuated zone at its cut.",
            zone=self._zone,
            from_zone=from_zone,
            brought=len(prefetch.loaded),
            left=len(prefetch.missing),
        )

    def drop(self, from_zone: str) -> None:
        """End the prefetch for a zone: its evacuation was withdrawn, or the prefetch period ended.

        Does nothing if there is none.
        """
        self._ends_at.pop(from_zone, None)
        prefetch = self._by_zone.pop(from_zone, None)
        if prefetch is None:
            return
        self._missing_gauge.set(sum(len(other.missing) for other in self._by_zone.values()))
        self._log.info(
            "Stopped prefetching adapters of an evacuated zone.",
            zone=self._zone,
            from_zone=from_zone,
            brought=len(prefetch.loaded),
            left=len(prefetch.missing),
        )

    def clear(self) -> None:
        """Drop all prefetches, as when the lease is lost."""
        self._by_zone.clear()
        self._ends_at.clear()
        self._missing_gauge.set(0)


class HandoverZone(Protocol):
    """The part of a box's view of a zone that handovers need.

    Attributes:
        prefetch: The adapters to prefetch into the zone while this box is its placer.
        demand: This box's requests for the zone's engines, and its uses of them.
    """

    prefetch: PrefetchWants
    demand: DemandBook

    @property
    def placing(self) -> bool:
        """Whether this box is the zone's placer now."""

    def send_handover(self, boxes: Collection[str]) -> None:
        """Send boxes the adapters requested in the zone."""


class HandoverCoordinator:
    """Hands over the adapters requested in evacuated zones, for all zones of one box.

    Args:
        zones: Returns the zones of this box, by name.
        views: Returns the zones with engines that requests may go to, as they are now.
        placers: Returns the boxes that are placers of any zone.
        residency: Which replicas hold which adapters.
        routing_state: Returns the topology, the evacuated zones, and the cold and limited replicas.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        zones: Callable[[], Mapping[str, HandoverZone]],
        views: Callable[[], list[ZoneView]],
        placers: Callable[[], Collection[str]],
        residency: Residency,
        routing_state: Callable[[], RoutingState],
        log: Log,
    ) -> None:
        self._zones = zones
        self._views = views
        self._placers = placers
        self._residency = residency
        self._routing_state = routing_state
        self._log = log
        self._handover_at: dict[str, float] = {}

    def handle_change(self, zone: str, evacuated: bool) -> None:
        """Handle the announcement of a zone's evacuation, or its withdrawal."""
        if evacuated:
            self._move_requesters(zone, except_for=lambda key: self._is_held_in(key, zone))
            gevent.spawn(self._send_while_announced, zone)
            gevent.spawn_later(_HANDOVER_TIMEOUT_S, self._hand_over_unreported, zone)
            return
        for other in self._zones().values():
            other.prefetch.drop(zone)

    def handle_cut(self, zone: str) -> None:
        """Handle the cut of an evacuated zone: from now on it gets no requests."""
        self._move_requesters(zone, except_for=lambda key: False)
        for other in self._zones().values():
            other.prefetch.handle_cut(zone)

    def apply(self, zone: str, handover: Handover) -> None:
        """Distribute the adapters of an evacuated zone among the remaining zones.

        Each zone that this box places prefetches its share. The handover may arrive before this
        box knows of the evacuation.
        """
        known = self._routing_state()
        routing_state = known._replace(announced=known.announced | {zone})
        self._handover_at[zone] = monotonic()
        views = self._remaining(zone, routing_state)
        missing = [item for item in handover.adapters if not self._is_held(item.key, routing_state)]
        for name, other in self._zones().items():
            if other.placing and name not in routing_state.announced:
                share = [item for item in missing if choose_zone(item.key, views) == name]
                other.prefetch.add(zone, share)

    def _send_while_announced(self, zone: str) -> None:
        while True:
            placed = self._zones().get(zone)
            if placed is not None and placed.placing:
                placed.send_handover(self._placers())
            gevent.sleep(_HANDOVER_INTERVAL_S)
            routing_state = self._routing_state()
            if zone not in routing_state.announced or zone in routing_state.evacuated:
                return

    def _hand_over_unreported(self, zone: str) -> None:
        """Hand over the adapters that a zone's engines hold, if its placer sent no handover."""
        # The handover may have arrived shortly before this box learned of the evacuation.
        age_s = monotonic() - self._handover_at.get(zone, float("-inf"))
        if age_s < 2 * _HANDOVER_TIMEOUT_S or zone not in self._routing_state().announced:
            return
        keys = self._residency.adapters_in_zone(zone)
        self._log.info(
            "No handover from the placer of an evacuated zone.", zone=zone, held=len(keys)
        )
        held = [AskedFor(*key, 0.0) for key in keys[:_MAX_HANDED_OVER]]
        self.apply(zone, Handover(held))

    def _remaining(self, zone: str, routing_state: RoutingState) -> list[ZoneView]:
        """Return the zones that share the adapters of an evacuated zone.

        Zones of the same region are preferred. All are treated as having room: boxes learn of room
        at different times, but must all divide the adapters in the same way.
        """
        views = [view for view in self._views() if view.name not in routing_state.announced]
        region = routing_state.topology.region_of(zone)
        near = [view for view in views if routing_state.topology.region_of(view.name) == region]
        return [view._replace(room=1) for view in near or views]

    def _is_held(self, key: AdapterKey, routing_state: RoutingState) -> bool:
        """Whether a replica in a remaining zone holds an adapter."""
        holders = self._residency.holders(key)
        return any(
            may_be_loaded(replica.record, routing_state=routing_state) for replica in holders
        )

    def _is_held_in(self, key: AdapterKey, zone: str) -> bool:
        holders = self._residency.holders(key)
        return any(replica.record.zone == zone for replica in holders)

    def _move_requesters(self, zone: str, *, except_for: Callable[[AdapterKey], bool]) -> None:
        placed = self._zones().get(zone)
        if placed is not None:
            placed.demand.ask_elsewhere(except_for=except_for)
