"""Evacuations of availability zones by an operator, in two phases: announced, then cut.

While an evacuation is announced, the adapters that are loaded in the zone still serve requests, but
new loads go to other zones. After the cut, the replicas of the zone get no requests.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

import gevent

from springrock.clock import monotonic
from springrock.log import Log
from springrock.topology import Topology

_ANNOUNCED_FRACTION = 0.4
"""The longest time between announcement and cut, as a fraction of the bound `within_s`. It
starts when this box learned of the evacuation. Some tens of adapters can be loaded elsewhere in two
seconds. The rest of the bound allows for boxes that learn of the evacuation late."""

_CUT_FRACTION = 0.8
"""The latest time of the cut, as a fraction of the bound. It is measured from the last moment at
which the evacuation was certainly not acknowledged yet. The rest of the bound allows for requests
that are sent just before the cut, and for one TCP retransmission."""

DEFAULT_WITHIN_S = 5.0
"""The default bound, from the acknowledgement of an evacuation to the last request to the zone."""


class _Evacuation(NamedTuple):
    """An evacuation that has not ended.

    Attributes:
        learned_at: When this box learned of the evacuation, on the local monotonic clock.
        cut_at: When requests to the zone stop, on the local monotonic clock.
    """

    learned_at: float
    cut_at: float


class Evacuations:
    """The evacuated zones, as far as this box knows them.

    Args:
        topology: The zones of the deployment.
        within_s: Returns the bound: for how many seconds after the operator's request was
            acknowledged an evacuated zone may still get requests.
        staleness_s: Returns an upper limit for the seconds since the change that is being applied
            was acknowledged. Called while a change is applied.
        log: The log to write to.

    Attributes:
        on_change: Called with a zone and whether it is evacuated, when an evacuation begins or
            ends.
        on_cut: Called with a zone at its cut.
    """

    def __init__(
        self,
        topology: Topology,
        *,
        within_s: Callable[[], float] = lambda: DEFAULT_WITHIN_S,
        staleness_s: Callable[[], float] = lambda: float("inf"),
        log: Log,
    ) -> None:
        self._topology = topology
        self._within_s = within_s
        self._staleness_s = staleness_s
        self._log = log
        self._evacuations: dict[str, _Evacuation] = {}
        self._ended_at: dict[str, float] = {}
        self.on_change: list[Callable[[str, bool], None]] = []
        self.on_cut: list[Callable[[str], None]] = []

    @property
    def announced(self) -> frozenset[str]:
        """All evacuated zones, before and after the cut. They get no new loads."""
        return frozenset(self._evacuations)

    @property
    def cut_zones(self) -> frozenset[str]:
        """The evacuated zones after their cut, which get no requests."""
        if not self._evacuations:
            return frozenset()
        now = monotonic()
        return frozenset(zone for zone, item in self._evacuations.items() if item.cut_at <= now)

    def learned_at(self, zone: str) -> float | None:
        """Return when this box learned that a zone is evacuated, on the local monotonic clock.

        Returns:
            None if the zone is not evacuated.
        """
        evacuation = self._evacuations.get(zone)
        return None if evacuation is None else evacuation.learned_at

    def cut_in_s(self, zone: str) -> float | None:
        """Return the seconds until the cut of a zone; None if the zone is not evacuated."""
        evacuation = self._evacuations.get(zone)
        return None if evacuation is None else max(0.0, evacuation.cut_at - monotonic())

    def ended_at(self, zone: str) -> float | None:
        """Return when the last evacuation of a zone ended, on the local monotonic clock.

        Returns:
            None if no evacuation of the zone has ended.
        """
        return self._ended_at.get(zone)

    def replace(self, zones: Collection[str]) -> None:
        """Replace the evacuated zones; evacuations of all other zones end.

        A zone that is new to this box is cut at once, as it may have been evacuated long ago.
        """
        for zone in sorted(self._evacuations.keys() - set(zones)):
            self.end(zone)
        for zone in sorted(zones):
            self._begin(zone, age_s=float("inf"))

    def begin(self, zone: str) -> None:
        """Begin the evacuation of a zone after a change of its row, unless it has begun already."""
        self._begin(zone, age_s=self._staleness_s())

    def end(self, zone: str) -> None:
        """End the evacuation of a zone."""
        evacuation = self._evacuations.pop(zone, None)
        if evacuation is None:
            return
        now = monotonic()
        self._ended_at[zone] = now
        self._log.info(
            "A zone is no longer evacuated.",
            zone=zone,
            after_s=round(now - evacuation.learned_at, 3),
        )
        self._notify(zone, False)

    def _begin(self, zone: str, *, age_s: float) -> None:
        """Evacuate a zone.

        Args:
            zone: The zone; unknown zones are ignored.
            age_s: An upper limit for the seconds since the evacuation was acknowledged.
        """
        if zone in self._evacuations:
            return
        if not self._topology.knows(zone):
            self._log.info("Ignored the evacuation of an unknown zone.", zone=zone)
            return
        now = monotonic()
        announced_s = max(0.0, self._announced_s(age_s))
        evacuation = self._evacuations[zone] = _Evacuation(now, now + announced_s)
        self._log.info(
            "A zone is evacuated.",
            zone=zone,
            acknowledged_ms_ago_at_most=None if age_s == float("inf") else round(age_s * 1000),
            cut_in_ms=round(announced_s * 1000),
        )
        self._notify(zone, True)
        if announced_s:
            gevent.spawn(self._cut_when_due, zone, evacuation)
        else:
            self._cut(zone)

    def _announced_s(self, age_s: float) -> float:
        """Return the seconds between announcement and cut; 0 or less to cut at once."""
        within_s = self._within_s()
        return min(_ANNOUNCED_FRACTION * within_s, _CUT_FRACTION * within_s - age_s)

    def _cut_when_due(self, zone: str, evacuation: _Evacuation) -> None:
        # The sleep may end slightly before `cut_at` by the monotonic clock.
        while (left_s := evacuation.cut_at - monotonic()) > 0:
            gevent.sleep(left_s)
            if self._evacuations.get(zone) is not evacuation:
                return
        self._cut(zone)

    def _cut(self, zone: str) -> None:
        self._log.info("Nothing more is sent to a zone.", zone=zone)
        for listener in self.on_cut:
            listener(zone)

    def _notify(self, zone: str, evacuated: bool) -> None:
        for listener in self.on_change:
            listener(zone, evacuated)
