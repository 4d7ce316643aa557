"""Placement as a box's requests see it: each adapter is brought by the placer of some zone."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager

from springrock.forwarding.adapters import WaitTerms
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.ids import new_id
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.control import EngineControl
from springrock.placement.errors import PlacerSilent
from springrock.placement.link_server import BoxLinks, LinkServer
from springrock.placement.residency import Residency, Versions
from springrock.placement.zone import PlacementSettings, Surroundings, ZonePlacement
from springrock.placement.zone_choice import ZoneView, choose_zone
from springrock.rows import RowStore

_SILENCE_RETRY_S = 1.0
"""When a request may come back that no placer heard."""


class Placement:
    """Implements `springrock.forwarding.adapters.Adapters`.

    Each zone with engines has a placer of its own, so that a zone that is cut off goes on bringing
    adapters. An adapter that stands nowhere is brought by the zone that a hash gives it, weighted
    by engines; by the next one if there is no room, or its placer is out of reach.

    Args:
        settings: What placement takes from the settings.
        store: The store with the placers' rows.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        control: Speaks to engines.
        log_of: Returns the log of a part.
        metrics: The metrics to count in.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        *,
        store: RowStore,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        control: EngineControl,
        log_of: Callable[[str], Log],
        metrics: ForwardingMetrics,
    ) -> None:
        self._settings = settings
        self._versions = versions
        self._directory = directory
        self._configuration = configuration
        self._residency = Residency(directory, versions)
        self._residency.on_change.append(self._notify)
        self._around = Surroundings(
            incarnation=new_id(),
            store=store,
            configuration=configuration,
            directory=directory,
            versions=versions,
            residency=self._residency,
            control=control,
            log_of=log_of,
            metrics=metrics,
        )
        self._zones: dict[str, ZonePlacement] = {}
        self._server = LinkServer(
            settings.address,
            incarnation=self._around.incarnation,
            links_of=self._links_of,
            log=log_of("link"),
        )
        self._stopping = False
        self._most_boxes = 1

    def start(self) -> None:
        """Begin to take part in the zones that have engines, now and later."""
        self._server.start()
        self._directory.on_change.append(self._replica_changed)

    def hand_over(self) -> None:
        """Let other boxes become placers, as this one is about to stop."""
        self._stopping = True
        for zone in self._zones.values():
            zone.hand_over()

    def stop(self) -> None:
        """End all tasks and links."""
        for zone in self._zones.values():
            zone.stop()
        self._server.stop()

    @property
    def boxes(self) -> int:
        """The most boxes that were seen at once, this one included.

        It does not fall, as boxes that a cut hides still spend their part of what is shared.
        """
        self._most_boxes = max(self._most_boxes, *(zone.boxes for zone in self._zones.values()), 1)
        return self._most_boxes

    # What forwarding asks.

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""
        return self._residency.holds(replica, key)

    def deny(self, instance: str, key: AdapterKey) -> None:
        """Learn from a replica itself that it does not hold an adapter."""
        self._residency.deny(instance, key)

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""
        return self._versions.newest(key)

    def note_hit(self, key: AdapterKey) -> None:
        """Count a request for an adapter."""
        avoid = self._zones_holding(key) if self._stands_crowded(key) else set()
        name = choose_zone(key, self._zone_views(), avoid=avoid) or self._settings.zone
        self._zone(name).demand.note_hit(key)

    def using(self, instance: str, key: AdapterKey) -> AbstractContextManager[None]:
        """Count a request as running with an adapter at a replica."""
        replica = self._directory.find(instance)
        zone = self._settings.zone if replica is None else replica.record.zone
        return self._zone(zone).demand.using(instance, key)

    def wait_for(self, key: AdapterKey, terms: WaitTerms, *, there: Callable[[], bool]) -> None:
        """Wait until an adapter can be used; a zone whose placer is silent is left for another."""
        # Where it stands already it did not serve this request, so another zone is better.
        holding = self._zones_holding(key)
        silent: set[str] = set()
        while True:
            name = choose_zone(key, self._zone_views(), avoid=holding, never=silent)
            if name is None:
                raise PlacerSilent(_SILENCE_RETRY_S)
            try:
                self._zone(name).demand.wait_for(key, terms, there=there)
                return
            except PlacerSilent:
                silent.add(name)

    # Zones.

    def _zone_views(self) -> list[ZoneView]:
        """Return the zones that have engines."""
        views = []
        for name, records in self._engines_by_zone().items():
            zone = self._zone(name)
            view = ZoneView(
                name=name,
                engines=len(records),
                can_load=any(record.models for record in records),
                reachable=zone.reachable,
                room=zone.room,
            )
            views.append(view)
        return views

    def _zones_holding(self, key: AdapterKey) -> set[str]:
        return {replica.record.zone for replica in self._holders(key)}

    def _stands_crowded(self, key: AdapterKey) -> bool:
        """Whether an adapter stands only on engines that run too much."""
        crowded = frozenset[str]().union(*(zone.crowded for zone in self._zones.values()))
        if not crowded:
            return False
        holders = self._holders(key)
        return bool(holders) and all(replica.instance in crowded for replica in holders)

    def _holders(self, key: AdapterKey) -> list[Replica]:
        return [
            replica
            for service in self._configuration().engine_services
            for replica in self._directory.of_service(service)
            if self._residency.holds(replica, key)
        ]

    def _engines_by_zone(self) -> dict[str, list[ReplicaRecord]]:
        engines: dict[str, list[ReplicaRecord]] = {}
        for service in self._configuration().engine_services:
            for replica in self._directory.of_service(service):
                if not replica.record.leaving:
                    engines.setdefault(replica.record.zone, []).append(replica.record)
        return engines

    def _zone(self, name: str) -> ZonePlacement:
        zone = self._zones.get(name)
        if zone is None:
            zone = ZonePlacement(name, self._settings, self._around)
            self._zones[name] = zone
            if not self._stopping:
                zone.start()
        return zone

    def _links_of(self, name: str) -> BoxLinks | None:
        zone = self._zones.get(name)
        return zone.links if zone is not None and zone.placing else None

    def _replica_changed(self, record: ReplicaRecord | None, instance: str) -> None:
        if record is not None and record.models:
            self._zone(record.zone)

    def _notify(self, key: AdapterKey) -> None:
        for zone in self._zones.values():
            zone.demand.notify(key)
