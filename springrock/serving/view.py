"""The routing view: the newest report on every replica, which may be out of date."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from springrock.clock import monotonic
from springrock.ids import rendezvous_score
from springrock.policies import Candidate
from springrock.settings import PoolSection, UpstreamSection
from springrock.wire import peer as wire

_SCORE_RANGE = float(2**64)
_UNREACHABLE_OWNER_PAUSE_S = 2.0
_REPORT_VALID_S = 95.0
_NO_ROOM_LOAD_FACTOR = 20.0
"""Multiplies the load time at a replica that may not unload anything at the moment."""


class RoutingView:
    """The last reported state of every replica of the deployment.

    Attributes:
        is_out_of_service: Returns whether a replica is leaving or drained.

    Args:
        box: The name of this box.
        zone: The availability zone of this box.
        pools: All pools.
    """

    def __init__(self, *, box: str, zone: str, pools: list[PoolSection]) -> None:
        self._box = box
        self._zone = zone
        self._reports: dict[str, wire.ReplicaReport] = {}
        self._seen_at: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}
        self._sent_since_report: Counter[str] = Counter()
        self._pools = {pool.name: pool for pool in pools}
        self._upstreams: dict[str, tuple[UpstreamSection, PoolSection]] = {
            replica.name: (replica, pool) for pool in pools for replica in pool.replicas
        }
        self.is_out_of_service: Callable[[str], bool] = lambda _: False

    def apply(self, report: wire.ReplicaReport) -> None:
        """Store a report, unless a report of a newer owner is stored."""
        known = self._reports.get(report.replica)
        if known is not None and known.fence > report.fence:
            return
        self._reports[report.replica] = report
        self._sent_since_report[report.replica] = 0
        self._seen_at[report.replica] = monotonic()

    def report(self, replica: str) -> wire.ReplicaReport | None:
        """Return the newest report on a replica."""
        return self._reports.get(replica)

    def record_sent(self, replica: str) -> None:
        """Count a request sent to a replica since its newest report."""
        self._sent_since_report[replica] += 1

    def avoid(self, replica: str) -> None:
        """Exclude a replica briefly, after its owner could not be reached."""
        self._avoid_until[replica] = monotonic() + _UNREACHABLE_OWNER_PAUSE_S

    def upstream(self, replica: str) -> UpstreamSection:
        """Return a replica's settings."""
        return self._upstreams[replica][0]

    def pool_for_model(self, base: str) -> PoolSection | None:
        """Return the pool that serves a base model."""
        pools = self._pools.values()
        return next(
            (pool for pool in pools if pool.driver == "engine" and pool.base_model == base), None
        )

    def candidates(self, pool: PoolSection, adapter: str) -> list[Candidate]:
        """Return the replicas of a pool that can serve a request now."""
        now = monotonic()
        found: list[Candidate] = []
        for upstream in pool.replicas:
            report = self._reports.get(upstream.name)
            if report is None or not report.accepting or self.is_out_of_service(upstream.name):
                continue
            if self._avoid_until.get(upstream.name, 0.0) > now:
                continue
            if now - self._seen_at[upstream.name] > _REPORT_VALID_S:
                continue
            found.append(self._candidate(upstream, pool, report, adapter))
        return found

    def _candidate(
        self, upstream: UpstreamSection, pool: PoolSection, report: wire.ReplicaReport, adapter: str
    ) -> Candidate:
        load_s = report.load_ms / 1000
        if report.room < 0:
            load_s *= _NO_ROOM_LOAD_FACTOR
        return Candidate(
            replica=upstream.name,
            owned_here=report.owner == self._box,
            same_zone=upstream.availability_zone == self._zone,
            ready=not adapter or adapter in report.ready,
            expected=adapter in report.expected,
            free_slots=max(0, report.room),
            running=report.running + self._sent_since_report[upstream.name],
            waiting=report.waiting,
            running_limit=pool.running_limit,
            load_s=load_s,
            service_s=report.service_ms / 1000,
            affinity=rendezvous_score(adapter, upstream.name) / _SCORE_RANGE,
        )
