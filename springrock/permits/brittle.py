"""Which replicas are brittle, and what this box may send to them while no placer counts."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.permits.messages import PermitUse
from springrock.permits.named_limits import NamedLimits
from springrock.permits.refusals import RefusalWindows, uncounted_places

_SERVICE_WORD_VALID_S = 0.1
"""How long what a service's replicas have said is kept, as it is asked for with every candidate."""


class _ServiceWord(NamedTuple):
    """What the most brittle replica of a service named, as of a time."""

    per_s: float | None
    at: float


class BrittleReplicas:
    """How many requests each replica may turn away in a second, if it is brittle.

    The replicas of a service are brittle together. One that has not answered yet, such as one that
    has just restarted, is taken for as brittle as the most brittle other replica of its service.

    Args:
        words: What replicas have said, by incarnation.
        directory: The known replicas.
    """

    def __init__(self, words: NamedLimits, *, directory: Directory) -> None:
        self.words = words
        self._directory = directory
        self._of_services: dict[str, _ServiceWord] = {}

    def per_s(self, service: str, instance: str) -> float | None:
        """Return how many requests a replica may turn away in a second; None if not brittle."""
        if self.words.empty:
            return None
        named = self.words.per_s(instance)
        if named is not None or self.words.has_report(instance):
            return named
        return self._of_service(service)

    def is_brittle(self, record: ReplicaRecord) -> bool:
        """Whether a replica is brittle."""
        return self.per_s(record.service, record.instance) is not None

    def _of_service(self, service: str) -> float | None:
        """Return what the most brittle replica of a service named; None if none is brittle."""
        now = monotonic()
        known = self._of_services.get(service)
        if known is None or now >= known.at + _SERVICE_WORD_VALID_S:
            others = (replica.instance for replica in self._directory.of_service(service))
            found = (self.words.per_s(other) for other in others)
            per_s = min((item for item in found if item is not None), default=None)
            known = self._of_services[service] = _ServiceWord(per_s, now)
        return known.per_s


class RefusalShares:
    """This box's share of what brittle replicas of its own zone may turn away.

    Only boxes of a replica's zone send to it uncounted, as for limits that replicas name.

    Args:
        home_zone: The zone of this box.
        boxes: Returns how many boxes are in that zone; 0 if unknown.
    """

    def __init__(self, *, home_zone: str, boxes: Callable[[], int]) -> None:
        self._home_zone = home_zone
        self._boxes = boxes
        self._windows = RefusalWindows()

    def room_in_s(self, record: ReplicaRecord, per_s: float) -> float | None:
        """Return the seconds until a request may be sent; None if this box may send nothing."""
        if record.zone != self._home_zone:
            return None
        places = uncounted_places(per_s, boxes=self._boxes())
        if not places:
            return None
        return self._windows.of(record.instance).room_in_s(places, now=monotonic())

    def take(self, record: ReplicaRecord, *, request: str) -> None:
        """Let a request hold a place of the share; the caller checks that one is free."""
        self._windows.of(record.instance).take(request, now=monotonic())

    def record(self, use: PermitUse) -> None:
        """Record what became of a request."""
        self._windows.of(use.instance).record(use.request, use.stage, now=monotonic())
