"""Metrics and log lines on the progress of evacuations and the requests still running there."""

from __future__ import annotations

import gevent

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory
from springrock.forwarding.evacuations import Evacuations
from springrock.log import Log
from springrock.metrics import ForwardingMetrics

_COUNT_INTERVAL_S = 0.25
"""The interval between counts of the requests that still run in an evacuated zone."""


class EvacuationWatch:
    """Reports each evacuation from its announcement until the zone runs no more requests.

    Args:
        evacuations: The evacuated zones.
        directory: The known replicas, with the number of running requests of each.
        metrics: The metrics to set.
        log: The log to write to.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        *,
        directory: Directory,
        metrics: ForwardingMetrics,
        log: Log,
    ) -> None:
        self._evacuations = evacuations
        self._directory = directory
        self._metrics = metrics
        self._log = log
        evacuations.on_change.append(self._handle_change)

    def add_metrics(self, zone: str) -> None:
        """Add the metrics of a zone, whether it is evacuated or not."""
        self._metrics.zone_evacuated.labels(zone).set_function(lambda: self._is_evacuated(zone))
        self._metrics.zone_evacuated_seconds.labels(zone).set_function(lambda: self._age_s(zone))
        running = self._metrics.evacuated_running.labels(zone)
        running.set_function(lambda: float(self._count_running(zone)))

    def _handle_change(self, zone: str, evacuated: bool) -> None:
        self.add_metrics(zone)
        if evacuated:
            gevent.spawn(self._watch_evacuation, zone, self._evacuations.learned_at(zone))

    def _watch_evacuation(self, zone: str, learned_at: float | None) -> None:
        """Log each change in the number of running requests after the cut, until it is 0."""
        while left_s := self._evacuations.cut_in_s(zone):
            gevent.sleep(left_s)
        last_count: int | None = None
        while self._evacuations.learned_at(zone) == learned_at:
            running = self._count_running(zone)
            if running != last_count:
                self._log.info("Requests still run in an evacuated zone.", zone=zone, count=running)
            last_count = running
            if not running:
                self._log.info("An evacuation is done.", zone=zone, after_s=self._age_s(zone))
                return
            gevent.sleep(_COUNT_INTERVAL_S)

    def _count_running(self, zone: str) -> int:
        """Return how many requests of this box run in an evacuated zone; 0 for other zones."""
        if self._evacuations.learned_at(zone) is None:
            return 0
        return sum(replica.running for replica in self._directory.in_zone(zone))

    def _is_evacuated(self, zone: str) -> float:
        return float(self._evacuations.learned_at(zone) is not None)

    def _age_s(self, zone: str) -> float:
        learned_at = self._evacuations.learned_at(zone)
        return 0.0 if learned_at is None else round(monotonic() - learned_at, 3)
