"""One box's part in the placement of one zone: it is the zone's placer or linked to the placer."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Any

import gevent
import msgspec

from springrock.eras import era_of, number_of, peer_version
from springrock.forwarding.directory import LeavingSource
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.stream_origins import Origin
from springrock.metrics import BytesKind
from springrock.permits.counter import HomeBoxes, PermitCounter
from springrock.permits.messages import PermitAsk, Permitted, PermitUse, PermitVerdict
from springrock.permits.permit_book import PermitsUnheard
from springrock.placement.demand import DemandBook
from springrock.placement.election import Election
from springrock.placement.handover_messages import Handover
from springrock.placement.lease import PlacerLease
from springrock.placement.link_client import PlacerClient
from springrock.placement.link_server import BoxLinks
from springrock.placement.messages import (
    Demand,
    Forecast,
    Grant,
    Heartbeat,
    Message,
    OriginFound,
    Residents,
    TableNews,
    WriteFor,
)
from springrock.placement.origin_questions import OriginQuestions
from springrock.placement.placer import Placer
from springrock.placement.placer_row import key_of
from springrock.placement.relayed_writes import RelayedWrites, write_for
from springrock.placement.residents_publisher import ResidentsPublisher, is_far
from springrock.placement.settings import PlacementSettings
from springrock.placement.succession import Successor
from springrock.placement.wait_estimate import WaitEstimate
from springrock.placement.zone_dependencies import ZoneDependencies
from springrock.quotas.charge_book import CounterSilent
from springrock.quotas.messages import Charged, Verdict
from springrock.quotas.quota_counter import QuotaCounter
from springrock.topology import Distance

_FLUSH_TIMEOUT_S = 0.2
"""How long a stopping placer keeps its links open to send its last messages."""

_RESIDENTS_INTERVAL_S = 0.05
_RESIDENTS_FRAMES_PER_S = 150
"""The interval and the highest rate of reports on the engines' adapters, by which boxes choose a
zone. The rate counts the reports to all boxes together, so that with many boxes each gets fewer."""


_MAX_REACHING = 3
"""Boxes that a heartbeat names as reaching replicas: enough to spread requests, and few bytes."""


class ZonePlacement:
    """Takes part in the election of a zone's placer, and links to the placer or acts as it.

    Args:
        zone: The availability zone.
        settings: The settings of placement.
        dependencies: The objects that the zones of this box share.

    Attributes:
        demand: This box's requests for engines of the zone, and its uses of them.
        prefetch: The adapters to prefetch into the zone while this box is its placer.
        links: The boxes linked to this one as the zone's placer.
        room: How many more adapters the engines could load, by the placer's last heartbeat.
        spread: The adapters, as MODEL/NAME, that each zone should serve itself, by the last
            heartbeat.
        wait_estimate: The expected waits of one more adapter and request, by the last heartbeat.
    """

    def __init__(
        self, zone: str, settings: PlacementSettings, dependencies: ZoneDependencies
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._directory = dependencies.directory
        self._residency = dependencies.residency
        self._incarnation = dependencies.incarnation
        self._metrics = dependencies.metrics
        self._warmup = dependencies.warmup
        self._limits = dependencies.limits
        self._brittle = dependencies.brittle.words
        self._on_table_news = dependencies.on_table_news
        self._on_handover = dependencies.on_handover
        self._on_placer_contact = dependencies.on_placer_contact
        self._on_placer_lost = dependencies.on_placer_lost
        self._on_copy_worthwhile = dependencies.on_copy_worthwhile
        self._board = dependencies.board
        self.demand = DemandBook(
            has_placer=lambda: self.reachable,
            leaving=dependencies.directory.leaving,
            limits=lambda: dependencies.limits.reports_for(self._instances()),
            brittle=lambda: self._brittle.reports_for(self._instances()),
            cut_off=dependencies.cut_off,
        )
        self.room = 0
        self._box_count = dependencies.box_count
        self._peer_boxes = dependencies.peer_boxes
        self._cut_off = dependencies.cut_off
        self._origins = dependencies.origins
        self._placer_keeps_origins = False
        self.spread: frozenset[str] = frozenset()
        self.wait_estimate = WaitEstimate()
        self._store = dependencies.store
        self._topology = dependencies.routing_state().topology
        self.links = BoxLinks(
            self,
            log=dependencies.log_of("link"),
            count_sent_to=self._byte_counter_for,
            is_far=lambda home_zone: is_far(self._topology, zone, home_zone),
            count_unknown=dependencies.metrics.count_unknown_message,
        )
        self._relayed_writes = RelayedWrites(helpers=self.links.sample_boxes, send=self._send)
        self._lease = PlacerLease(
            dependencies.store,
            zone=zone,
            box=settings.box,
            address=settings.address,
            incarnation=dependencies.incarnation,
            lease_s=settings.lease_s,
            checks_fence=settings.checks_fence,
            rows=dependencies.board,
            relay=self._relayed_writes,
            software=dependencies.origins.report,
            log=dependencies.log_of("lease"),
        )
        self._permits = PermitCounter(
            zone,
            configuration=dependencies.configuration,
            terms=dependencies.slow_start_terms,
            limits=dependencies.limits,
            lease_left_s=lambda: self._lease.left_s,
            continues_without_lease=lambda: self._lease.may_order,
            answer=self._send,
            on_counted=dependencies.metrics.count_permit,
            log=dependencies.log_of("permits"),
            brittle=dependencies.brittle.per_s,
            home_boxes=self._count_home_boxes,
        )
        self._placer = Placer(
            zone,
            configuration=dependencies.configuration,
            directory=dependencies.directory,
            versions=dependencies.versions,
            routing_state=dependencies.routing_state,
            control=dependencies.control,
            lease=self._lease,
            permits=self._permits,
            box=settings.box,
            ceiling_ratio=settings.ceiling_ratio,
            ceiling_burst=settings.ceiling_burst,
            send=self._send,
            log=dependencies.log_of("placer"),
            metrics=dependencies.metrics,
            prices=settings.prices,
            home_zone_of=self._home_zone_of,
        )
        self.prefetch = self._placer.prefetch
        self._client = PlacerClient(
            settings.box,
            home_zone=settings.zone,
            zone=zone,
            strength=settings.strength,
            address=settings.address if settings.checks_fence else "",
            process=dependencies.incarnation if settings.checks_fence else "",
            clients_address=settings.clients_address,
            demand=self.demand,
            on_message=self.handle,
            on_lost=self._handle_placer_lost,
            log=dependencies.log_of("link"),
            count_sent=self._byte_counter_for(zone),
            count_unknown=dependencies.metrics.count_unknown_message,
        )
        self._election = Election(
            zone,
            settings=settings,
            lease=self._lease,
            board=dependencies.board,
            client=self._client,
            links=self.links,
            incarnation=dependencies.incarnation,
            role=self,
            cut_off=dependencies.cut_off,
        )
        self._quota_counter = QuotaCounter(
            zone,
            configuration=dependencies.configuration,
            terms=dependencies.quota_terms,
            lease_left_s=lambda: self._lease.left_s,
            answer=self._send,
            on_counted=dependencies.metrics.count_charge,
            log=dependencies.log_of("quotas"),
        )
        self._tasks: list[gevent.Greenlet[..., Any]] = []
        self._under_lease: list[gevent.Greenlet[..., Any]] = []

    def start(self) -> None:
        """Start taking part in the election."""
        self._tasks.append(gevent.spawn(self._election.run))

    def begin_stop(self, *, ends_at: float, needs_placer: Callable[[], bool]) -> None:
        """Hand the placer role over to another box before this one stops."""
        self.demand.begin_stop(ends_at=ends_at)
        self._election.stop(needs_placer=needs_placer)

    def stop(self) -> None:
        """Stop all tasks and close all links."""
        self._election.end()
        for task in self._tasks:
            task.kill()
        self._placer.stop()
        self._client.close()
        self.links.close_all()

    @property
    def reachable(self) -> bool:
        """Whether this box's demand reaches a placer."""
        return self._client.linked or self._placer.active

    @property
    def placing(self) -> bool:
        """Whether this box is the placer now."""
        return self._placer.active and self._lease.may_order

    @property
    def accepts_links(self) -> bool:
        """Whether boxes may link to this one: it is the placer, or is taking over from one."""
        is_taking_over = self._lease.held and not self._lease.confirmed
        return self._placer.active and (is_taking_over or self._lease.may_order)

    def send_handover(self, boxes: Collection[str]) -> None:
        """Send boxes the adapters requested in the zone."""
        handover = self._placer.handover()
        for box in boxes:
            self._send(box, handover)

    # Messages of linked boxes.

    def first_messages(self) -> list[Message]:
        """Return the messages for a newly linked box; the first of them accepts the link."""
        return [self._heartbeat(), self._placer.residents_snapshot()]

    def apply_demand(self, box: str, demand: Demand) -> None:
        """Apply a box's update of its requests for engines and its uses of them."""
        if demand.charges or demand.refunds:
            self._quota_counter.answer(box, demand.charges, demand.refunds)
        if demand.permit_uses:
            self._permits.record_uses(box, demand.permit_uses)
        if demand.permits:
            self._permits.answer(box, demand.permits)
        for observation in demand.observations:
            self._warmup.apply_observation(observation.instance, answered=observation.answered)
        for instance in demand.leaving:
            self._directory.record_leaving(instance, LeavingSource.BOX)
        for report in demand.limits:
            self._limits.apply_limit_report(report)
        for begun in demand.begun:
            self._origins.keep(begun, zone=self._zone)
        for question in demand.origin_questions:
            self._send(box, self._origins.answer(question))
        for report in demand.brittle:
            self._brittle.apply_limit_report(report)
        for written in demand.written:
            self._relayed_writes.record_written(written)
        self._placer.apply_demand(box, demand)

    def record_silent(self, box: str) -> None:
        """Record that a box fell silent; its requests may run on."""
        self._placer.record_silent(box)

    def forget_box(self, box: str) -> None:
        """Drop a box's requests for engines and its uses of them."""
        self._quota_counter.forget_box(box)
        self._placer.forget_box(box)

    # Quotas and permits for this box's requests, counted by the zone's placer.

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        """Charge a request to its team's quota at the zone's placer.

        Raises:
            CounterSilent: If no answer comes.
        """
        if not self.reachable:
            raise CounterSilent()
        return self.demand.charges.charge(team, units, request=request)

    def refund(self, number: int) -> None:
        """Refund the charge of a request that did not run."""
        self.demand.charges.refund(number)

    def permit(self, adapter_request: PermitAsk) -> tuple[PermitVerdict, float]:
        """Ask the zone's placer whether a request may be sent to a cold or limited replica.

        Raises:
            PermitsUnheard: If no answer comes.
        """
        if not self.reachable:
            raise PermitsUnheard()
        return self.demand.permits.ask(adapter_request)

    def record_permit_use(self, use: PermitUse) -> None:
        """Report to the zone's placer what became of a request to a brittle replica."""
        if self.reachable:
            self.demand.permits.record_use(use)

    # Messages of the placer.

    def _byte_counter_for(self, zone: str) -> Callable[[float], None]:
        distance = self._topology.distance(zone) if zone else Distance.OWN_ZONE
        return self._metrics.cross_zone_byte_counter(BytesKind.LINKS, distance)

    @property
    def _linked_home_boxes(self) -> int:
        return self.links.count_of(self._zone) + (self._settings.zone == self._zone)

    def _count_home_boxes(self) -> HomeBoxes:
        """Return the boxes of the zone; none are known if this box is in another one."""
        if self._settings.zone != self._zone:
            return HomeBoxes()
        return HomeBoxes(self._box_count.most_home, self._linked_home_boxes)

    def _home_zone_of(self, box: str) -> str | None:
        own = self._settings
        return own.zone if box == own.box else self.links.home_zone(box)

    def _heartbeat(self) -> Heartbeat:
        wait_estimate = self._placer.wait_estimate()
        return Heartbeat(
            row_version=number_of(self._lease.version),
            row_era=era_of(self._lease.version),
            lease_left_ms=round(self._lease.left_s * 1000),
            room=self._placer.room(),
            boxes=self.links.count + 1,
            spread=self._placer.spread_adapters(),
            leaving=self._directory.leaving(),
            suspected=self._warmup.suspected(self._zone),
            pressure=round(100 * wait_estimate.pressure),
            wait_ms=round(1000 * wait_estimate.wait_s),
            limits=self._limits.in_force(self._instances()),
            home_boxes=self._linked_home_boxes,
            reaching=tuple(self._reaching_boxes()),
            keeps_origins=True,
            brittle=self._brittle.in_force(self._instances()),
        )

    def _reaching_boxes(self) -> list[str]:
        """Return addresses of some boxes that reach replicas, this one included."""
        addresses = self.links.sample_reaching(_MAX_REACHING)
        if not self._cut_off() and self._settings.clients_address:
            addresses.append(self._settings.clients_address)
        return addresses

    def _instances(self) -> list[str]:
        return [replica.instance for replica in self._directory.in_zone(self._zone)]

    def publish_table(self, updates: TableNews, *, also: Collection[str] = ()) -> None:
        """Send a reading of the store to the boxes of the zone, and to those in `also`."""
        self.links.broadcast(updates, home_zone=self._zone, also=also)

    @property
    def notifies_home_zone(self) -> bool:
        """Whether boxes of the zone rely on this one's readings of the store."""
        return self.placing and self.links.has_linked_box(self._zone, for_s=0.0)

    def _send(self, box: str, message: Message) -> None:
        if box == self._settings.box:
            self.handle(message)
        else:
            self.links.notify(box, message)

    def handle(self, message: Message) -> None:
        """Handle a message of the placer."""
        match message:
            case Grant():
                self._handle_grant(message)
            case Forecast(model=model, adapter=adapter):
                key, ready_in_s = AdapterKey(model, adapter), message.ready_in_ms / 1000
                self.demand.record_forecast(key, ready_in_s, elsewhere=message.elsewhere)
            case Residents(engines=engines):
                for engine in engines:
                    self._residency.record_reported(engine.instance, engine.adapters)
            case WriteFor():
                gevent.spawn(self._write_for, message)
            case Charged():
                self.demand.charges.record_charged(message)
            case Handover():
                self._on_handover(self._zone, message)
            case Permitted():
                self.demand.permits.record_permitted(message)
            case OriginFound():
                self.questions.record_found(message)
            case TableNews():
                self._on_table_news(self._zone, message)
            case Heartbeat():
                if message.successor is not None:
                    self._handle_successor(message.successor)
                self._lease.record_heartbeat(
                    peer_version(message.row_era, message.row_version), message.lease_left_ms / 1000
                )
                self._record_heartbeat(message)

    def _handle_successor(self, successor: Successor) -> None:
        self._board.record_successor(key_of(self._zone), successor)
        if successor.incarnation == self._incarnation:
            self._election.adopt(successor)

    def _handle_grant(self, grant: Grant) -> None:
        key = self.demand.record_grant(grant.number, grant.instance, permitted=grant.permitted)
        if grant.saves and key is not None:
            self._on_copy_worthwhile(self._zone, key, grant.saves)

    def _write_for(self, asked: WriteFor) -> None:
        self.demand.record_written(write_for(self._store, asked))

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.room = heartbeat.room
        self.spread = frozenset(heartbeat.spread)
        self.wait_estimate = WaitEstimate(heartbeat.pressure / 100, heartbeat.wait_ms / 1000)
        for instance in heartbeat.leaving:
            self._directory.record_leaving(instance, LeavingSource.BOX)
        self._warmup.apply_suspected(self._zone, heartbeat.suspected)
        self._limits.apply_placer_limits(self._zone, heartbeat.limits)
        self._brittle.apply_placer_limits(self._zone, heartbeat.brittle)
        # A placer with an earlier build sends only the number of all boxes.
        is_home = self._zone == self._settings.zone
        self._placer_keeps_origins = heartbeat.keeps_origins
        self._peer_boxes.record(self._zone, heartbeat.reaching)
        home_boxes = heartbeat.home_boxes or heartbeat.boxes
        self._box_count.record(heartbeat.boxes, home=home_boxes if is_home else 0)
        self._on_placer_contact()

    # Implementation of `PlacerLink`.

    @property
    def placer(self) -> str:
        """The address of the zone's placer while this box is linked to it; else empty."""
        return self._client.placer

    @property
    def questions(self) -> OriginQuestions:
        """This box's questions for origins of streams at the placer."""
        return self.demand.origin_questions

    @property
    def keeps_origins(self) -> bool:
        """Whether the zone's placer is reached, is another box, and keeps origins of streams."""
        return self._client.linked and self._placer_keeps_origins

    def tell(self, origins: Iterable[tuple[str, Origin]]) -> None:
        """Tell the placer the origins of streams."""
        self.demand.record_begun(origins)

    def _handle_placer_lost(self) -> None:
        self._placer_keeps_origins = False
        self._origins.forget_placer(self._zone)
        self.spread = frozenset()
        self._residency.forget_reported(self._zone)
        self.demand.forget_placer()
        self._on_placer_lost(self._zone)

    def _publish_residents_loop(self) -> None:
        updates = ResidentsPublisher(self.links)
        while True:
            gevent.sleep(max(_RESIDENTS_INTERVAL_S, self.links.count / _RESIDENTS_FRAMES_PER_S))
            changed = self._placer.drain_changed()
            updates.notify(changed)
            if changed is not None:
                self.handle(changed)

    def _apply_own_demand_loop(self) -> None:
        """Pass this box's demand to its own placer, without a link."""
        box = self._settings.box
        self.apply_demand(box, self.demand.full_demand())
        while True:
            self.demand.wait_for_updates()
            self.apply_demand(box, self.demand.drain_updates())

    # While this box places.

    def begin_placing(self) -> None:
        """Start placing after the lease was acquired."""
        self._quota_counter.reset()
        self._permits.reset()
        self._placer.start()
        self._under_lease = [
            gevent.spawn(self._apply_own_demand_loop),
            gevent.spawn(self._publish_residents_loop),
        ]
        self._metrics.placer.labels(self._zone).set(1)

    def end_placing(self) -> None:
        """Stop placing after the lease was lost."""
        for task in self._under_lease:
            task.kill()
        self._placer.stop()
        self._metrics.placer.labels(self._zone).set(0)
        self.links.close_all()
        self._handle_placer_lost()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all linked boxes, and handle it in this one."""
        heartbeat = self._heartbeat()
        self._record_heartbeat(heartbeat)
        self.links.broadcast(heartbeat)

    def send_successor(self, successor: Successor) -> None:
        """Announce to all linked boxes which box takes over from this one."""
        self._board.record_successor(key_of(self._zone), successor)
        heartbeat = msgspec.structs.replace(
            self._heartbeat(),
            row_version=successor.version,
            row_era=successor.era,
            successor=successor,
        )
        self.links.broadcast(heartbeat)
        self.links.flush(within_s=_FLUSH_TIMEOUT_S)
