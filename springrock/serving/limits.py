"""Request limits per workload over all boxes, without a central counter.

Each box applies a share of a workload's limit: its own demand divided by the demand of all boxes
that have reported theirs. Without reports the shares are equal.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.coordination.catalog import Catalog, Workload
from springrock.coordination.link import Link
from springrock.coordination.members import Members
from springrock.coordination.peers import Peers
from springrock.quotas.bucket import BucketLimits, TokenBucket
from springrock.wire import peer as wire

_REPORT_INTERVAL_S = 4.0
_DEMAND_VALID_S = 20.0
_DEMAND_WEIGHT = 0.5
_BURST_S = 1.0
_MIN_SHARE = 0.02


class WorkloadLimits:
    """The request limits that one box applies.

    Args:
        box: The name of this box.
        catalog: Returns the current catalog.
        members: The boxes that share the limits.
        peers: The links to the other boxes, over which the boxes exchange their demand.
    """

    def __init__(
        self,
        *,
        box: str,
        catalog: Callable[[], Catalog],
        members: Members,
        peers: Peers,
    ) -> None:
        self._box = box
        self._catalog = catalog
        self._members = members
        self._peers = peers
        self._buckets: dict[str, TokenBucket] = {}
        self._counts: dict[str, int] = {}
        self._demand: dict[str, float] = {}
        self._received: dict[str, tuple[float, dict[str, float]]] = {}
        self._task: gevent.Greenlet[..., Any] | None = None
        peers.handle(wire.Demand, self._on_demand)

    def start(self) -> None:
        """Start reporting this box's demand to the peers."""
        self._task = gevent.spawn(self._report_loop)

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.kill()

    def admit(self, name: str) -> float:
        """Count a request of a workload; return 0 if admitted, else the seconds to retry after."""
        workload = self._catalog().workload(name)
        if workload is None or not workload.requests_per_s:
            return 0.0
        self._counts[name] = self._counts.get(name, 0) + 1
        rate = workload.requests_per_s * self.share_of(workload)
        limits = BucketLimits(rate, max(1.0, rate * _BURST_S))
        now = monotonic()
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = TokenBucket(limits, now=now, level=limits.depth)
        bucket.change(limits, now=now)
        return bucket.take(1.0, now=now)

    def share_of(self, workload: Workload) -> float:
        """Return this box's share of a workload's limit."""
        boxes = max(1, len(self._members.live()))
        oldest_valid_at = monotonic() - _DEMAND_VALID_S
        received = [demand for at, demand in self._received.values() if at > oldest_valid_at]
        own_demand = self._demand.get(workload.name, 0.0)
        total = own_demand + sum(demand.get(workload.name, 0.0) for demand in received)
        if total <= 0 or not received:
            return 1.0 / boxes
        return min(1.0, max(_MIN_SHARE / boxes, own_demand / total))

    def _report_loop(self) -> None:
        while True:
            gevent.sleep(_REPORT_INTERVAL_S)
            self._update_demand()
            if self._demand:
                names = sorted(self._demand)
                rates = [round(self._demand[name], 2) for name in names]
                self._peers.broadcast(wire.Demand(names, rates))

    def _update_demand(self) -> None:
        counts, self._counts = self._counts, {}
        for name in set(counts) | set(self._demand):
            rate = counts.get(name, 0) / _REPORT_INTERVAL_S
            previous = self._demand.get(name, rate)
            smoothed = previous + _DEMAND_WEIGHT * (rate - previous)
            if smoothed < 0.01:
                self._demand.pop(name, None)
            else:
                self._demand[name] = smoothed

    def _on_demand(self, link: Link, demand: wire.Demand) -> None:
        rates = dict(zip(demand.workloads, demand.requests_per_s, strict=False))
        self._received[link.box] = (monotonic(), rates)
