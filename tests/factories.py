"""Factories for test objects; by default they put no restriction on requests."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.eligibility import RoutingState
from springrock.forwarding.notices import ReplicaNotices
from springrock.forwarding.passed_on import PassedOnRequests
from springrock.log import Log
from springrock.permits.brittle import BrittleReplicas
from springrock.permits.named_limits import NamedLimits
from springrock.permits.warmup import WarmupTracker
from springrock.platform.dialect import PlatformDialect
from springrock.quarantine.book import CrashBook
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms
from springrock.topology import Topology


def make_warmup(configuration: Callable[[], Configuration] = Configuration) -> WarmupTracker:
    """Return a warm-up tracker with always up-to-date rows and no evacuations."""
    return WarmupTracker(
        configuration=configuration,
        rows_as_of=monotonic,
        ended_at=lambda zone: None,
        log=Log("slow_start", "box-1"),
    )


def make_routing_state(
    home: str = "zone-1",
    *,
    regions: dict[str, str] | None = None,
    evacuated: tuple[str, ...] = (),
    announced: tuple[str, ...] = (),
    is_cold: Callable[[ReplicaRecord], bool] = lambda record: False,
    is_limited: Callable[[ReplicaRecord], bool] = lambda record: False,
) -> RoutingState:
    """Return the routing state as seen from a zone.

    Args:
        home: The zone.
        regions: The region of each zone.
        evacuated: Zones after the cut of their evacuation.
        announced: Zones whose evacuation is announced.
        is_cold: Whether a replica is cold.
        is_limited: Whether a replica names a limit.
    """
    topology = Topology(home=home, zones=tuple(regions or ()), regions=regions or {})
    leaving = frozenset((*evacuated, *announced))
    return RoutingState(topology, frozenset(evacuated), is_cold, leaving, is_limited)


def make_limits() -> NamedLimits:
    """Return an empty record of the limits that replicas name."""
    return NamedLimits(Log("permits", "box-1"))


def make_brittle(directory: Directory | None = None) -> BrittleReplicas:
    """Return the record of brittle replicas, none of which is known to be brittle."""
    return BrittleReplicas(
        make_limits(), directory=directory or Directory(Log("directory", "box-1"))
    )


def make_notices(
    directory: Directory | None = None, limits: NamedLimits | None = None
) -> ReplicaNotices:
    """Return a handler of notices, on new directory and limits unless given."""
    log = Log("directory", "box-1")
    return ReplicaNotices(
        directory or Directory(log), limits=limits or make_limits(), brittle=make_limits(), log=log
    )


def make_reach(*services: str) -> BoxReach:
    """Return the reach of a box that reaches replicas of all services."""
    return BoxReach(lambda: services, Log("reach", "box-1"))


class RecordingPublisher:
    """Implements `springrock.quarantine.crash_detector.Publisher`; records what is published."""

    def __init__(self) -> None:
        self.published: list[CrashReport] = []

    def publish(self, key: str, report: CrashReport) -> None:
        self.published.append(report)


def make_crash_detector(
    book: CrashBook | None = None,
    reports: RecordingPublisher | None = None,
    is_out_of_reach: Callable[[str], bool] = lambda address: False,
) -> CrashDetector:
    """Return a crash detector, with a new crash book and publisher unless given."""
    return CrashDetector(
        box="box-1",
        book=book or CrashBook(terms=QuarantineTerms, log=Log("quarantine", "box-1")),
        reports=reports or RecordingPublisher(),
        log=Log("quarantine", "box-1"),
        is_out_of_reach=is_out_of_reach,
    )


def make_passed_on(
    *,
    adapter_version: int = 0,
    refresh: Callable[[], None] = lambda: None,
) -> PassedOnRequests:
    """Return the check of requests that were passed on, which knows one version of all adapters."""
    return PassedOnRequests(
        newest_adapter=lambda key: adapter_version,
        dialect=PlatformDialect(),
        refresh=refresh,
        log=Log("forwarder", "box-1"),
    )
