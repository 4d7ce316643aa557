"""Which software version began a stream, so that it goes on only there."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple, Protocol

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.errors import StreamOriginUnknown
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.software_history import STREAM_LIFE_S, SoftwareHistory
from springrock.log import Log

_MAX_ORIGINS = 100_000
"""Bounds the memory of a placer that is told of the streams of many boxes."""

_RETRY_AFTER_S = 0.5


class Origin(NamedTuple):
    """The run that brought the first event of a stream.

    Attributes:
        service: The service of its replica.
        software: The software version of its replica.
    """

    service: str
    software: str


class OriginSource(StrEnum):
    """Where the version that began a stream was found; shown in logs and metrics."""

    RECORDED = "recorded"
    """This box served the stream, or was told of it."""
    ONLY_VERSION = "only_version"
    """No replica of the service had another version within the life of the stream."""
    ASKED = "asked"
    """Another box knew it."""
    STORED = "stored"
    """The store kept it, while no box knew it any more."""
    UNKNOWN = "unknown"


class OriginBook:
    """The origins that this box knows, by the id of the request that brought the first event."""

    def __init__(self) -> None:
        self._origins: BoundedDict[tuple[Origin, float]] = BoundedDict(at_most=_MAX_ORIGINS)

    def record(self, request_id: str, origin: Origin) -> None:
        """Record the origin of a stream that has begun or gone on."""
        self._origins.record(request_id, (origin, monotonic()))

    def find(self, request_id: str) -> Origin | None:
        """Return the origin of a stream; None if it is unknown or too old to go on."""
        self._drop_old()
        found = self._origins.get(request_id)
        return None if found is None else found[0]

    def recent(self) -> list[tuple[str, Origin]]:
        """Return all known origins."""
        self._drop_old()
        return [(request_id, origin) for request_id, (origin, _) in self._origins.items()]

    def _drop_old(self) -> None:
        oldest = monotonic() - STREAM_LIFE_S
        while self._origins:
            request_id, (_, recorded_at) = next(iter(self._origins.items()))
            if recorded_at > oldest:
                return
            del self._origins[request_id]


class OtherBoxes(Protocol):
    """The boxes that keep origins for each other."""

    def tell_origin(self, request_id: str, origin: Origin) -> None:
        """Tell other boxes the origin of a stream of this one, if they may need it."""

    def told_origin(self, request_id: str) -> Origin | None:
        """Return the origin that another box told this one; None if none did."""

    def ask_origin(self, request_id: str, service: str) -> Origin | None:
        """Ask other boxes for the origin of a stream; None if none knows it."""

    def stored_origin(self, request_id: str) -> Origin | None:
        """Return the origin that other boxes have saved in the store; None if none did."""


class StreamOrigins:
    """Records the origins of this box's streams and finds those of streams that are taken up.

    Args:
        own: The origins of this box's own streams.
        history: The versions that replicas have had lately.
        refresh_replicas: Brings the replicas' rows up to date; returns whether they are.
        other_boxes: The boxes that keep origins for each other.
        log: The log to write to.
        count: Called with the source of each origin that was looked for.
    """

    def __init__(
        self,
        *,
        own: OriginBook,
        history: SoftwareHistory,
        refresh_replicas: Callable[[], bool],
        other_boxes: OtherBoxes,
        log: Log,
        count: Callable[[OriginSource], None] = lambda source: None,
    ) -> None:
        self._own = own
        self._history = history
        self._refresh_replicas = refresh_replicas
        self._other_boxes = other_boxes
        self._log = log
        self._count = count

    def record_begun(self, progress: RequestProgress, software: str) -> None:
        """Record the version that began a stream, before its first event is sent on."""
        origin = Origin(progress.service, software)
        request_id = progress.request.resumes or progress.request.request_id
        self._own.record(request_id, origin)
        self._other_boxes.tell_origin(request_id, origin)

    def bind(self, progress: RequestProgress) -> None:
        """Restrict a request that takes a stream up to the service and version that began it.

        Raises:
            StreamOriginUnknown: If that version is not known for certain.
        """
        if not (progress.streaming and progress.request.last_event_id):
            return
        began_at = monotonic()
        origin, source = self._find(progress)
        self._count(source)
        self._log.info(
            "Looked for the version that began a stream.",
            request=progress.request.request_id,
            resumes=progress.request.resumes,
            service=progress.service if origin is None else origin.service,
            software=None if origin is None else origin.software,
            source=source,
            took_ms=round((monotonic() - began_at) * 1000),
        )
        if origin is None:
            raise StreamOriginUnknown(_RETRY_AFTER_S)
        progress.service = origin.service
        progress.bind_software(origin.software)

    def _find(self, progress: RequestProgress) -> tuple[Origin | None, OriginSource]:
        request_id, service = progress.request.resumes, progress.service
        recorded = self._own.find(request_id) or self._other_boxes.told_origin(request_id)
        if recorded is not None and progress.route.serves(recorded.service):
            return recorded, OriginSource.RECORDED
        only = self._only_version(service)
        if only is not None:
            return Origin(service, only), OriginSource.ONLY_VERSION
        if not request_id:
            return None, OriginSource.UNKNOWN
        told = self._other_boxes.ask_origin(request_id, service)
        if told is not None and progress.route.serves(told.service):
            return told, OriginSource.ASKED
        stored = self._other_boxes.stored_origin(request_id)
        if stored is not None and progress.route.serves(stored.service):
            return stored, OriginSource.STORED
        return None, OriginSource.UNKNOWN

    def _only_version(self, service: str) -> str | None:
        """Return the version of every stream that can have begun by now; None if not certain.

        Another box may have begun the stream at a replica whose row this one has not read yet.
        """
        return self._history.only_version(service) if self._refresh_replicas() else None
