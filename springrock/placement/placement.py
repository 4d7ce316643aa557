"""Placement for the requests of a box: chooses the zone whose placer loads an adapter."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, Use
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.distance_cost import estimate_request_bytes
from springrock.forwarding.eligibility import (
    ANYWHERE,
    Bounds,
    RoutingState,
    obstacle_of,
    zone_obstacle_of,
)
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.software_history import SoftwareHistory
from springrock.forwarding.stream_origins import OriginBook
from springrock.ids import new_id
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.brittle import BrittleReplicas
from springrock.permits.messages import LimitReport
from springrock.permits.named_limits import NamedLimits
from springrock.permits.terms import SlowStartTerms
from springrock.permits.warmup import WarmupTracker
from springrock.placement.box_count import BoxCount
from springrock.placement.control import EngineControl
from springrock.placement.errors import PlacerSilent
from springrock.placement.handover import HandoverCoordinator
from springrock.placement.link_server import BoxLinks, LinkServer
from springrock.placement.messages import Hello, KnownState, TableNews
from springrock.placement.origin_exchange import OriginExchange, PlacerLink
from springrock.placement.origin_rows import OriginRows
from springrock.placement.peer_boxes import PeerBoxes
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.residency import Residency, Versions
from springrock.placement.settings import PlacementSettings
from springrock.placement.table_news import reading_from, table_news_from
from springrock.placement.zone import ZonePlacement
from springrock.placement.zone_choice import ZoneView, choose_zone
from springrock.placement.zone_dependencies import ZoneDependencies
from springrock.quotas.shares import QuotaTerms
from springrock.rows import RowStore, TableReading
from springrock.store_clock import StoreClock
from springrock.topology import Distance

_RECONNECT_LIKELY_S = 1.0
"""How long requests wait for a link to a placer after the start, or after the last link was lost.
Boxes that had all lost power were linked 0.2 s after their start."""


class Placement:
    """Implements `springrock.forwarding.adapters.Adapters`.

    Each zone with engines has its own placer, so that a zone that is cut off still loads adapters.
    An adapter that no engine holds is loaded in the home zone. If that has no room, is crowded or
    unreachable, or would evict an adapter in higher demand, another zone of the region, chosen by a
    hash, loads it. Another region loads it only if the home region has no room or cannot load it.

    Args:
        settings: The settings that placement uses.
        store: The store with the placers' rows.
        board: The known placers' rows.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        routing_state: Returns the conditions that decide where a request may go, such as the
            topology and evacuated zones.
        control: Sends orders to engines.
        quota_terms: Returns how the quotas of teams are enforced.
        slow_start_terms: Returns how the bound on requests to cold replicas is enforced.
        warmup: Knows which replicas are cold.
        limits: The limits that replicas have named.
        brittle: Which replicas are brittle.
        state_for: Returns the state to send to a box that asks for it.
        cut_off: Returns whether this box reaches no replica.
        origins: The origins of this box's own streams.
        software_history: The software versions that replicas have had lately.
        clock: Converts times on the store's clock.
        log_of: Returns the log of a part.
        metrics: The metrics to count in.

    Attributes:
        on_reading: Called with a reading of a table by a placer's box, whether this box may rely
            on it to send the following readings, and the placer's zone.
        on_reader_lost: Called when the link to the home zone's placer, which sends readings, is
            lost.
        peer_boxes: The boxes that reach replicas.
        origins: The origins of streams that boxes keep for each other.
        handovers: Has the adapters of evacuated zones that are in demand loaded in other zones.
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
        routing_state: Callable[[], RoutingState],
        control: EngineControl,
        quota_terms: Callable[[], QuotaTerms],
        slow_start_terms: Callable[[], SlowStartTerms],
        warmup: WarmupTracker,
        limits: NamedLimits,
        brittle: BrittleReplicas,
        state_for: Callable[[Hello], KnownState],
        cut_off: Callable[[], bool],
        log_of: Callable[[str], Log],
        metrics: ForwardingMetrics,
        origins: OriginBook,
        software_history: SoftwareHistory,
        clock: StoreClock,
    ) -> None:
        self._settings = settings
        self._versions = versions
        self._directory = directory
        self._routing_state = routing_state
        self._configuration = configuration
        self._residency = Residency(directory, versions)
        self._placer_contact = Event()
        self._unreachable_since = monotonic()
        self._board = board
        self.on_reading: Callable[[TableReading, bool, str], None] = (
            lambda reading, relied_on, source_zone: None
        )
        self.on_reader_lost: Callable[[], None] = lambda: None
        self.peer_boxes = PeerBoxes(
            settings.clients_address, distance=lambda zone: routing_state().topology.distance(zone)
        )
        self._box_count = BoxCount(len(routing_state().topology.zones))
        told = OriginBook()
        self._origin_rows = OriginRows(store, book=told, clock=clock, log=log_of("origins"))
        self.origins = OriginExchange(
            own=origins,
            of_others=told,
            rows=self._origin_rows,
            history=software_history,
            links=self._placer_links,
            board=board,
            clock=clock,
        )
        self._dependencies = ZoneDependencies(
            incarnation=new_id(),
            store=store,
            board=board,
            configuration=configuration,
            directory=directory,
            versions=versions,
            routing_state=routing_state,
            residency=self._residency,
            control=control,
            quota_terms=quota_terms,
            slow_start_terms=slow_start_terms,
            warmup=warmup,
            limits=limits,
            brittle=brittle,
            box_count=self._box_count,
            peer_boxes=self.peer_boxes,
            cut_off=cut_off,
            origins=self.origins,
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
            views=lambda: self._zone_views(ANYWHERE, routing_state()),
            placers=board.boxes,
            residency=self._residency,
            routing_state=routing_state,
            log=log_of("placer"),
        )
        self._warmup = warmup
        self._limits = limits
        self._brittle = brittle
        self._zones: dict[str, ZonePlacement] = {}
        self._engines: dict[str, list[ReplicaRecord]] | None = None
        self._server = LinkServer(
            settings.address,
            incarnation=self._dependencies.incarnation,
            links_of=self._links_of,
            state_for=state_for,
            log=log_of("link"),
        )
        self._stopping = False

    def start(self) -> None:
        """Start to accept links and to join zones as replicas become known."""
        self._server.start()
        self._origins_task = gevent.spawn(self.origins.run)
        self._origin_rows_task = gevent.spawn(self._origin_rows.run)
        self._directory.on_change.append(self._replica_changed)
        self._warmup.on_observation.append(self._notify_observation)
        self._limits.on_limit_report.append(self._notify_limit)
        self._brittle.words.on_limit_report.append(self._notify_brittle)

    def begin_stop(self, *, ends_at: float, needs_placer: Callable[[], bool]) -> None:
        """Hand this box's placer roles over to other boxes, before it stops.

        Args:
            ends_at: When this box ends, on the local monotonic clock. No request waits here for
                longer than it can and still end before that.
            needs_placer: Returns whether requests may still need the placers.
        """
        self._stopping = True
        for zone in self._zones.values():
            zone.begin_stop(ends_at=ends_at, needs_placer=needs_placer)

    def stop(self) -> None:
        """Stop all tasks and links."""
        self._origins_task.kill()
        self._origin_rows_task.kill()
        for zone in self._zones.values():
            zone.stop()
        self._server.stop()

    @property
    def boxes(self) -> int:
        """The highest number of boxes linked to one placer so far, this one included."""
        return self._box_count.most

    def sharing_boxes(self, heard_for_s: float) -> int | None:
        """Return the number of boxes that common budgets are divided by.

        Args:
            heard_for_s: How long ago a placer must have reported it first.

        Returns:
            None if no placer has; 1 if there are no engines, and so no placers.
        """
        return self._box_count.sharing(heard_for_s=heard_for_s) if self._zones else 1

    # Readings, observations and limits shared between boxes.

    @property
    def publishes_readings(self) -> bool:
        """Whether other boxes rely on this box's readings of the store."""
        zone = self._zones.get(self._settings.zone)
        return zone is not None and zone.notifies_home_zone

    def publish_reading(self, reading: TableReading, *, is_own: bool) -> None:
        """Send a reading of a table to other boxes.

        The boxes of the home zone get every reading; other placers' boxes get only those that this
        box read itself, and pass them on.

        Args:
            reading: The reading.
            is_own: Whether this box read it from the store itself.
        """
        zone = self._zones.get(self._settings.zone)
        if zone is not None:
            placers = self._board.boxes() if is_own else ()
            zone.publish_table(table_news_from(reading), also=placers)

    def _apply_updates(self, zone: str, updates: TableNews) -> None:
        """Pass on a reading by the box of a zone's placer.

        A placer's box relies only on that of a zone earlier in the alphabet, so that two never rely
        on each other.
        """
        home = self._settings.zone
        relied_on = zone == home or (self.publishes_readings and zone < home)
        self.on_reading(reading_from(updates), relied_on, zone)

    def _placer_lost(self, zone: str) -> None:
        if not self._has_reachable_zone:
            self._placer_contact.clear()
            self._unreachable_since = monotonic()
        if zone == self._settings.zone:
            self.on_reader_lost()

    def _notify_observation(self, record: ReplicaRecord, answered: bool) -> None:
        """Report an observation of a replica to its zone's placer, which informs other boxes."""
        permits = self._zone(record.zone).demand.permits
        permits.record_observation(record.instance, answered=answered)

    def _notify_limit(self, limit: LimitReport) -> None:
        """Report a replica's limit to the placer of its zone, as the limit applies to all boxes."""
        replica = self._directory.find(limit.instance)
        if replica is not None:
            self._zone(replica.record.zone).demand.record_limit(limit)

    def _notify_brittle(self, report: LimitReport) -> None:
        """Report what a brittle replica named to the placer of its zone."""
        replica = self._directory.find(report.instance)
        if replica is not None:
            self._zone(replica.record.zone).demand.record_brittle(report)

    def announce_reach(self) -> None:
        """Report at once to the placers that this box begins or ceases to reach replicas."""
        for zone in self._zones.values():
            zone.demand.changed.set()
            zone.demand.urgent.set()

    def announce_leaving(self, instance: str) -> None:
        """Report a leaving replica to the placers of all zones, which inform their boxes.

        The store may show only much later that the replica is leaving.
        """
        for zone in self._zones.values():
            zone.demand.record_leaving(instance)

    def counter(self, zone: str) -> ZonePlacement:
        """Return the counter of a zone: of its share of quotas and of its replicas' permits."""
        return self._zone(zone)

    @property
    def home_boxes(self) -> int:
        """The most boxes of the home zone that its placers reported; 0 if unknown.

        A placer reports fewer while others are cut off, which still use their shares.
        """
        return self._box_count.most_home

    # Called by forwarding.

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""
        return self._residency.holds(replica, key)

    def record_missing(self, instance: str, key: AdapterKey) -> None:
        """Record that a replica itself said that it does not hold an adapter."""
        self._residency.record_missing(instance, key)

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""
        return self._versions.newest(key)

    def use(self, instance: str, key: AdapterKey) -> Use:
        """Start a use of a replica that no placer granted; the caller must end it."""
        replica = self._directory.find(instance)
        zone = self._settings.zone if replica is None else replica.record.zone
        return self._zone(zone).demand.use(instance, key)

    def find(self, adapter_request: AdapterRequest) -> Use | None:
        """Request a replica from zones' placers in turn until one answers; None if none does."""
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
        """Wait for a link to a placer if there is none; return whether one was made."""
        if self._has_reachable_zone:
            return False
        # The event may still be set while the loss of a link is being handled.
        self._placer_contact.clear()
        likely_until = min(until, self._unreachable_since + _RECONNECT_LIKELY_S)
        return self._placer_contact.wait(timeout=max(0.0, likely_until - monotonic()))

    @property
    def _has_reachable_zone(self) -> bool:
        return any(zone.reachable for zone in self._zones.values())

    # Choice of zones.

    def _zone_views(self, bounds: Bounds, routing_state: RoutingState) -> list[ZoneView]:
        """Return the current state of the zones with engines that a request may go to."""
        views = []
        for name, all_records in self._engines_by_zone().items():
            if zone_obstacle_of(name, bounds=bounds, routing_state=routing_state) is not None:
                continue
            records = [record for record in all_records if bounds.allow_software(record)]
            if not records:
                continue
            zone = self._zone(name)
            view = ZoneView(
                name=name,
                engines=len(records),
                can_load=any(record.models for record in records),
                reachable=zone.reachable,
                room=zone.room,
                distance=routing_state.topology.distance(name),
                pressure=zone.wait_estimate.pressure,
                wait_s=zone.wait_estimate.wait_s,
            )
            views.append(view)
        return views

    def _choose_zone(self, adapter_request: AdapterRequest, silent: set[str]) -> str | None:
        """Return the zone whose placer to ask; None if none can be reached."""
        routing_state = self._routing_state()
        holders = [
            replica
            for replica in self._residency.holders(adapter_request.key)
            if adapter_request.bounds.allow_software(replica.record)
        ]
        allowed = [
            replica
            for replica in holders
            if _may_serve(replica, adapter_request.bounds, routing_state)
        ]
        holding = {
            replica.record.zone
            for replica in allowed
            if replica.instance not in adapter_request.avoid
        } or {
            replica.record.zone
            for replica in allowed
            if replica.instance in adapter_request.failed_at
        }
        # Zones that hold the adapter only on replicas that may not or could not serve the request.
        excluded = {replica.record.zone for replica in holders} - holding
        prompt_bytes = estimate_request_bytes(sum(part.tokens for part in adapter_request.prompt))
        views = self._zone_views(adapter_request.bounds, routing_state)
        home = self._settings.zone
        loadable = {view.name for view in views} - routing_state.announced
        bound = adapter_request.bounds.software is not None
        if self._is_spread(adapter_request.key) and home in loadable and not bound:
            holding = {home}
        cached_in = {
            replica.record.zone
            for replica in self._residency.cache_holders(adapter_request.key)
            if _may_serve(replica, adapter_request.bounds, routing_state)
        }
        return choose_zone(
            adapter_request.key,
            views,
            prefer=holding,
            avoid=excluded,
            # A zone whose evacuation is announced still serves its adapters but loads no others.
            never=silent | (routing_state.announced - holding),
            cached_in=cached_in,
            home_advantage=self._settings.prices.price_in_loads(Distance.OWN_REGION, prompt_bytes),
        )

    def _request_copy(self, holder: str, key: AdapterKey, saves: int) -> None:
        """Ask for a copy of a far adapter in a zone near this box.

        The zone is chosen by a hash of the adapter, so that one zone of the region loads the copy
        rather than each of them.
        """
        routing_state = self._routing_state()
        distance = routing_state.topology.distance(holder)
        near = [
            view._replace(distance=Distance.OWN_REGION)
            for view in self._zone_views(ANYWHERE, routing_state)
            if view.distance < distance and view.name not in routing_state.announced
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
            zone = ZonePlacement(name, self._settings, self._dependencies)
            self._zones[name] = zone
            if not self._stopping:
                zone.start()
        return zone

    def _placer_links(self) -> dict[str, PlacerLink]:
        """Return the zones in the order in which they keep origins.

        It begins with the own zone and goes on by name, so that the zones share the work.
        """
        if not self._zones:
            self._join_plain_zones()
        home = self._settings.zone
        names = sorted(self._zones, key=lambda name: (name < home, name))
        return {name: self._zones[name] for name in names}

    def _links_of(self, name: str) -> BoxLinks | None:
        zone = self._zones.get(name)
        return zone.links if zone is not None and zone.accepts_links else None

    def _replica_changed(self, record: ReplicaRecord | None, instance: str) -> None:
        self._engines = None
        if record is not None and (record.models or self._warmup.slow_start(record.service)):
            self._zone(record.zone)

    def _join_plain_zones(self) -> None:
        """Join the zones of plain replicas, as there is no other placer to keep origins."""
        for replica in self._directory.all_replicas():
            if replica.record.software:
                self._zone(replica.record.zone)


def _may_serve(replica: Replica, bounds: Bounds, routing_state: RoutingState) -> bool:
    """Whether a request may go to a replica, permits aside: the zone's placer grants those."""
    return (
        obstacle_of(replica.record, bounds=bounds, routing_state=routing_state, permitted=True)
        is None
    )
