"""What is known beside the replicas, for tests: by default nothing that stands in the way."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.eligibility import RoutingState
from springrock.forwarding.notices import ReplicaNotices
from springrock.log import Log
from springrock.permits.named_limits import NamedLimits
from springrock.permits.warmup import WarmupTracker
from springrock.quarantine.book import CrashBook
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms
from springrock.topology import Topology


def make_warmup(configuration: Callable[[], Configuration] = Configuration) -> WarmupTracker:
    """Return what a box knows that always reads the newest rows, and of no evacuation."""
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
    """Return the routing state as seen from a zone."""
    topology = Topology(home=home, zones=tuple(regions or ()), regions=regions or {})
    gone = frozenset((*evacuated, *announced))
    return RoutingState(topology, frozenset(evacuated), is_cold, gone, is_limited)


def make_limits() -> NamedLimits:
    """Return the limits that replicas have named: none yet."""
    return NamedLimits(Log("permits", "box-1"))


def make_notices(
    directory: Directory | None = None, limits: NamedLimits | None = None
) -> ReplicaNotices:
    """Return what takes the notices in answers, on a directory of its own if none is given."""
    log = Log("directory", "box-1")
    return ReplicaNotices(directory or Directory(log), limits=limits or make_limits(), log=log)


class NoReports:
    """Implements `springrock.quarantine.crash_detector.Publisher`; keeps what was published."""

    def __init__(self) -> None:
        self.published: list[CrashReport] = []

    def publish(self, key: str, report: CrashReport) -> None:
        self.published.append(report)


def make_crash_detector(
    book: CrashBook | None = None, reports: NoReports | None = None
) -> CrashDetector:
    """Return a witness of crashes, on a book of its own if none is given."""
    return CrashDetector(
        box="box-1",
        book=book or CrashBook(terms=QuarantineTerms, log=Log("quarantine", "box-1")),
        reports=reports or NoReports(),
        log=Log("quarantine", "box-1"),
    )
