"""Placement as a box's requests see it: each adapter is brought by the placer of some zone."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, Use
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.distance_cost import bytes_of_prompt
from springrock.forwarding.eligibility import (
    ANYWHERE,
    Bounds,
    World,
    obstacle_of,
    zone_obstacle_of,
)
from springrock.forwarding.message import AdapterKey
from springrock.ids import new_id
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.messages import LimitReport
from springrock.permits.named_limits import NamedLimits
from springrock.permits.terms import SlowStartTerms
from springrock.permits.warmup import WarmupTracker
from springrock.placement.control import EngineControl
from springrock.placement.errors import PlacerSilent
from springrock.placement.handover import HandoverCoordinator
from springrock.placement.link_server import BoxLinks, LinkServer
from springrock.placement.messages import Hello, KnownState, TableNews
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.residency import Residency, Versions
from springrock.placement.settings import PlacementSettings
from springrock.placement.table_news import reading_from, table_news_from
from springrock.placement.zone import ZonePlacement
from springrock.placement.zone_choice import ZoneView, choose_zone
from springrock.placement.zone_dependencies import ZoneDependencies
from springrock.quotas.shares import QuotaTerms
from springrock.rows import RowStore, TableReading
from springrock.topology import Distance

_RECONNECT_LIKELY_S = 1.0
"""So long after its start, or after it lost the last placer that it heard, a box is likely to hear
one again: boxes that had all lost power were linked 0.2 s after their start."""


class Placement:
    """Implements `springrock.forwarding.adapters.Adapters`.

    Each zone with engines has a placer of its own, so that a zone that is cut off goes on bringing
    adapters. An adapter that stands nowhere is brought by the own zone; by another of the own
    region, drawn by a hash, if the own one has no room, is crowded, out of reach, or would push out
    what is asked for more; and by another region only if the own one has no room or cannot load it.

    Args:
        settings: What placement takes from the settings.
        store: The store with the placers' rows.
        board: Those rows as far as they are known.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        world: Returns what is known beside the replicas.
        control: Speaks to engines.
        quota_terms: Returns how strictly the quotas of teams are meant.
        slow_start_terms: Returns how strictly the bound on cold replicas is meant.
        warmup: Which replicas are cold.
        limits: The limits that replicas have named.
        state_for: Returns what a box that asks for it is told of what is known.
        log_of: Returns the log of a part.
        metrics: The metrics to count in.

    Attributes:
        on_reading: Called with what a placer's box has read of a table, whether this box may
            rely on being told what follows, and the placer's zone.
        on_alone: Called when the box that told readings is lost.
        handovers: Learns of evacuated zones, and has what was asked for there brought elsewhere.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        *,
        store: RowStore,
        board: PlacerBoard,
        configuration: Callable[[], Configuration],
        directory: Directory,
        versions: Versions,
        world: Callable[[], World],
        control: EngineControl,
        quota_terms: Callable[[], QuotaTerms],
        slow_start_terms: Callable[[], SlowStartTerms],
        warmup: WarmupTracker,
        limits: NamedLimits,
        state_for: Callable[[Hello], KnownState],
        log_of: Callable[[str], Log],
        metrics: ForwardingMetrics,
    ) -> None:
        self._settings = settings
        self._versions = versions
        self._directory = directory
        self._world = world
        self._configuration = configuration
        self._residency = Residency(directory, versions)
        self._placer_contact = Event()
        self._unreachable_since = monotonic()
        self._board = board
        self.on_reading: Callable[[TableReading, bool, str], None] = (
            lambda reading, relied_on, source_zone: None
        )
        self.on_alone: Callable[[], None] = lambda: None
        self._around = ZoneDependencies(
            incarnation=new_id(),
            store=store,
            board=board,
            configuration=configuration,
            directory=directory,
            versions=versions,
            world=world,
            residency=self._residency,
            control=control,
            quota_terms=quota_terms,
            slow_start_terms=slow_start_terms,
            warmup=warmup,
            limits=limits,
            on_table_news=self._apply_updates,
            on_placer_contact=self._placer_contact.set,
            on_placer_lost=self._placer_lost,
            on_copy_worthwhile=self._request_copy,
            log_of=log_of,
            metrics=metrics,
            on_handover=lambda zone, handover: self.handovers.apply(zone, handover),
        )
        self.handovers = HandoverCoordinator(
            zones=lambda: self._zones,
            views=lambda: self._zone_views(ANYWHERE, world()),
            placers=board.boxes,
            residency=self._residency,
            world=world,
            log=log_of("placer"),
        )
        self._warmup = warmup
        self._limits = limits
        self._zones: dict[str, ZonePlacement] = {}
        self._engines: dict[str, list[ReplicaRecord]] | None = None
        self._server = LinkServer(
            settings.address,
            incarnation=self._around.incarnation,
            links_of=self._links_of,
            state_for=state_for,
            log=log_of("link"),
        )
        self._stopping = False
        self._most_boxes = 1

    def start(self) -> None:
        """Begin to take part in the zones that have engines, now and later."""
        self._server.start()
        self._directory.on_change.append(self._replica_changed)
        self._warmup.on_observation.append(self._notify_observation)
        self._limits.on_limit_report.append(self._notify_limit)

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

    # What boxes of one zone share.

    @property
    def publishes_readings(self) -> bool:
        """Whether other boxes go by what this one reads of the store."""
        zone = self._zones.get(self._settings.zone)
        return zone is not None and zone.notifies_home_zone

    def publish_reading(self, reading: TableReading, *, is_own: bool) -> None:
        """Tell other boxes what is new of a table.

        The boxes of the own zone are told all; other placers' boxes only what this one has read
        itself, which they pass on.

        Args:
            reading: What is new.
            is_own: Whether this box has read it itself.
        """
        zone = self._zones.get(self._settings.zone)
        if zone is not None:
            placers = self._board.boxes() if is_own else ()
            zone.publish_table(table_news_from(reading), also=placers)

    def _apply_updates(self, zone: str, updates: TableNews) -> None:
        """Learn what the placer's box of a zone has read.

        Of the placers' boxes the one of the first zone reads the store for all, so that two never
        rely on each other.
        """
        home = self._settings.zone
        relied_on = zone == home or (self.publishes_readings and zone < home)
        self.on_reading(reading_from(updates), relied_on, zone)

    def _placer_lost(self, zone: str) -> None:
        if not self._has_reachable_zone:
            self._placer_contact.clear()
            self._unreachable_since = monotonic()
        if zone == self._settings.zone:
            self.on_alone()

    def _notify_observation(self, record: ReplicaRecord, answered: bool) -> None:
        """Let other boxes learn, by the placer of a replica's zone, what was seen of it."""
        permits = self._zone(record.zone).demand.permits
        permits.record_observation(record.instance, answered=answered)

    def _notify_limit(self, word: LimitReport) -> None:
        """Let the placer of a replica's zone learn of its limit, as that counts for all boxes."""
        replica = self._directory.find(word.instance)
        if replica is not None:
            self._zone(replica.record.zone).demand.record_limit(word)

    def announce_leaving(self, instance: str) -> None:
        """Let all placers learn that a replica leaves, and by them the boxes that they tell.

        Each places on in its zone, and the store may not tell of the replica for long.
        """
        for zone in self._zones.values():
            zone.demand.record_leaving(instance)

    def counter(self, zone: str) -> ZonePlacement:
        """Return who counts a zone's part of the teams' quotas, and what its replicas get."""
        return self._zone(zone)

    @property
    def home_boxes(self) -> int:
        """How many boxes stand in this box's zone, as its placer last told; 0 if it has not."""
        zone = self._zones.get(self._settings.zone)
        return 0 if zone is None else zone.home_boxes

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

    def use(self, instance: str, key: AdapterKey) -> Use:
        """Note the use of a replica that no placer granted; to be ended by the caller."""
        replica = self._directory.find(instance)
        zone = self._settings.zone if replica is None else replica.record.zone
        return self._zone(zone).demand.use(instance, key)

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        """Return the use of a replica that a placer grants; a silent one is left for another."""
        silent: set[str] = set()
        while True:
            name = self._choose_zone(adapter_request, silent)
            if name is None:
                return None
            try:
                return self._zone(name).demand.find(adapter_request)
            except PlacerSilent:
                silent.add(name)

    def await_placer(self, *, until: float) -> bool:
        """Wait for a placer while none is heard and one is likely to be soon."""
        if self._has_reachable_zone:
            return False
        # It may be set yet while a link that was lost is being given up.
        self._placer_contact.clear()
        likely_until = min(until, self._unreachable_since + _RECONNECT_LIKELY_S)
        return self._placer_contact.wait(timeout=max(0.0, likely_until - monotonic()))

    @property
    def _has_reachable_zone(self) -> bool:
        return any(zone.reachable for zone in self._zones.values())

    # Zones.

    def _zone_views(self, bounds: Bounds, world: World) -> list[ZoneView]:
        """Return the zones with engines that a request may go to, as they are now."""
        views = []
        for name, records in self._engines_by_zone().items():
            if zone_obstacle_of(name, bounds=bounds, world=world) is not None:
                continue
            zone = self._zone(name)
            view = ZoneView(
                name=name,
                engines=len(records),
                can_load=any(record.models for record in records),
                reachable=zone.reachable,
                room=zone.room,
                distance=world.topology.distance(name),
                pressure=zone.wait_estimate.pressure,
                wait_s=zone.wait_estimate.wait_s,
            )
            views.append(view)
        return views

    def _choose_zone(self, adapter_request: AdapterRequest, silent: set[str]) -> str | None:
        """Return the zone whose placer is to be asked; None if none can be reached."""
        world = self._world()
        holders = self._residency.holders(adapter_request.key)
        staying = [
            replica for replica in holders if _may_serve(replica, adapter_request.bounds, world)
        ]
        holding = {
            replica.record.zone
            for replica in staying
            if replica.instance not in adapter_request.avoid
        } or {
            replica.record.zone
            for replica in staying
            if replica.instance in adapter_request.failed_at
        }
        # Where it could not be served another zone is better.
        spent = {replica.record.zone for replica in holders} - holding
        carried = bytes_of_prompt(sum(part.tokens for part in adapter_request.prompt))
        views = self._zone_views(adapter_request.bounds, world)
        home = self._settings.zone
        loadable = {view.name for view in views} - world.announced
        if self._is_spread(adapter_request.key) and home in loadable:
            holding = {home}
        at_hand = {
            replica.record.zone
            for replica in self._residency.cache_holders(adapter_request.key)
            if _may_serve(replica, adapter_request.bounds, world)
        }
        return choose_zone(
            adapter_request.key,
            views,
            prefer=holding,
            avoid=spent,
            # Where an evacuation is announced what stands serves yet, and nothing is brought.
            never=silent | (world.announced - holding),
            at_hand=at_hand,
            home_advantage=self._settings.prices.in_loads(Distance.OWN_REGION, carried),
        )

    def _request_copy(self, holder: str, key: AdapterKey, saves: int) -> None:
        """Wish for a copy near this box of an adapter that stands far away.

        A copy for the whole region is drawn by a hash, so that each of its zones does not bring it.
        """
        world = self._world()
        distance = world.topology.distance(holder)
        near = [
            view._replace(distance=Distance.OWN_REGION)
            for view in self._zone_views(ANYWHERE, world)
            if view.distance < distance and view.name not in world.announced
        ]
        name = choose_zone(key, [view._replace(pressure=0.0, wait_s=0.0) for view in near])
        if name is not None:
            self._zone(name).demand.request_copy(key, saves)

    def _is_spread(self, key: AdapterKey) -> bool:
        name = str(key)
        return any(name in zone.spread for zone in self._zones.values())

    def _engines_by_zone(self) -> dict[str, list[ReplicaRecord]]:
        if self._engines is not None:
            return self._engines
        engines: dict[str, list[ReplicaRecord]] = {}
        for service in self._configuration().engine_services:
            for replica in self._directory.of_service(service):
                if replica.record.understood and not replica.record.leaving:
                    engines.setdefault(replica.record.zone, []).append(replica.record)
        self._engines = engines
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
        return zone.links if zone is not None and zone.takes_links else None

    def _replica_changed(self, record: ReplicaRecord | None, instance: str) -> None:
        self._engines = None
        if record is not None and (record.models or self._warmup.slow_start(record.service)):
            self._zone(record.zone)


def _may_serve(replica: Replica, bounds: Bounds, world: World) -> bool:
    """Whether a request may go to a replica; its zone's placer counts what a metered one gets."""
    return obstacle_of(replica.record, bounds=bounds, world=world, permitted=True) is None
