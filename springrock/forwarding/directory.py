"""The replicas that are known now, with what this box has seen of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum

import msgspec
from msgspec import Struct

from springrock.backoff import Backoff
from springrock.clock import monotonic
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.health import Health
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.remembered import Remembered

_LATE_ROW_S = 5.0
"""How long a row of a lower sequence is taken for a late write of the replica's past; after that
the replica surely writes no more of what it told last, and a lower sequence is its word."""

_INCARNATIONS_KEPT = 10_000
"""So many incarnations that left, and so many ids with their newest start, are remembered."""


class LeavingSign(StrEnum):
    """By what this box learnt that a replica leaves; logs name it."""

    ROW = "row"
    """Its row in the store."""
    ANSWER = "answer"
    """An answer that it gave to this box."""
    BOX = "box"
    """Another box, which may have learnt it by any sign."""


class HeldAdapter(Struct, frozen=True, array_like=True):
    """An adapter that a replica holds."""

    model: str
    adapter: str
    version: int

    @property
    def key(self) -> AdapterKey:
        """The adapter, whatever its version."""
        return AdapterKey(self.model, self.adapter)


class ReplicaRecord(Struct, frozen=True, kw_only=True):
    """What a replica says of itself.

    Attributes:
        instance: Its incarnation: its id, and its start where that is told.
        running_limit: How many requests it runs at once.
        leaving: Whether it gets no new work.
        models: The base models that it holds.
        adapters: The adapters that it holds.
        born_ms: When it started, in Unix milliseconds; None if that is not told.
        sequence: Moves with what it says; counts anew after a start.
        cold_s: How much longer it is slow from its start, in seconds from when it said so.
        understood: Whether what it last said can be read; if not, it gets no new work until it
            says something sound.
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

    @property
    def replica_id(self) -> str:
        """Its id, which another start of it may have had."""
        return self.instance if self.born_ms is None else self.instance.rpartition("@")[0]


def incarnation_of(replica_id: str, born_ms: int | None) -> str:
    """Return what tells one start of a replica from every other one.

    Args:
        replica_id: Its id, which it may keep when it starts again.
        born_ms: When it started; None if that is not told, and each start has an id of its own.
    """
    return replica_id if born_ms is None else f"{replica_id}@{born_ms}"


class Replica:
    """One known replica.

    Attributes:
        record: What it last said of itself.
        recorded_at: When this box learnt that, on the local monotonic clock.
        health: What requests have seen of it.
        backoff: The rest that it asks this box for.
        pool: The connections of this box to it.
        running: Requests of this box that it now works on.
    """

    def __init__(self, record: ReplicaRecord, backoff: Backoff | None = None) -> None:
        self.record = record
        self.recorded_at = monotonic()
        self.health = Health()
        self.backoff = backoff or Backoff()
        self.pool = ConnectionPool(record.address)
        self.running = 0

    @property
    def instance(self) -> str:
        """The id of its incarnation."""
        return self.record.instance


class Directory:
    """All known replicas, by incarnation; of each id the newest start alone.

    Args:
        log: The log to write to.
        rows_origin: Returns where the newest of the replicas' rows comes from, for logs.

    Attributes:
        on_change: Called with each new or changed record, or with None and the incarnation that
            is gone. A replica that started anew is told as gone first.
    """

    def __init__(self, log: Log, *, rows_origin: Callable[[], Mapping[str, object]] = dict) -> None:
        self._log = log
        self._rows_origin = rows_origin
        self._replicas: dict[str, Replica] = {}
        self._by_id: dict[str, str] = {}
        self._starts: Remembered[int] = Remembered(at_most=_INCARNATIONS_KEPT)
        self._backoffs: Remembered[Backoff] = Remembered(at_most=_INCARNATIONS_KEPT)
        self._left: Remembered[None] = Remembered(at_most=_INCARNATIONS_KEPT)
        self._passed_over: Remembered[int | None] = Remembered(at_most=_INCARNATIONS_KEPT)
        self._held_back: dict[str, ReplicaRecord] = {}
        self.on_change: list[Callable[[ReplicaRecord | None, str], None]] = []

    def find(self, instance: str) -> Replica | None:
        """Return a known replica."""
        return self._replicas.get(instance)

    def find_id(self, replica_id: str) -> Replica | None:
        """Return the known replica of an id, whichever start of it that is."""
        return self._replicas.get(self._by_id.get(replica_id, ""))

    def of_service(self, service: str) -> list[Replica]:
        """Return the known replicas of a service, leaving ones included."""
        return [item for item in self._replicas.values() if item.record.service == service]

    def in_zone(self, zone: str) -> list[Replica]:
        """Return the known replicas of a zone, leaving ones included."""
        return [item for item in self._replicas.values() if item.record.zone == zone]

    @property
    def count(self) -> int:
        """How many replicas are known and may get new work."""
        records = (replica.record for replica in self._replicas.values())
        return sum(record.understood and not record.leaving for record in records)

    def leaving(self) -> tuple[str, ...]:
        """Return the known replicas that leave."""
        return tuple(instance for instance, item in self._replicas.items() if item.record.leaving)

    def is_leaving(self, instance: str) -> bool:
        """Whether it is known of an incarnation that it leaves, be its row there or not."""
        return instance in self._left

    def newest_start(self, replica_id: str) -> int | None:
        """Return the newest start that was told of an id, in Unix milliseconds."""
        return self._starts.get(replica_id)

    def record_leaving(self, instance: str, sign: LeavingSign) -> None:
        """Learn otherwise than by its row that a replica leaves, which may come much later.

        That a replica that is not known yet leaves is remembered.
        """
        known = self._replicas.get(instance)
        if known is None:
            self._left.record(instance, None)
        elif not known.record.leaving:
            self._apply(msgspec.structs.replace(known.record, leaving=True), sign=sign)

    def record_backoff(self, replica_id: str, seconds: float) -> None:
        """Learn that the replica of an id wants nothing from this box for so long.

        It holds for whatever start stands under the id, and after its row went for a while: what
        asked for rest may be a start whose row is yet to be read.
        """
        known = self.find_id(replica_id)
        remembered = self._backoffs.get(replica_id) if known is None else known.backoff
        backoff = remembered or Backoff()
        backoff.extend(seconds)
        self._backoffs.record(replica_id, backoff)

    def record_not_understood(self, replica_id: str) -> None:
        """Learn that what stands under an id is not understood: it gets no new work.

        What is known of it stays until it says something sound, or is gone.
        """
        known = self.find_id(replica_id)
        if known is None or not known.record.understood:
            return
        record = msgspec.structs.replace(known.record, understood=False)
        known.record = record
        self._say(record, "A replica is not understood.")
        self._notify(record, record.instance)

    def replace(
        self, records: Iterable[ReplicaRecord], *, not_understood: Iterable[str] = ()
    ) -> None:
        """Take the whole list; what is not in it is gone.

        Args:
            records: What is understood.
            not_understood: Ids under which something else stands.
        """
        by_id = {record.replica_id: record for record in records}
        doubtful = set(not_understood)
        for replica_id in self._by_id.keys() - by_id.keys() - doubtful:
            self.remove(replica_id)
        for replica_id in doubtful:
            self.record_not_understood(replica_id)
        for record in by_id.values():
            self.update(record)

    def update(self, record: ReplicaRecord) -> None:
        """Take a new or changed record; an incarnation that once was leaving stays so."""
        if not self._is_overtaken(record):
            self._held_back.pop(record.replica_id, None)
            self._apply(record)
        self._release()

    def remove(self, replica_id: str) -> None:
        """Forget the replica of an id, whichever start of it is known, as it is gone."""
        self._held_back.pop(replica_id, None)
        self._forget(self._by_id.get(replica_id, ""))

    def _is_overtaken(self, record: ReplicaRecord) -> bool:
        """Whether a record is older than what is known; it is held back if it may be news yet."""
        newest_ms = self._starts.get(record.replica_id)
        if newest_ms is None:
            return False
        if record.born_ms is None or record.born_ms < newest_ms:
            self._say_passed_over(record)
            return True
        known = self._replicas.get(record.instance)
        # Without a sequence there is nothing to compare; that it leaves is true however late.
        if known is None or record.leaving or not 0 < record.sequence < known.record.sequence:
            return False
        if monotonic() - known.recorded_at > _LATE_ROW_S:
            return False
        self._held_back[record.replica_id] = record
        self._say(record, "Held back an overtaken record of a replica.")
        return True

    def _say_passed_over(self, record: ReplicaRecord) -> None:
        """Say that a record is of an earlier start; once for each such start."""
        if self._passed_over.get(record.replica_id, -1) != record.born_ms:
            self._say(record, "Passed over an earlier start of a replica.")
        self._passed_over.record(record.replica_id, record.born_ms)

    def _release(self) -> None:
        """Take what was held back and nothing newer has followed."""
        for replica_id, record in list(self._held_back.items()):
            known = self._replicas.get(record.instance)
            if known is None or monotonic() - known.recorded_at > _LATE_ROW_S:
                del self._held_back[replica_id]
                self._apply(record)

    def _apply(self, record: ReplicaRecord, *, sign: LeavingSign = LeavingSign.ROW) -> None:
        before = self._by_id.get(record.replica_id)
        if before is not None and before != record.instance:
            self._forget(before)
        record = self._with_leaving(record)
        if record.born_ms is not None:
            self._starts.record(record.replica_id, record.born_ms)
        known = self._replicas.get(record.instance)
        if known is None:
            backoff = self._backoffs.get(record.replica_id)
            self._replicas[record.instance] = Replica(record, backoff)
            self._by_id[record.replica_id] = record.instance
            self._say(record, "Saw a replica.")
        else:
            self._renew(known, record, sign)
        self._notify(record, record.instance)

    def _with_leaving(self, record: ReplicaRecord) -> ReplicaRecord:
        """Return a record as it counts: an incarnation that once was leaving stays so."""
        known = self._replicas.get(record.instance)
        was_leaving = known is not None and known.record.leaving
        if record.leaving or was_leaving:
            self._left.record(record.instance, None)
        if record.leaving or record.instance not in self._left:
            return record
        return msgspec.structs.replace(record, leaving=True)

    def _renew(self, known: Replica, record: ReplicaRecord, sign: LeavingSign) -> None:
        before = known.record
        recorded_at = known.recorded_at
        known.record = record
        known.recorded_at = monotonic()
        if record.address != known.pool.address:
            known.pool.close()
            known.pool = ConnectionPool(record.address)
        if record.leaving and not before.leaving:
            known.pool.close()
            self._say_leaving(known, sign, recorded_at)
        if record.understood and not before.understood:
            self._say(record, "A replica is understood again.")

    def _forget(self, instance: str) -> None:
        """Forget an incarnation, and have nothing sent there by whoever has chosen it already."""
        replica = self._replicas.pop(instance, None)
        if replica is None:
            return
        del self._by_id[replica.record.replica_id]
        replica.pool.close()
        self._say(replica.record, "A replica is gone.")
        replica.record = msgspec.structs.replace(replica.record, leaving=True)
        self._notify(None, instance)

    def _say_leaving(self, replica: Replica, sign: LeavingSign, recorded_at: float) -> None:
        record = replica.record
        self._log.say(
            "A replica is leaving.",
            instance=record.instance,
            service=record.service,
            zone=record.zone,
            sign=sign,
            running=replica.running,
            record_age_s=round(monotonic() - recorded_at, 3),
            **self._rows_origin(),
        )

    def _notify(self, record: ReplicaRecord | None, instance: str) -> None:
        for listener in self.on_change:
            listener(record, instance)

    def _say(self, record: ReplicaRecord, sentence: str) -> None:
        self._log.say(
            sentence,
            instance=record.instance,
            service=record.service,
            address=record.address,
            zone=record.zone,
        )
