"""What operators see of evacuations: how far each zone is, and what of this box runs there."""

from __future__ import annotations

import gevent

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory
from springrock.forwarding.evacuations import Evacuations
from springrock.log import Log
from springrock.metrics import ForwardingMetrics

_LOOK_S = 0.25
"""How often is looked how many requests still run in an evacuated zone."""


class EvacuationWatch:
    """Shows and logs each evacuation, from its announcement until nothing runs there any more.

    Args:
        evacuations: The evacuated zones.
        directory: The known replicas, with what runs at each.
        metrics: The metrics to show it in.
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

    def show(self, zone: str) -> None:
        """Show a zone in the metrics, evacuated or not."""
        self._metrics.zone_evacuated.labels(zone).set_function(lambda: self._is_evacuated(zone))
        self._metrics.zone_evacuated_seconds.labels(zone).set_function(lambda: self._age_s(zone))
        running = self._metrics.evacuated_running.labels(zone)
        running.set_function(lambda: float(self._running(zone)))

    def _handle_change(self, zone: str, evacuated: bool) -> None:
        self.show(zone)
        if evacuated:
            gevent.spawn(self._watch, zone, self._evacuations.learned_at(zone))

    def _watch(self, zone: str, learned_at: float | None) -> None:
        """Log each change of what still runs in a zone after its cut, until nothing does."""
        while left_s := self._evacuations.cut_in_s(zone):
            gevent.sleep(left_s)
        reported: int | None = None
        while self._evacuations.learned_at(zone) == learned_at:
            running = self._running(zone)
            if running != reported:
                self._log.say("Requests still run in an evacuated zone.", zone=zone, count=running)
            reported = running
            if not running:
                self._log.say("An evacuation is done.", zone=zone, after_s=self._age_s(zone))
                return
            gevent.sleep(_LOOK_S)

    def _running(self, zone: str) -> int:
        """Return how many requests of this box run in a zone that is evacuated; 0 in any other."""
        if self._evacuations.learned_at(zone) is None:
            return 0
        return sum(replica.running for replica in self._directory.in_zone(zone))

    def _is_evacuated(self, zone: str) -> float:
        return float(self._evacuations.learned_at(zone) is not None)

    def _age_s(self, zone: str) -> float:
        learned_at = self._evacuations.learned_at(zone)
        return 0.0 if learned_at is None else round(monotonic() - learned_at, 3)
