"""The directory of known replicas, with their connections and health as seen by this box."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

import msgspec
from msgspec import Struct

from springrock.backoff import Backoff
from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.health import Health
from springrock.forwarding.message import AdapterKey
from springrock.log import Log

_LATE_RECORD_WINDOW_S = 5.0
"""How long a record with a lower sequence counts as a late write and is deferred. After that the
replica no longer repeats the record with the higher sequence, so the lower one is its current
state."""

_INCARNATIONS_KEPT = 10_000
"""Bounds the memory for each kind of previous state, such as leaving incarnations and the newest
start of each id."""


class LeavingSource(StrEnum):
    """The source from which this box learned that a replica is leaving; shown in logs."""

    ROW = "row"
    """The row of the replica in the store."""
    ANSWER = "answer"
    """An answer of the replica to this box."""
    BOX = "box"
    """Another box, which may have learned it from any source."""


class HeldAdapter(Struct, frozen=True, array_like=True):
    """A version of an adapter that a replica holds."""

    model: str
    adapter: str
    version: int

    @property
    def key(self) -> AdapterKey:
        """The key of the adapter, without the version."""
        return AdapterKey(self.model, self.adapter)


class ReplicaRecord(Struct, frozen=True, kw_only=True):
    """The state that a replica reports about itself.

    Attributes:
        instance: The incarnation: the replica id, with the start time if that is known.
        service: The service that the replica belongs to.
        address: Where the replica accepts requests.
        zone: The availability zone.
        running_limit: How many requests the replica runs at once.
        leaving: Whether the replica is leaving and gets no new work.
        models: The base models that the replica holds.
        adapters: The adapters that the replica holds.
        born_ms: When the replica started, in Unix milliseconds; None if unknown.
        sequence: Rises as the reported state changes and begins again after a start; 0 if
            the replica sends none.
        cold_s: For how many more seconds after the report the replica is slow because it started
            recently.
        understood: Whether the latest row of the replica could be read. If not, the replica gets
            no new work until a readable row arrives.
        software: The version of the replica's software, empty if unknown. What two versions write
            does not fit together in one stream.
    """

    instance: str
    service: str
    address: str
    zone: str
    running_limit: int = 1
    leaving: bool = False
    models: frozenset[str] = frozenset()
    adapters: tuple[HeldAdapter, ...] = ()
    born_ms: int | None = None
    sequence: int = 0
    cold_s: float = 0.0
    understood: bool = True
    software: str = ""

    @property
    def replica_id(self) -> str:
        """The id, which other incarnations of the replica may share."""
        return self.instance if self.born_ms is None else self.instance.rpartition("@")[0]


def incarnation_of(replica_id: str, born_ms: int | None) -> str:
    """Return the id of the incarnation, which is different for each start of a replica.

    Args:
        replica_id: The id of the replica, which may stay the same after a restart.
        born_ms: When the replica started, in Unix milliseconds. None if unknown; the replica id
            itself must then change with each start.
    """
    return replica_id if born_ms is None else f"{replica_id}@{born_ms}"


class Replica:
    """A known incarnation of a replica.

    Attributes:
        record: The latest record of the replica.
        recorded_at: When this box received the record, on the local monotonic clock.
        health: The outcomes of requests of this box to the replica.
        backoff: The back-off that the replica requested from this box.
        pool: The connections of this box to the replica.
        running: The number of requests of this box that the replica is running.
        heard_at: When it last sent a part of an answer, on the local monotonic clock.
        at_work_at: When it last answered a probe of `WorkProbe`, on the same clock.
        probed_at: When that probe was last sent.
    """

    def __init__(self, record: ReplicaRecord, backoff: Backoff | None = None) -> None:
        self.record = record
        self.recorded_at = monotonic()
        self.health = Health()
        self.backoff = backoff or Backoff()
        self.pool = ConnectionPool(record.address)
        self.running = 0
        self.heard_at = float("-inf")
        self.at_work_at = float("-inf")
        self.probed_at = float("-inf")

    @property
    def instance(self) -> str:
        """The id of the incarnation."""
        return self.record.instance


class Directory:
    """All known replicas by incarnation. Each replica id has at most one, the newest known.

    Args:
        log: The log to write to.
        rows_origin: Returns log fields for the origin of the latest replica rows.

    Attributes:
        on_change: Called with each new or changed record and its incarnation, or with None and
            an incarnation that was removed. When a replica restarts, the removal of the earlier
            incarnation is reported first.
    """

    def __init__(self, log: Log, *, rows_origin: Callable[[], Mapping[str, object]] = dict) -> None:
        self._log = log
        self._rows_origin = rows_origin
        self._replicas: dict[str, Replica] = {}
        self._instance_by_id: dict[str, str] = {}
        self._newest_starts: BoundedDict[int] = BoundedDict(at_most=_INCARNATIONS_KEPT)
        self._backoffs: BoundedDict[Backoff] = BoundedDict(at_most=_INCARNATIONS_KEPT)
        self._leaving_incarnations: BoundedDict[None] = BoundedDict(at_most=_INCARNATIONS_KEPT)
        self._ignored_starts: BoundedDict[int | None] = BoundedDict(at_most=_INCARNATIONS_KEPT)
        self._deferred: dict[str, ReplicaRecord] = {}
        self.on_change: list[Callable[[ReplicaRecord | None, str], None]] = []

    def find(self, instance: str) -> Replica | None:
        """Return the replica with an incarnation; None if it is unknown."""
        return self._replicas.get(instance)

    def find_by_id(self, replica_id: str) -> Replica | None:
        """Return the known incarnation of a replica id; None if there is none."""
        return self._replicas.get(self._instance_by_id.get(replica_id, ""))

    def of_service(self, service: str) -> list[Replica]:
        """Return the known replicas of a service, including leaving ones."""
        return [item for item in self._replicas.values() if item.record.service == service]

    def all_replicas(self) -> list[Replica]:
        """Return the replicas of all services."""
        return list(self._replicas.values())

    def services(self) -> set[str]:
        """Return the services that have replicas which are not leaving."""
        records = (replica.record for replica in self._replicas.values())
        return {record.service for record in records if not record.leaving}

    def in_zone(self, zone: str) -> list[Replica]:
        """Return the known replicas of a zone, including leaving ones."""
        return [item for item in self._replicas.values() if item.record.zone == zone]

    @property
    def count(self) -> int:
        """The number of known replicas that may get new work."""
        records = (replica.record for replica in self._replicas.values())
        return sum(record.understood and not record.leaving for record in records)

    def leaving(self) -> tuple[str, ...]:
        """Return the incarnations of the known replicas that are leaving."""
        return tuple(instance for instance, item in self._replicas.items() if item.record.leaving)

    def is_leaving(self, instance: str) -> bool:
        """Whether an incarnation is known to be leaving, even if there is no row for it."""
        return instance in self._leaving_incarnations

    def newest_start(self, replica_id: str) -> int | None:
        """Return the newest known start of a replica id in Unix milliseconds; None if unknown."""
        return self._newest_starts.get(replica_id)

    def record_leaving(self, instance: str, source: LeavingSource) -> None:
        """Mark an incarnation as leaving before a row in the store says so.

        The mark is also kept for an incarnation that is not known yet.

        Args:
            instance: The incarnation.
            source: Where this box learned it from.
        """
        known = self._replicas.get(instance)
        if known is None:
            self._leaving_incarnations.record(instance, None)
        elif not known.record.leaving:
            self._apply(msgspec.structs.replace(known.record, leaving=True), source=source)

    def record_backoff(self, replica_id: str, seconds: float) -> None:
        """Record that the replica with an id asked this box to send nothing for some time.

        The back-off applies to every incarnation with the id, also after the row was removed and
        came back: the replica that asked may be a newer incarnation whose row was not read yet.
        """
        known = self.find_by_id(replica_id)
        previous = self._backoffs.get(replica_id) if known is None else known.backoff
        backoff = previous or Backoff()
        backoff.extend(seconds)
        self._backoffs.record(replica_id, backoff)

    def record_not_understood(self, replica_id: str) -> None:
        """Record that the row of a replica id cannot be read, so the replica gets no new work.

        The rest of the last record stays in force until a readable row arrives or the row is
        removed.
        """
        known = self.find_by_id(replica_id)
        if known is None or not known.record.understood:
            return
        record = msgspec.structs.replace(known.record, understood=False)
        known.record = record
        self._log_record(record, "The row of a replica cannot be read.")
        self._notify(record, record.instance)

    def replace(
        self, records: Iterable[ReplicaRecord], *, malformed_ids: Iterable[str] = ()
    ) -> None:
        """Replace all records; a replica without a row is removed.

        Args:
            records: The readable records.
            malformed_ids: The replica ids whose rows cannot be read.
        """
        by_id = {record.replica_id: record for record in records}
        unreadable_ids = set(malformed_ids)
        for replica_id in self._instance_by_id.keys() - by_id.keys() - unreadable_ids:
            self.remove(replica_id)
        for replica_id in unreadable_ids:
            self.record_not_understood(replica_id)
        for record in by_id.values():
            self.update(record)

    def update(self, record: ReplicaRecord) -> None:
        """Apply a new or changed record; an incarnation that was leaving remains leaving."""
        if not self._is_out_of_date(record):
            self._deferred.pop(record.replica_id, None)
            self._apply(record)
        self._apply_deferred()

    def remove(self, replica_id: str) -> None:
        """Remove the replica with an id, whichever of its incarnations is known."""
        self._deferred.pop(replica_id, None)
        self._remove_incarnation(self._instance_by_id.get(replica_id, ""))

    def _is_out_of_date(self, record: ReplicaRecord) -> bool:
        """Whether a record is out of date, compared with the known start and sequence.

        A record that may still turn out to be current is deferred.
        """
        newest_ms = self._newest_starts.get(record.replica_id)
        if newest_ms is None:
            return False
        if record.born_ms is None or record.born_ms < newest_ms:
            self._log_ignored_start(record)
            return True
        known = self._replicas.get(record.instance)
        # A record without a sequence cannot be compared. A late "leaving" still holds, as leaving
        # is final.
        if known is None or record.leaving or not 0 < record.sequence < known.record.sequence:
            return False
        if monotonic() - known.recorded_at > _LATE_RECORD_WINDOW_S:
            return False
        self._deferred[record.replica_id] = record
        self._log_record(record, "Deferred an out-of-date record of a replica.")
        return True

    def _log_ignored_start(self, record: ReplicaRecord) -> None:
        """Log that a record of an earlier start is ignored, once for each such start."""
        if self._ignored_starts.get(record.replica_id, -1) != record.born_ms:
            self._log_record(record, "Ignored a record of an earlier start of a replica.")
        self._ignored_starts.record(record.replica_id, record.born_ms)

    def _apply_deferred(self) -> None:
        """Apply the deferred records that no newer record followed in time."""
        for replica_id, record in list(self._deferred.items()):
            known = self._replicas.get(record.instance)
            if known is None or monotonic() - known.recorded_at > _LATE_RECORD_WINDOW_S:
                del self._deferred[replica_id]
                self._apply(record)

    def _apply(self, record: ReplicaRecord, *, source: LeavingSource = LeavingSource.ROW) -> None:
        previous = self._instance_by_id.get(record.replica_id)
        if previous is not None and previous != record.instance:
            self._remove_incarnation(previous)
        record = self._keep_leaving(record)
        if record.born_ms is not None:
            self._newest_starts.record(record.replica_id, record.born_ms)
        known = self._replicas.get(record.instance)
        if known is None:
            backoff = self._backoffs.get(record.replica_id)
            self._replicas[record.instance] = Replica(record, backoff)
            self._instance_by_id[record.replica_id] = record.instance
            self._log_record(record, "Discovered a replica.")
        else:
            self._update_known(known, record, source)
        self._notify(record, record.instance)

    def _keep_leaving(self, record: ReplicaRecord) -> ReplicaRecord:
        """Return a record with `leaving` set if its incarnation is known to be leaving."""
        known = self._replicas.get(record.instance)
        was_leaving = known is not None and known.record.leaving
        if record.leaving or was_leaving:
            self._leaving_incarnations.record(record.instance, None)
        if record.leaving or record.instance not in self._leaving_incarnations:
            return record
        return msgspec.structs.replace(record, leaving=True)

    def _update_known(self, known: Replica, record: ReplicaRecord, source: LeavingSource) -> None:
        previous = known.record
        recorded_at = known.recorded_at
        known.record = record
        known.recorded_at = monotonic()
        if record.address != known.pool.address:
            known.pool.close()
            known.pool = ConnectionPool(record.address)
        if record.leaving and not previous.leaving:
            known.pool.close()
            self._log_leaving(known, source, recorded_at)
        if record.understood and not previous.understood:
            self._log_record(record, "The row of a replica can be read again.")

    def _remove_incarnation(self, instance: str) -> None:
        """Remove an incarnation and mark it as leaving for requests that have already chosen it."""
        replica = self._replicas.pop(instance, None)
        if replica is None:
            return
        del self._instance_by_id[replica.record.replica_id]
        replica.pool.close()
        self._log_record(replica.record, "A replica is gone.")
        replica.record = msgspec.structs.replace(replica.record, leaving=True)
        self._notify(None, instance)

    def _log_leaving(self, replica: Replica, source: LeavingSource, recorded_at: float) -> None:
        record = replica.record
        self._log.info(
            "A replica is leaving.",
            instance=record.instance,
            service=record.service,
            zone=record.zone,
            sign=source,
            running=replica.running,
            record_age_s=round(monotonic() - recorded_at, 3),
            **self._rows_origin(),
        )

    def _notify(self, record: ReplicaRecord | None, instance: str) -> None:
        for listener in self.on_change:
            listener(record, instance)

    def _log_record(self, record: ReplicaRecord, sentence: str) -> None:
        self._log.info(
            sentence,
            instance=record.instance,
            service=record.service,
            address=record.address,
            zone=record.zone,
            software=record.software,
        )
