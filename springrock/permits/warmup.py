"""Which replicas this box does not know to be warm."""

from __future__ import annotations

from collections.abc import Callable, Collection

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration, SlowStart
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log

_HEARTBEAT_S = 1.2
"""The approximate interval at which replicas write their rows; set by the platform."""

_ROW_LAG_S = 0.8
"""How long after its write a row becomes readable; set by the platform."""

_ROW_MARGIN_S = 0.5
"""Margin for a late heartbeat and for the duration of its write."""

ROW_DELAY_S = _HEARTBEAT_S + _ROW_LAG_S + _ROW_MARGIN_S
"""How long after a restart the rows that can be read reflect it. An unchanged row shows that the
replica is not cold, as a replica that turns cold writes a new row."""

_CLOCK_MARGIN_S = 0.5
"""How much longer than configured a slow start may last on this box's clock."""

_REPORT_VALID_S = 1.5
"""How long the suspicions that a placer reports remain valid after its last heartbeat."""


class _Suspicion(Struct):
    """A sign that a replica has restarted, although no row that this box has read shows it.

    Attributes:
        began_at: When this box last had such a sign.
        answered_at: When the replica answered after that, and so was up again; None if it has not.
        known_to_all: Whether it is reported to other boxes.
        silent_since: When the replica was last heard in the first of the exchanges in which it was
            silent; None if there are other signs than silences.
    """

    began_at: float
    answered_at: float | None = None
    known_to_all: bool = False
    silent_since: float | None = None


class _Reported(Struct):
    """The suspicions in the last heartbeat of a zone's placer.

    Attributes:
        since: When the unbroken series of heartbeats that suspect each replica began.
        at: When the heartbeat arrived.
    """

    since: dict[str, float]
    at: float


class WarmupTracker:
    """Decides which replicas are to be treated as cold: those that are not known to be warm.

    Replicas of services without slow start are never cold.

    Args:
        configuration: Returns the configuration in force.
        rows_as_of: Returns the latest local time at which the known rows were certainly the newest
            that could be read.
        ended_at: Returns when a zone was taken back from an evacuation; None if never.
        log: The log to write to.

    Attributes:
        on_observation: Called with a replica and False when it refuses connections, and with True
            when it answers after that.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        rows_as_of: Callable[[], float],
        ended_at: Callable[[str], float | None],
        log: Log,
    ) -> None:
        self._configuration = configuration
        self._rows_as_of = rows_as_of
        self._ended_at = ended_at
        self._log = log
        self._records: dict[str, ReplicaRecord] = {}
        self._cold_until: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._reported: dict[str, _Reported] = {}
        self.on_observation: list[Callable[[ReplicaRecord, bool], None]] = []

    def is_cold(self, record: ReplicaRecord) -> bool:
        """Whether a replica is not known to be warm."""
        slow_start = self.slow_start(record.service)
        if slow_start is None:
            return False
        now = monotonic()
        cold_until = self._cold_until.get(record.instance)
        if cold_until is None and record.cold_s > 0:
            return True
        if cold_until is not None and now < cold_until:
            return True
        return self._is_suspected(record, slow_start, now)

    def slow_start(self, service: str) -> SlowStart | None:
        """Return the load limit of a service's cold replicas; None if they are never cold."""
        known = self._configuration().services.get(service)
        return None if known is None else known.slow_start

    @property
    def cold_count(self) -> int:
        """How many known replicas are not known to be warm."""
        return sum(self.is_cold(record) for record in self._records.values())

    def _is_suspected(self, record: ReplicaRecord, slow_start: SlowStart, now: float) -> bool:
        if self._reported_since(record, now) is not None:
            return True
        ended_at = self._ended_at(record.zone)
        if ended_at is not None and self._is_active(
            _Suspicion(ended_at, ended_at), slow_start, now
        ):
            return True
        suspicion = self._suspicions.get(record.instance)
        return suspicion is not None and self._is_active(suspicion, slow_start, now)

    def _reported_since(self, record: ReplicaRecord, now: float) -> float | None:
        """Return since when the zone's placer reports a replica as suspected; else None."""
        reported = self._reported.get(record.zone)
        if reported is None or now >= reported.at + _REPORT_VALID_S:
            return None
        return reported.since.get(record.instance)

    def _is_active(self, suspicion: _Suspicion, slow_start: SlowStart, now: float) -> bool:
        """Whether a suspicion holds; a replica that has not answered yet remains suspected."""
        if suspicion.answered_at is None:
            return True
        if now >= suspicion.answered_at + slow_start.lasts_s + _CLOCK_MARGIN_S:
            return False
        return self._rows_as_of() < suspicion.answered_at + ROW_DELAY_S

    # From the rows of replicas.

    def apply_record(self, record: ReplicaRecord | None, instance: str) -> None:
        """Apply a replica's row; None if the row is gone."""
        if record is None:
            self._records.pop(instance, None)
            self._cold_until.pop(instance, None)
            self._suspicions.pop(instance, None)
            return
        known = self._records.get(instance)
        self._records[instance] = record
        if known is not None and (known.cold_s, known.sequence) == (record.cold_s, record.sequence):
            # The cold time is unchanged, and is counted from when it was first read.
            return
        now = monotonic()
        was_cold = now < self._cold_until.get(instance, 0.0)
        self._cold_until[instance] = now + record.cold_s
        if was_cold != (record.cold_s > 0):
            self._log_change(
                "A replica reports whether it is cold.", record, cold_s=round(record.cold_s, 2)
            )

    # From the outcomes of requests.

    def record_failed(self, record: ReplicaRecord, *, refused: bool) -> None:
        """Record that a replica could not be reached, or broke off before an answer.

        Args:
            record: The replica.
            refused: Whether it refused connections, and so was down. Any other failure may be that
                of this box's own link, and is not reported to other boxes.
        """
        if self.slow_start(record.service) is None or record.instance not in self._records:
            return
        self._suspect(record, known_to_all=refused)
        if refused:
            self._notify(record, answered=False)

    def record_silent(self, record: ReplicaRecord, *, since: float) -> None:
        """Record that a replica has sent nothing for too long in an exchange that is still open.

        Args:
            record: The replica.
            since: When it was last heard in that exchange, or else the request was sent.
        """
        if self.slow_start(record.service) is None or record.instance not in self._records:
            return
        self._suspect(record, known_to_all=False, silent_since=since)

    def record_went_on(self, record: ReplicaRecord, *, sent_at: float) -> None:
        """Record that a replica has sent more in an exchange in which it was silent.

        So it has not restarted since, as the connection would have ended with the process. That
        refutes silences only: a connection that broke meanwhile remains a sign.

        Args:
            record: The replica.
            sent_at: When the request of the exchange was sent.
        """
        suspicion = self._suspicions.get(record.instance)
        if suspicion is None or suspicion.silent_since is None:
            return
        if sent_at <= suspicion.silent_since:
            del self._suspicions[record.instance]
            self._log_change("A silent replica went on.", record)

    def record_answered(self, record: ReplicaRecord, *, sent_at: float) -> None:
        """Record that a replica answered a request that was sent at a given time."""
        reported_since = self._reported_since(record, monotonic()) if self._reported else None
        if reported_since is not None and sent_at >= reported_since:
            self._notify(record, answered=True)
        suspicion = self._suspicions.get(record.instance)
        if suspicion is None or suspicion.answered_at is not None or sent_at < suspicion.began_at:
            return
        suspicion.answered_at = monotonic()
        self._log_change("A suspected replica answered.", record)
        if suspicion.known_to_all:
            self._notify(record, answered=True)

    def _suspect(
        self, record: ReplicaRecord, *, known_to_all: bool, silent_since: float | None = None
    ) -> None:
        suspicion = self._suspicions.get(record.instance)
        shared = known_to_all or (suspicion is not None and suspicion.known_to_all)
        if silent_since is not None and suspicion is not None and self._holds(suspicion, record):
            earlier = suspicion.silent_since
            silent_since = None if earlier is None else min(earlier, silent_since)
        self._suspicions[record.instance] = _Suspicion(monotonic(), None, shared, silent_since)
        if suspicion is None or suspicion.answered_at is not None:
            self._log_change("A replica may come back cold.", record, known_to_all=known_to_all)

    def _holds(self, suspicion: _Suspicion, record: ReplicaRecord) -> bool:
        slow_start = self.slow_start(record.service)
        return slow_start is not None and self._is_active(suspicion, slow_start, monotonic())

    def _notify(self, record: ReplicaRecord, *, answered: bool) -> None:
        for listener in self.on_observation:
            listener(record, answered)

    # From other boxes, through the placer of the replica's zone.

    def apply_observation(self, instance: str, *, answered: bool) -> None:
        """Apply what another box observed of a replica."""
        record = self._records.get(instance)
        if record is None:
            return
        if not answered:
            self._suspect(record, known_to_all=True)
            return
        suspicion = self._suspicions.get(instance)
        if suspicion is not None and suspicion.answered_at is None:
            suspicion.answered_at = monotonic()

    def suspected(self, zone: str) -> tuple[str, ...]:
        """Return the replicas of a zone that all boxes are to suspect; drop expired suspicions."""
        now = monotonic()
        found = []
        for instance, suspicion in list(self._suspicions.items()):
            record = self._records.get(instance)
            slow_start = None if record is None else self.slow_start(record.service)
            if (
                record is None
                or slow_start is None
                or not self._is_active(suspicion, slow_start, now)
            ):
                del self._suspicions[instance]
            elif suspicion.known_to_all and record.zone == zone:
                found.append(instance)
        return tuple(found)

    def apply_suspected(self, zone: str, instances: Collection[str]) -> None:
        """Replace the suspicions that a zone's placer reports by those of its new heartbeat."""
        now = monotonic()
        known = self._reported.get(zone, _Reported({}, now)).since
        if instances:
            self._reported[zone] = _Reported(
                {name: known.get(name, now) for name in instances}, now
            )
        elif known:
            del self._reported[zone]

    def _log_change(self, message: str, record: ReplicaRecord, **fields: object) -> None:
        self._log.info(
            message, instance=record.instance, service=record.service, zone=record.zone, **fields
        )
