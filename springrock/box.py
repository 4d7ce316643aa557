"""An entry box: creates, starts and stops all components of its process."""

from __future__ import annotations

import gevent
from gevent.event import Event

from springrock.clock import Deadline
from springrock.coordination.catalog import Catalog
from springrock.coordination.claims import Claims
from springrock.coordination.feed import Feed
from springrock.coordination.link import Link
from springrock.coordination.listing import LeavingList
from springrock.coordination.members import Members
from springrock.coordination.ownership import Ownership, Upstream
from springrock.coordination.peers import Peers
from springrock.coordination.permits import HeldPermitBook
from springrock.coordination.relayed import RelayedPlatform
from springrock.coordination.session import Session
from springrock.coordination.standalone import Standalone
from springrock.coordination.steward import Steward
from springrock.drivers.engine import EngineDriver
from springrock.intake import Intake
from springrock.kernel import Part, load_plugins
from springrock.log import Journal, Log
from springrock.metrics import Metrics
from springrock.open_requests import OpenRequests
from springrock.plugins import doors, platforms
from springrock.policies import routings
from springrock.serving.admission import Admission
from springrock.serving.limits import WorkloadLimits
from springrock.serving.owner import Owner
from springrock.serving.relay import Relay
from springrock.serving.router import Router
from springrock.serving.services import Services
from springrock.serving.view import RoutingView
from springrock.settings import BoxSettings
from springrock.wire import peer as wire


class Box:
    """One entry box.

    Args:
        settings: The settings of the box.

    Attributes:
        refusing: Whether new requests are refused because the box is about to exit.
        stopping: Whether a planned stop has begun.
        stopped: Set once every component has stopped.
    """

    def __init__(self, settings: BoxSettings) -> None:
        load_plugins()
        self.settings = settings
        self.name = settings.box.name
        self.zone = settings.box.availability_zone
        self.journal = Journal()
        self.metrics = Metrics()
        self.open_requests = OpenRequests(self.metrics)
        self.intake = Intake(settings.intake.limits)
        self.refusing = False
        self.stopping = False
        self.stopped = Event()
        self._log = self.log("box")
        self._build_coordination()
        self._build_serving()
        self.doors: dict[str, Part] = {name: make(self) for name, make in doors}

    def log(self, part: str) -> Log:
        """Return a log whose lines have this prefix."""
        return Log(part, self.name, self.journal)

    @property
    def catalog(self) -> Catalog:
        """The configuration in force on this box."""
        return self.feed.catalog

    @property
    def serving(self) -> bool:
        """Whether this box serves requests, as its configuration is up to date."""
        return self.feed.is_current

    def not_ready_reason(self) -> str:
        """Return why the balancer should send no requests here; empty if the box is ready."""
        if self.stopping:
            return "stopping"
        if not self.feed.loaded:
            return "no configuration yet"
        if not self.feed.is_current:
            return "a newer configuration exists but is not loaded yet"
        return ""

    # Construction.

    def _build_coordination(self) -> None:
        settings = self.settings
        direct = platforms.get(settings.platform.driver)(settings.platform)
        self.platform = RelayedPlatform(
            direct,
            zone=self.zone,
            metrics=self.metrics,
            on_failure=lambda: self.members.record_outage(),
        )
        self.members = Members(
            self.platform,
            settings.lease,
            zone=self.zone,
            is_scan_urgent=self._needs_fast_scan,
            log=self.log("members"),
        )
        self.peers = Peers(
            settings.peers,
            hello=self._hello,
            members=self.members,
            log=self.log("peers"),
            metrics=self.metrics,
        )
        self.platform.use_peers(self.peers)
        self.peers.handle(wire.StatusQuery, lambda _, query: self.status(query.number))
        self.peers.handle(wire.StopBox, self._handle_stop)
        self.peers.on_link.append(self._scan_for_unknown)
        self.peers.on_lost.append(lambda _: self.members.check_soon())
        self.session = Session(
            self.platform,
            settings.lease,
            box=self.name,
            zone=self.zone,
            log=self.log("session"),
            on_lost=lambda: self.ownership.stop_owning_all(),
        )
        self.held = HeldPermitBook()
        self.standalone = Standalone(
            self.session,
            self.peers,
            self.held,
            table_unreachable_after_s=settings.lease.lapse_after_s / 2,
            zone=self.zone,
            owned=lambda: self.ownership.owned,
            log=self.log("standalone"),
        )
        self.metrics.lease_held.set_function(lambda: float(self.standalone.may_act()))
        self.feed = Feed(
            self.platform,
            settings.configuration,
            box=self.name,
            zone=self.zone,
            members=self.members,
            peers=self.peers,
            log=self.log("configuration"),
            metrics=self.metrics,
            on_change=lambda: self.owner.update_drains(),
        )
        self.listing = LeavingList(
            self.platform,
            poll_s=settings.platform.list_poll_s,
            log=self.log("list"),
            on_change=lambda leaving: self.owner.record_leaving(leaving),
        )
        self.claims = Claims(self.platform, box=self.name)
        self.steward = Steward(
            box=self.name,
            zone=self.zone,
            loads_per_s=settings.policy.loads_per_s,
            members=self.members,
            peers=self.peers,
            log=self.log("steward"),
        )

    def _build_serving(self) -> None:
        settings = self.settings
        self.view = RoutingView(box=self.name, zone=self.zone, pools=settings.pools)
        self.view.is_out_of_service = self.out_of_service
        self.owner = Owner(
            box=self.name,
            policy=settings.policy,
            may_act=self.standalone.may_act,
            members=self.members,
            peers=self.peers,
            held=self.held,
            steward=self.steward,
            view=self.view,
            catalog=lambda: self.catalog,
            log=self.log("owner"),
            metrics=self.metrics,
        )
        self.ownership = Ownership(
            self.session,
            self.members,
            self.peers,
            platform=self.platform,
            upstreams=self._own_zone_upstreams(),
            lease=settings.lease,
            listener=self.owner,
            log=self.log("ownership"),
        )
        self.router = Router(
            box=self.name,
            view=self.view,
            owner=self.owner,
            peers=self.peers,
            held=self.held,
            routing=routings.get(settings.policy.routing),
            log=self.log("router"),
        )
        self._drivers = {
            upstream.name: EngineDriver(upstream)
            for pool in settings.pools
            if pool.driver == "engine"
            for upstream in pool.replicas
        }
        self.relay = Relay(
            router=self.router,
            claims=self.claims,
            driver_for=self._drivers.__getitem__,
            log=self.log("relay"),
            metrics=self.metrics,
        )
        self.limits = WorkloadLimits(
            box=self.name, catalog=lambda: self.catalog, members=self.members, peers=self.peers
        )
        self.admission = Admission(catalog=lambda: self.catalog, view=self.view, limits=self.limits)
        self.services = Services(
            zone=self.zone,
            pools=settings.pools,
            claims=self.claims,
            out_of_service=self.out_of_service,
            log=self.log("services"),
        )

    def _own_zone_upstreams(self) -> list[Upstream]:
        return [
            Upstream(replica, pool)
            for pool in self.settings.pools
            if pool.driver == "engine"
            for replica in pool.replicas
            if replica.availability_zone == self.zone
        ]

    def _scan_for_unknown(self, link: Link) -> None:
        if self.members.find_incarnation(link.incarnation) is None:
            self.members.check_soon(all_zones=True)

    def _needs_fast_scan(self) -> bool:
        """Whether to scan the zone's rows often: a known box is not linked, or ownership is new."""
        linked = {link.box for link in self.peers.links(self.zone)} | {self.name}
        known = {member.box for member in self.members.all() if member.zone == self.zone}
        return not known <= linked or not self.ownership.is_stable

    def _hello(self) -> wire.Hello:
        return wire.Hello(
            self.name, self.zone, self.session.incarnation, self.feed.catalog.revision
        )

    def status(self, number: int = 0) -> wire.Status:
        """Return the status of this box.

        Args:
            number: The number of the status query that is answered.
        """
        return wire.Status(
            number=number,
            box=self.name,
            zone=self.zone,
            revision=self.catalog.revision,
            ready=not self.not_ready_reason(),
            open_requests=self.open_requests.count,
            lease_held=self.session.held,
            owned=sorted(self.ownership.owned),
        )

    def _handle_stop(self, _: Link, request: wire.StopBox) -> wire.Status:
        self._log.info("An operator stops this box.", who=request.who)
        gevent.spawn(self.stop)
        return self.status(request.number)

    def out_of_service(self, replica: str) -> bool:
        """Whether a replica must be sent no new requests."""
        return replica in self.listing.leaving or self.catalog.drained(replica)

    # Start and stop.

    def start(self) -> None:
        """Start every component and return."""
        self._log.info("Start.", zone=self.zone)
        self.peers.start()
        self.session.start(peer_address=self.peers.address)
        for part in self._parts():
            part.start()
        for door in self.doors.values():
            door.start()

    def _parts(self) -> list[Part]:
        return [
            self.members,
            self.feed,
            self.listing,
            self.standalone,
            self.claims,
            self.limits,
            self.owner,
            self.ownership,
        ]

    def stop(self) -> None:
        """Perform a planned stop: hand over replicas, finish open requests, then end."""
        if self.stopping:
            return
        self.stopping = True
        deadline = Deadline(self.settings.box.stop_within_s)
        self._log.info("Planned stop begins.", open_requests=self.open_requests.count)
        self.session.announce_stopping()
        self.ownership.hand_over_all()
        gevent.sleep(self.settings.box.stop_notice_s)
        self.refusing = True
        is_idle = self.open_requests.wait_until_idle(deadline)
        self._log.info("Planned stop ends.", all_finished=is_idle)
        self._stop_components()

    def kill(self) -> None:
        """Stop at once without a handover, as in a crash; for deployments in one process."""
        self.stopping = True
        self._stop_components()

    def _stop_components(self) -> None:
        for door in self.doors.values():
            door.stop()
        for part in reversed(self._parts()):
            part.stop()
        self.session.stop()
        self.peers.stop()
        self.stopped.set()
