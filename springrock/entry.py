"""A box that forwards routed requests on the users' platform: creates and connects its parts."""

from __future__ import annotations

import random

import gevent
from gevent.event import Event

from springrock.clock import Deadline, monotonic
from springrock.counted_store import CountedStore
from springrock.entry_settings import EntrySettings
from springrock.eras import number_of
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.budget import RetryBudget, RetryDecision
from springrock.forwarding.choosing import ReplicaChooser
from springrock.forwarding.configuration import Configuration, RouteTable
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Directory, Replica, ReplicaRecord
from springrock.forwarding.door import ForwardingDoor
from springrock.forwarding.eligibility import RoutingState
from springrock.forwarding.evacuation_watch import EvacuationWatch
from springrock.forwarding.evacuations import Evacuations
from springrock.forwarding.forwarder import Forwarder
from springrock.forwarding.keys import KeyGate
from springrock.forwarding.notices import ReplicaNotices
from springrock.forwarding.pages import MetricsPage, ReadinessPage
from springrock.forwarding.passed_on import PassedOnRequests
from springrock.forwarding.passing_on import PassingOn
from springrock.forwarding.planned_stop import PlannedStop
from springrock.forwarding.reach_probe import ReachProbe
from springrock.forwarding.retry_limits import OwnRetryLimits, RetryTerms
from springrock.forwarding.run_times import RunTimes
from springrock.forwarding.sending import Sender
from springrock.forwarding.software_history import SoftwareHistory
from springrock.forwarding.stream_origins import OriginBook, StreamOrigins
from springrock.forwarding.streaming import StreamRelay
from springrock.forwarding.work_probe import WorkProbe
from springrock.intake import Intake
from springrock.kept_rows import operator_row_retention, own_row_retention, replica_retention
from springrock.log import Condition, Log
from springrock.loop_watch import LoopWatch
from springrock.metrics import ForwardingMetrics
from springrock.permits.brittle import BrittleReplicas, RefusalShares
from springrock.permits.named_limits import NamedLimits
from springrock.permits.own_shares import OwnShares
from springrock.permits.permits import Permits
from springrock.permits.warmup import WarmupTracker
from springrock.placement.control import ControlUnanswered, EngineControl
from springrock.placement.messages import Hello, KnownState
from springrock.placement.placement import Placement
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import KEY_PREFIX as PLACERS_PREFIX
from springrock.placement.placer_row import TABLE as PLACERS_TABLE
from springrock.placement.residency import Versions
from springrock.placement.settings import PlacementSettings
from springrock.placement.state_fetcher import StateFetcher, fetch_state
from springrock.placement.state_provider import StateProvider
from springrock.platform import names
from springrock.platform.dialect import PlatformDialect
from springrock.platform.engine import PlatformEngines
from springrock.platform.store import PlatformStore
from springrock.platform.tables import OperatorTable, ReplicaTable
from springrock.quarantine.quarantine import Quarantine
from springrock.quarantine.report import KEY_PREFIX as CRASHES_PREFIX
from springrock.quotas.charging import QuotaCharger
from springrock.quotas.shares import QuotaTerms
from springrock.rows import ListenersByPrefix, TableReading
from springrock.store_clock import StoreClock
from springrock.table_follower import POLL_WAIT_S, TableFollower

_IDLE_PERIOD_S = 0.3
"""A stopping box ends once no request has been open for this long."""

_END_MARGIN_S = 0.5
"""A stopping box ends by itself this long before the platform would kill it."""

_READ_MARGIN_S = 1.5
"""A request that is not read whole this long before the end of a stop is refused."""

_CONFIGURATION_PAUSE_S = 0.1
_CONFIGURATION_POLLS_PER_TRUST_PERIOD = 5
"""How many polls fit into the period for which keys are trusted.

A box that reads the store itself last confirmed its keys at most two polls ago. With this many
polls it still trusts them after one lost answer and its retry."""

_REPLICAS_PAUSE_S = 0.8
"""Pause between reads of the replicas' table.

Replicas write several times a second, as their adapters change. This box needs only the changes of
whether a replica is leaving, and a delay of this length is acceptable for those."""

_REFRESH_TIMEOUT_S = 0.3
"""How long a request waits for the store when the replicas' table has to be up to date."""

_PLACERS_PAUSE_S = 0.5
"""Pause between reads of the placers' table.

The leases of all zones are renewed several times a second. A box that receives no readings from
other boxes only waits for a renewal in its own zone."""

_LOAD_RATE_SLACK = 2.9
"""Base model loads allowed in a window beyond the configured rate: a little under the platform's
limit of three."""


class EntryBox:
    """One box that forwards routed requests.

    Args:
        settings: The settings of the box.

    Attributes:
        stopped: Set once every part has stopped.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.metrics = ForwardingMetrics()
        self.stopped = Event()
        self._stopping = False
        self._log = self._log_of("box")
        self._run_times = RunTimes()
        self._intake = Intake(
            settings.intake.limits,
            on_evicted=self.metrics.intake_evicted.inc,
            on_refused=self.metrics.intake_refused.inc,
            crowded=Condition(
                self._log_of("intake"),
                begins="There are too many connections.",
                ends="There is room for connections again.",
            ),
        )
        self.metrics.intake_bytes.set_function(lambda: float(self._intake.held_bytes))
        self.metrics.intake_connections.set_function(lambda: float(self._intake.connections))
        self._planned_stop = PlannedStop(self._run_times)
        self._loop_watch = LoopWatch(
            self._log_of("loop"), observe=self.metrics.loop_late_seconds.observe
        )
        self._routes = RouteTable(Configuration())
        self._is_unreadable = False
        self._store_era: int | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._retry_limits = OwnRetryLimits(
            self._retry_terms, boxes=lambda known_for_s: self._placement.sharing_boxes(known_for_s)
        )
        self.directory = Directory(
            self._log_of("directory"), rows_origin=lambda: self._replica_table.origin
        )
        self._versions = Versions()
        self._topology = settings.box.topology
        self._evacuations = Evacuations(
            self._topology,
            within_s=lambda: self.settings.evacuation.within_s,
            staleness_s=lambda: self._operator_table.staleness_s,
            log=self._log_of("evacuations"),
        )
        self._reach = BoxReach(
            self.directory.services,
            self._log_of("reach"),
            engine_services=lambda: self._routes.configuration.engine_services,
            on_change=lambda: self._placement.announce_reach(),
        )
        self._reach_probe = ReachProbe(self._reach, self.directory)
        self._warmup = WarmupTracker(
            configuration=lambda: self._routes.configuration,
            rows_as_of=lambda: monotonic() - self._replica_table.staleness_s,
            ended_at=self._evacuations.ended_at,
            log=self._log_of("slow_start"),
        )
        self.directory.on_change.append(self._warmup.apply_record)
        self._software_history = SoftwareHistory(
            age_s=lambda: self._replica_table.age_s, first_start=settings.start.first
        )
        self.directory.on_change.append(self._software_history.apply_record)
        self._own_origins = OriginBook()
        self._store_clock = StoreClock()
        self._limits = NamedLimits(self._log_of("permits"))
        self._brittle = BrittleReplicas(
            NamedLimits(self._log_of("permits"), kind="brittle"), directory=self.directory
        )
        self._store = CountedStore(
            PlatformStore(settings.store.address, on_era=self._record_era),
            calls=self.metrics.store_calls,
        )
        self._build_followers()
        self._build_serving()

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests to this box."""
        has_tables = self._routes.configuration.version > 0 and self.directory.count > 0
        # The placers' table also lists the requests that crash replicas. A box that has not read
        # it would forward them.
        is_serving = not self._stopping and not self._door.faults.failing
        return has_tables and self._board.known and is_serving

    def start(self) -> None:
        """Start every part and return."""
        box = self.settings.box
        self._log.info("Start.", zone=box.availability_zone)
        self._loop_watch.start()
        for follower in self._followers:
            follower.start()
        self._state_fetch_task = gevent.spawn(self._state_fetcher.run)
        self._placement.start()
        self._quarantine.start()
        self._reach_probe.start()
        self._door.start()
        self._readiness.start()
        self._metrics_page.start()

    def stop(self) -> None:
        """Perform a planned stop: refuse new clients, finish open requests, then end."""
        if self._stopping:
            return
        self._stopping = True
        self._door.closing = True
        deadline = Deadline(self.settings.stop.within_s - _END_MARGIN_S)
        self._log.info("Planned stop begins.", open_requests=self._door.open_requests)
        self._planned_stop.begin(ends_at=deadline.at)
        self._placement.begin_stop(ends_at=deadline.at, needs_placer=self._may_serve)
        self._door.end_reading(at=deadline.at - _READ_MARGIN_S)
        gevent.sleep(self.settings.stop.notice_s)
        self._door.refusing = True
        while not deadline.passed and not self._wait_idle():
            continue
        self._log.info("Planned stop ends.", open_requests=self._door.open_requests)
        self._stop_parts()

    def reload(self, settings: EntrySettings) -> None:
        """Apply changed settings; changed addresses take effect only after a restart."""
        self._log.info("Reload.")
        self.settings = settings
        self._intake.limits = settings.intake.limits

    def _may_serve(self) -> bool:
        """Whether requests are open or may still come in."""
        return not self._door.refusing or self._door.open_requests > 0

    def _wait_idle(self) -> bool:
        """Wait for a short time; return whether no request was open at its start and its end."""
        if self._door.open_requests:
            gevent.sleep(_IDLE_PERIOD_S / 3)
            return False
        gevent.sleep(_IDLE_PERIOD_S)
        return not self._door.open_requests

    def _stop_parts(self) -> None:
        self._door.stop()
        self._readiness.stop()
        self._metrics_page.stop()
        self._state_fetch_task.kill()
        self._loop_watch.stop()
        self._placement.stop()
        self._quarantine.stop()
        self._reach_probe.stop()
        for follower in self._followers:
            follower.stop()
        self.stopped.set()

    def _log_of(self, part: str) -> Log:
        return Log(part, self.settings.box.name)

    def _build_followers(self) -> None:
        operator = OperatorTable(
            on_configuration=self._apply_configuration,
            on_unreadable=self._record_unreadable,
            on_version=self._versions.record,
            evacuations=self._evacuations,
            log=self._log_of("configuration"),
        )
        replicas = ReplicaTable(
            self.directory,
            knows_zone=self._topology.knows,
            count_fault=lambda fault: self.metrics.malformed_replica_rows.labels(fault).inc(),
            log=self._log_of("directory"),
        )
        clock = self._store_clock
        self._board = PlacerBoard(age_s=lambda: placers.age_s, version=lambda: placers.version)
        self._quarantine = Quarantine(
            box=self.settings.box.name,
            store=self._store,
            table=PLACERS_TABLE,
            terms=lambda: self.settings.quarantine.terms,
            metrics=self.metrics,
            log=self._log_of("quarantine"),
        )
        placers = TableFollower(
            self._store,
            PLACERS_TABLE,
            ListenersByPrefix({PLACERS_PREFIX: self._board, CRASHES_PREFIX: self._quarantine.book}),
            pause_s=_PLACERS_PAUSE_S,
            clock=clock,
            skip_first_pause=True,
            retention_of=own_row_retention,
            log=self._log_of("placers"),
        )
        placers.on_lost = self._quarantine.write_again
        self._operator_table = TableFollower(
            self._store,
            names.OPERATOR_TABLE,
            operator,
            pause_s=_CONFIGURATION_PAUSE_S,
            poll_wait_s=self._configuration_poll_s,
            clock=clock,
            retention_of=operator_row_retention,
            log=self._log_of("configuration"),
        )
        self._replica_table = TableFollower(
            self._store,
            names.REPLICA_TABLE,
            replicas,
            pause_s=_REPLICAS_PAUSE_S,
            clock=clock,
            retention_of=replica_retention,
            log=self._log_of("directory"),
        )
        self._followers = [self._operator_table, self._replica_table, placers]
        table_labels = ("configuration", "replicas", "placers")
        for table, follower in zip(table_labels, self._followers, strict=True):
            self._add_table_metrics(table, follower)
        self.metrics.replicas.set_function(lambda: float(self.directory.count))
        self.metrics.cold_replicas.set_function(lambda: float(self._warmup.cold_count))
        self.metrics.limited_replicas.set_function(lambda: float(self._limits.count))
        self.metrics.brittle_replicas.set_function(lambda: float(self._brittle.words.count))

    def _add_table_metrics(self, table: str, follower: TableFollower) -> None:
        self.metrics.table_age_seconds.labels(table).set_function(lambda: follower.age_s)
        self.metrics.table_version.labels(table).set_function(
            lambda: float(number_of(follower.version))
        )

    def _record_era(self, reported: int | None) -> None:
        if reported is None or reported == self._store_era:
            return
        self._log_of("store").info(
            "The store is in another era.", era=reported, before=self._store_era
        )
        self._store_era = reported
        self.metrics.store_era.set(reported)

    def _build_serving(self) -> None:
        settings = self.settings
        dialect = PlatformDialect()
        self._notices = ReplicaNotices(
            self.directory,
            limits=self._limits,
            brittle=self._brittle.words,
            log=self._log_of("directory"),
            count=lambda notice: self.metrics.replica_notices.labels(notice).inc(),
        )
        self._placement = Placement(
            PlacementSettings(
                box=settings.box.name,
                zone=settings.box.availability_zone,
                address=settings.listen.boxes_address,
                lease_s=settings.placement.lease_s,
                checks_fence=settings.placement.checks_fence,
                ceiling_ratio=settings.placement.ceiling_ratio,
                ceiling_burst=_LOAD_RATE_SLACK,
                strength=settings.processor.strength,
                prices=settings.distance.prices,
                clients_address=settings.listen.clients_address,
            ),
            store=self._store,
            board=self._board,
            configuration=lambda: self._routes.configuration,
            directory=self.directory,
            versions=self._versions,
            routing_state=self._routing_state,
            control=PlatformEngines(
                notice_handler_for=self._notices.notice_handler,
                on_outcome=self._reach.record_control_call,
            ),
            quota_terms=self._quota_terms,
            slow_start_terms=lambda: self.settings.slow_start.terms,
            warmup=self._warmup,
            limits=self._limits,
            brittle=self._brittle,
            state_for=StateProvider(
                zones=settings.box.zones,
                followers=self._followers,
                board=self._board,
                directory=self.directory,
                log=self._log_of("state"),
            ).answer,
            cut_off=lambda: self._reach.cut_off,
            origins=self._own_origins,
            software_history=self._software_history,
            clock=self._store_clock,
            log_of=self._log_of,
            metrics=self.metrics,
        )
        self._state_fetcher = StateFetcher(
            [seed for seed in settings.start.seeds if seed != settings.listen.boxes_address],
            fetch=self._fetch_state,
            zones=settings.box.zones,
            followers=self._followers,
            board=self._board,
            directory=self.directory,
            log=self._log_of("state"),
        )
        self._notices.on_leaving.append(self._placement.announce_leaving)
        self._connect_readings()
        self._follow_evacuations()
        self.metrics.cut_off.set_function(lambda: float(self._reach.cut_off))
        self.metrics.boxes.set_function(lambda: float(self._placement.boxes))
        self.metrics.retry_allowance.set_function(lambda: self._retry_limits.current().allowance)
        gate = KeyGate(
            routes=lambda: self._routes,
            staleness_s=self._staleness_s,
            terms=lambda: self.settings.keys.terms,
        )
        balancer = Balancer(
            routing_state=self._routing_state, rng=random.Random(), costs=settings.distance.costs
        )
        permits = Permits(
            counter=self._placement.counter,
            on_unanswered=self.metrics.permits_unanswered.inc,
            is_cold=self._warmup.is_cold,
            limits=self._limits,
            shares=OwnShares(
                home_zone=settings.box.availability_zone,
                boxes=lambda: self._placement.home_boxes,
            ),
            refusal_shares=RefusalShares(
                home_zone=settings.box.availability_zone,
                boxes=lambda: self._placement.home_boxes,
            ),
            brittle=self._brittle.per_s,
        )
        chooser = ReplicaChooser(
            configuration=lambda: self._routes.configuration,
            directory=self.directory,
            balancer=balancer,
            adapters=self._placement,
            budget_of=self._budget_of,
            permits=permits,
            check_key=lambda progress: gate.check_again(
                progress.admission, progress.request.key_digest
            ),
            quarantine=self._quarantine.book,
            stop=self._planned_stop,
        )
        log = self._log_of("forwarder")
        probed = PlatformEngines(notice_handler_for=self._notices.notice_handler)
        limits = settings.answers.limits
        sender = Sender(
            dialect=dialect,
            adapters=self._placement,
            warmup=self._warmup,
            may_send=chooser.may_send,
            run_times=self._run_times,
            work_probe=WorkProbe(lambda replica: _answers_report(probed, replica)),
            byte_counters=CrossZoneBytes(self.metrics, self._topology),
            log=log,
            crash_detector=self._quarantine.crash_detector,
            notices=self._notices,
            reach=self._reach,
            is_brittle=self._brittle.is_brittle,
            record_use=permits.record_use,
            count_attempt=lambda outcome: self.metrics.attempts.labels(outcome).inc(),
        )
        origins = StreamOrigins(
            own=self._own_origins,
            history=self._software_history,
            refresh_replicas=lambda: self._replica_table.refresh(timeout_s=_REFRESH_TIMEOUT_S),
            other_boxes=self._placement.origins,
            log=log,
            count=lambda source: self.metrics.stream_origins.labels(source).inc(),
        )
        forwarder = Forwarder(
            routes=lambda: self._routes,
            gate=gate,
            charging=QuotaCharger(zones=self._quota_zones, counter=self._placement.counter),
            chooser=chooser,
            sender=sender,
            relay=StreamRelay(
                chooser=chooser,
                sender=sender,
                log=log,
                on_begun=origins.record_begun,
                limits=limits,
            ),
            origins=origins,
            passing_on=PassingOn(
                reach=self._reach,
                peers=self._placement.peer_boxes,
                dialect=dialect,
                log=log,
                limits=limits,
                stop=self._planned_stop,
            ),
            passed_on=PassedOnRequests(
                newest_adapter=self._versions.newest,
                dialect=dialect,
                refresh=self._operator_table.resume_reads,
                log=log,
            ),
            log=log,
            limits=limits,
            configuration_origin=lambda: self._operator_table.origin,
        )
        self._door = ForwardingDoor(
            settings.listen.clients_address,
            forwarder=forwarder,
            dialect=dialect,
            limits=lambda: self._routes.configuration.limits,
            log=self._log_of("door"),
            metrics=self.metrics,
            intake=self._intake,
        )
        self.metrics.open_requests.set_function(lambda: float(self._door.open_requests))
        self._readiness = ReadinessPage(
            settings.listen.readiness_address, names.READINESS_PATH, ready=lambda: self.ready
        )
        self._metrics_page = MetricsPage(settings.listen.metrics_address, self.metrics)

    def _fetch_state(self, seed: str) -> KnownState:
        box = self.settings.box
        hello = Hello(box.name, "", "", box.availability_zone, asks_state=True)
        return fetch_state(seed, hello)

    def _connect_readings(self) -> None:
        """Publish own table readings while this box is a placer; apply those of other boxes."""
        for follower in self._followers:
            follower.publishes = lambda: self._placement.publishes_readings
            follower.publisher = lambda reading, is_own: self._placement.publish_reading(
                reading, is_own=is_own
            )
        by_table = {follower.table: follower for follower in self._followers}

        def _apply_reading(reading: TableReading, relied_on: bool, source_zone: str) -> None:
            if reading.table in by_table:
                follower = by_table[reading.table]
                follower.apply_reading(reading, relied_on=relied_on, source_zone=source_zone)

        self._placement.on_reading = _apply_reading
        self._placement.on_reader_lost = lambda: by_table[PLACERS_TABLE].resume_reads()

    def _follow_evacuations(self) -> None:
        """Connect the evacuations to placement and to the metrics and log."""
        evacuation_watch = EvacuationWatch(
            self._evacuations,
            directory=self.directory,
            metrics=self.metrics,
            log=self._log_of("evacuations"),
        )
        for zone in self._topology.zones:
            evacuation_watch.add_metrics(zone)
        self._evacuations.on_change.append(self._placement.handovers.handle_change)
        self._evacuations.on_cut.append(self._placement.handovers.handle_cut)

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force unless it is older than the current one."""
        self._is_unreadable = False
        if configuration.version <= self._routes.configuration.version:
            return
        self._routes = RouteTable(configuration)
        self.metrics.configuration.set(configuration.version)
        self._log.info(
            "A configuration is in force.",
            version=configuration.version,
            routes=len(configuration.routes),
            teams=None if configuration.teams is None else len(configuration.teams),
            **self._operator_table.origin,
        )
        if any(team.limited for team in configuration.teams or ()) and not self._quota_zones():
            self._log.info("Teams have quotas, but the settings do not list the zones.")

    def _record_unreadable(self) -> None:
        """Record that the stored configuration cannot be read; it may revoke keys."""
        self._is_unreadable = True

    def _staleness_s(self) -> float:
        return float("inf") if self._is_unreadable else self._operator_table.staleness_s

    def _configuration_poll_s(self) -> float:
        """Return how long the store holds a poll of the configuration open for changes."""
        if self._routes.configuration.teams is None:
            return POLL_WAIT_S
        return min(
            POLL_WAIT_S, self.settings.keys.terms.trust_s / _CONFIGURATION_POLLS_PER_TRUST_PERIOD
        )

    def _routing_state(self) -> RoutingState:
        """Return the state that, together with the replicas, decides where requests may be sent."""
        evacuations = self._evacuations
        return RoutingState(
            self._topology,
            evacuations.cut_zones,
            self._warmup.is_cold,
            evacuations.announced,
            is_limited=self._is_limited,
        )

    def _is_limited(self, record: ReplicaRecord) -> bool:
        """Whether what a replica said bounds what all boxes together may send to it."""
        if self._limits.per_s(record.instance) is not None:
            return True
        return self._brittle.is_brittle(record)

    def _quota_zones(self) -> list[str]:
        """Return the zones that count the teams' quotas, the own zone first.

        Returns:
            Empty if the settings do not list this box's zone.
        """
        box = self.settings.box
        if box.availability_zone not in box.zones:
            return []
        return [box.availability_zone, *(z for z in box.zones if z != box.availability_zone)]

    def _quota_terms(self) -> QuotaTerms:
        quotas = self.settings.quotas
        zones = max(1, len(self.settings.box.zones))
        return QuotaTerms(quotas.window_s, quotas.overage, quotas.slack, zones)

    def _budget_of(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._retry_limits.current,
                on_decision=lambda decision: self._record_retry_decision(service, decision),
            )
            self._budgets[service] = budget
        return budget

    def _record_retry_decision(self, service: str, decision: RetryDecision) -> None:
        outcome = "allowed" if decision.allowed else "refused"
        self.metrics.retries.labels(service, outcome).inc()
        self._log_of("retries").info(
            "Allowed a retry." if decision.allowed else "Refused a retry.",
            request=decision.request,
            service=service,
            requests=decision.requests,
            retries=decision.retries,
            allowance=round(decision.allowance, 2),
            boxes=self._placement.sharing_boxes(0.0),
        )

    def _retry_terms(self) -> RetryTerms:
        retries = self.settings.retries
        return RetryTerms(retries.ratio, retries.allowance, retries.window_s, retries.boxes)


def _answers_report(engines: EngineControl, replica: Replica) -> bool:
    """Whether a model replica answers a call that takes it no time."""
    try:
        engines.report(replica.record.address, instance=replica.record.replica_id)
    except ControlUnanswered:
        return False
    return True
