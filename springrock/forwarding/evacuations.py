"""The availability zones that an operator has evacuated: announced first, then cut.

While an evacuation is announced what stands in the zone still serves, and what is newly brought is
brought elsewhere. From the cut on the zone's replicas get nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

import gevent

from springrock.clock import monotonic
from springrock.log import Log
from springrock.topology import Topology

_ANNOUNCED_PART = 0.4
"""Of the bound: so long an evacuation is announced at most, from when this box learnt of it. Some
tens of adapters come in two seconds; the rest is for news that is late."""

_CUT_PART = 0.8
"""Of the bound, counted from the last moment at which the evacuation was surely not acknowledged
yet: what is left is for requests sent just before, and for one repetition of a lost segment."""

DEFAULT_WITHIN_S = 5.0


class _Evacuation(NamedTuple):
    """An evacuation that was not taken back.

    Attributes:
        learned_at: When this box learnt of it, on the local monotonic clock.
        cut_at: From when on nothing is sent to the zone.
    """

    learned_at: float
    cut_at: float


class Evacuations:
    """The zones that are evacuated now, as this box knows.

    Args:
        topology: The zones that there are.
        within_s: Returns how long after its acknowledgement an evacuated zone may get requests.
        staleness_s: Returns, while news is handed on, the seconds since a moment at which what the
            news tells had surely not been acknowledged yet.
        log: The log to write to.

    Attributes:
        on_change: Called with each zone that is newly evacuated, or taken back.
        on_cut: Called with each zone that newly gets nothing any more.
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
        self._standing: dict[str, _Evacuation] = {}
        self._ended_at: dict[str, float] = {}
        self.on_change: list[Callable[[str, bool], None]] = []
        self.on_cut: list[Callable[[str], None]] = []

    @property
    def announced(self) -> frozenset[str]:
        """The zones that are evacuated, or are about to be: nothing new is brought there."""
        return frozenset(self._standing)

    @property
    def zones(self) -> frozenset[str]:
        """The zones that get nothing now."""
        if not self._standing:
            return frozenset()
        now = monotonic()
        return frozenset(zone for zone, item in self._standing.items() if item.cut_at <= now)

    def learned_at(self, zone: str) -> float | None:
        """Return when this box learnt that a zone is evacuated; None if it is not."""
        existing = self._standing.get(zone)
        return None if existing is None else existing.learned_at

    def cut_in_s(self, zone: str) -> float | None:
        """Return in how many seconds a zone gets nothing any more; None if it is not evacuated."""
        existing = self._standing.get(zone)
        return None if existing is None else max(0.0, existing.cut_at - monotonic())

    def ended_at(self, zone: str) -> float | None:
        """Return when a zone was taken back, on the local monotonic clock; None if never."""
        return self._ended_at.get(zone)

    def replace(self, zones: Collection[str]) -> None:
        """Take all zones that are evacuated; whatever else was is taken back.

        It is not known for how long they have been: those that are new here are cut at once.
        """
        for zone in sorted(self._standing.keys() - set(zones)):
            self.end(zone)
        for zone in sorted(zones):
            self._begin(zone, age_s=float("inf"))

    def begin(self, zone: str) -> None:
        """Learn as news that a zone is evacuated; one that is evacuated stays so."""
        self._begin(zone, age_s=self._staleness_s())

    def end(self, zone: str) -> None:
        """Take a zone back."""
        existing = self._standing.pop(zone, None)
        if existing is None:
            return
        now = monotonic()
        self._ended_at[zone] = now
        self._log.say(
            "A zone is taken back.", zone=zone, after_s=round(now - existing.learned_at, 3)
        )
        self._notify(zone, False)

    def _begin(self, zone: str, *, age_s: float) -> None:
        """Evacuate a zone.

        Args:
            zone: The zone; one that is none is passed over.
            age_s: How long ago at most the evacuation was acknowledged.
        """
        if zone in self._standing:
            return
        if not self._topology.knows(zone):
            self._log.say("Passed over the evacuation of an unknown zone.", zone=zone)
            return
        now = monotonic()
        announced_s = max(0.0, self._announced_s(age_s))
        existing = self._standing[zone] = _Evacuation(now, now + announced_s)
        self._log.say(
            "A zone is evacuated.",
            zone=zone,
            acknowledged_ms_ago_at_most=None if age_s == float("inf") else round(age_s * 1000),
            cut_in_ms=round(announced_s * 1000),
        )
        self._notify(zone, True)
        if announced_s:
            gevent.spawn(self._cut_in_time, zone, existing)
        else:
            self._cut(zone)

    def _announced_s(self, age_s: float) -> float:
        """Return for how long an evacuation may be announced; 0 or less if not at all."""
        within_s = self._within_s()
        return min(_ANNOUNCED_PART * within_s, _CUT_PART * within_s - age_s)

    def _cut_in_time(self, zone: str, existing: _Evacuation) -> None:
        # A timer may end a little early by the clock that everybody compares with.
        while (left_s := existing.cut_at - monotonic()) > 0:
            gevent.sleep(left_s)
            if self._standing.get(zone) is not existing:
                return
        self._cut(zone)

    def _cut(self, zone: str) -> None:
        self._log.say("Nothing more is sent to a zone.", zone=zone)
        for listener in self.on_cut:
            listener(zone)

    def _notify(self, zone: str, evacuated: bool) -> None:
        for listener in self.on_change:
            listener(zone, evacuated)
