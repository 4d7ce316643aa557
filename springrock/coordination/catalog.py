"""The catalog: one box's copy of the configuration at one revision.

There are many adapters and most are idle, so they are not kept as Python objects: they are stored
encoded in hash buckets, and a bucket is decoded when one of its adapters is looked up.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple
from zlib import crc32

import msgspec

_BUCKETS = 4096
_ADAPTER_PREFIX = "adapter/"
_WORKLOAD_PREFIX = "workload/"
_DRAIN_PREFIX = "drain/"
_PIN_PREFIX = "pin/"


class Adapter(msgspec.Struct, frozen=True, array_like=True):
    """An adapter of a base model.

    Attributes:
        name: ``BASE:ADAPTER``.
        versions: The versions that a request may name, in ascending order.
        current: The version that serves a request that names none.
        workloads: The workloads that may use the adapter; empty if all may.
    """

    name: str
    versions: list[int]
    current: int
    workloads: list[str] = []

    @property
    def key(self) -> str:
        """The entity's key in the catalog."""
        return f"{_ADAPTER_PREFIX}{self.name}"


class Workload(msgspec.Struct, frozen=True, array_like=True):
    """A workload's share, limits and weights.

    Attributes:
        priority: Added to the priority of its requests.
        share: Its share of a contended replica, relative to the shares of other workloads.
        requests_per_s: Its rate limit over all boxes together; 0 for no limit.
        stall_weight: The weight of load stalls against batch efficiency, from 0 (only batch
            efficiency counts) to 1 (only load stalls count).
    """

    name: str
    priority: int = 0
    share: float = 1.0
    requests_per_s: float = 0.0
    stall_weight: float = 0.5

    @property
    def key(self) -> str:
        """The entity's key in the catalog."""
        return f"{_WORKLOAD_PREFIX}{self.name}"


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """An operator's mark on a replica: ``drain/REPLICA``."""

    key: str

    @classmethod
    def drain(cls, replica: str) -> Mark:
        """Return the mark that takes a replica out of service."""
        return cls(f"{_DRAIN_PREFIX}{replica}")


class Pin(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order to keep an adapter on a replica: ``pin/REPLICA/ADAPTER@VERSION``."""

    replica: str
    adapter: str

    @property
    def key(self) -> str:
        """The entity's key in the catalog."""
        return f"{_PIN_PREFIX}{self.replica}/{self.adapter}"


Entity = Adapter | Workload | Mark | Pin


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change of the configuration.

    Attributes:
        revision: The change's position in the order of all changes.
        command_id: The identifier of the operator's command; a retry of the command with the
            same identifier is not committed again.
        who: The operator.
        at: When the change was committed, in seconds since the epoch by the clock of the
            committing box; for display only.
        statement: The operator's statement.
    """

    revision: int
    command_id: str
    who: str
    at: float
    statement: str
    adapters: list[Adapter] = []
    workloads: list[Workload] = []
    marks: list[Mark] = []
    pins: list[Pin] = []
    deletes: list[str] = []

    @property
    def entities(self) -> list[Entity]:
        """All entities that the change writes."""
        return [*self.adapters, *self.workloads, *self.marks, *self.pins]

    @property
    def keys(self) -> list[str]:
        """All keys that the change writes or deletes."""
        return [entity.key for entity in self.entities] + self.deletes


class _StoredAdapter(NamedTuple):
    revision: int
    adapter: Adapter


class _AdapterStore:
    """Adapters by name, encoded in hash buckets."""

    def __init__(self) -> None:
        self._buckets: list[bytes] = [b""] * _BUCKETS
        self._decoder = msgspec.msgpack.Decoder(list[tuple[int, Adapter]])
        self.count = 0

    def get(self, name: str) -> _StoredAdapter | None:
        for stored in self._read(self._index(name)):
            if stored.adapter.name == name:
                return stored
        return None

    def put(self, adapter: Adapter, revision: int) -> None:
        index = self._index(adapter.name)
        kept = [stored for stored in self._read(index) if stored.adapter.name != adapter.name]
        self.count -= len(self._read(index)) - len(kept)
        self._write(index, [*kept, _StoredAdapter(revision, adapter)])
        self.count += 1

    def put_many(self, items: list[_StoredAdapter]) -> None:
        """Fill an empty store, encoding each bucket once."""
        by_index: dict[int, list[_StoredAdapter]] = {}
        for item in items:
            by_index.setdefault(self._index(item.adapter.name), []).append(item)
        for index, bucket in by_index.items():
            self._write(index, bucket)
        self.count = len(items)

    def delete(self, name: str) -> None:
        index = self._index(name)
        before = self._read(index)
        kept = [stored for stored in before if stored.adapter.name != name]
        self._write(index, kept)
        self.count -= len(before) - len(kept)

    def __iter__(self) -> Iterator[_StoredAdapter]:
        for index in range(_BUCKETS):
            yield from self._read(index)

    def _index(self, name: str) -> int:
        return crc32(name.encode()) % _BUCKETS

    def _read(self, index: int) -> list[_StoredAdapter]:
        encoded = self._buckets[index]
        return [_StoredAdapter(*item) for item in self._decoder.decode(encoded)] if encoded else []

    def _write(self, index: int, items: list[_StoredAdapter]) -> None:
        self._buckets[index] = msgspec.msgpack.encode(items) if items else b""


class Catalog:
    """The whole configuration at one revision; the revision never decreases."""

    def __init__(self) -> None:
        self.revision = 0
        self._adapters = _AdapterStore()
        self._other_entities: dict[str, tuple[int, Entity]] = {}

    def apply(self, change: Change) -> bool:
        """Apply a change; return False if its revision is not the next one."""
        if change.revision != self.revision + 1:
            return False
        for entity in change.entities:
            self._put(entity, change.revision)
        for key in change.deletes:
            self._delete(key)
        self.revision = change.revision
        return True

    def adapter(self, name: str) -> Adapter | None:
        """Return the adapter named ``BASE:ADAPTER``, or None if there is none."""
        stored = self._adapters.get(name)
        return stored.adapter if stored else None

    def workload(self, name: str) -> Workload | None:
        """Return the workload of a name, or None if there is none."""
        found = self._other_entities.get(f"{_WORKLOAD_PREFIX}{name}")
        return found[1] if found and isinstance(found[1], Workload) else None

    def workloads(self) -> list[Workload]:
        """Return all workloads, sorted by name."""
        return [item for item in self._sorted_other_entities() if isinstance(item, Workload)]

    def pins(self, replica: str | None = None) -> list[Pin]:
        """Return the pins of a replica, or of all replicas, sorted by key."""
        pins = [item for item in self._sorted_other_entities() if isinstance(item, Pin)]
        return [pin for pin in pins if replica in (None, pin.replica)]

    def marks(self) -> list[Mark]:
        """Return all marks, sorted by key."""
        return [item for item in self._sorted_other_entities() if isinstance(item, Mark)]

    def drained(self, replica: str) -> bool:
        """Whether an operator has taken a replica out of service."""
        return Mark.drain(replica).key in self._other_entities

    def adapters(self) -> Iterator[Adapter]:
        """Iterate over all adapters, in no particular order."""
        return (stored.adapter for stored in self._adapters)

    @property
    def adapter_count(self) -> int:
        """The number of adapters."""
        return self._adapters.count

    def revision_of(self, key: str) -> int:
        """Return the revision that last changed an entity, or 0 if the key does not exist."""
        if key.startswith(_ADAPTER_PREFIX):
            stored = self._adapters.get(key.removeprefix(_ADAPTER_PREFIX))
            return stored.revision if stored else 0
        found = self._other_entities.get(key)
        return found[0] if found else 0

    def snapshot(self) -> bytes:
        """Encode the whole catalog."""
        others = [
            (revision, entity, type(entity).__name__)
            for revision, entity in self._other_entities.values()
            if not isinstance(entity, Adapter)
        ]
        return msgspec.msgpack.encode(
            {"revision": self.revision, "adapters": list(self._adapters), "others": others}
        )

    @classmethod
    def from_snapshot(cls, data: bytes) -> Catalog:
        """Build a catalog from an encoded snapshot.

        Raises:
            msgspec.MsgspecError: If the data is not an encoded snapshot.
        """
        raw = msgspec.msgpack.decode(data, type=_RawSnapshot)
        catalog = cls()
        catalog._adapters.put_many([_StoredAdapter(*item) for item in raw.adapters])
        for revision, value, kind in raw.others:
            entity: Entity = msgspec.convert(value, _ENTITY_TYPES[kind])
            catalog._other_entities[entity.key] = (revision, entity)
        catalog.revision = raw.revision
        return catalog

    def _put(self, entity: Entity, revision: int) -> None:
        if isinstance(entity, Adapter):
            self._adapters.put(entity, revision)
        else:
            self._other_entities[entity.key] = (revision, entity)

    def _delete(self, key: str) -> None:
        if key.startswith(_ADAPTER_PREFIX):
            self._adapters.delete(key.removeprefix(_ADAPTER_PREFIX))
        else:
            self._other_entities.pop(key, None)

    def _sorted_other_entities(self) -> list[Entity]:
        return [self._other_entities[key][1] for key in sorted(self._other_entities)]


class _RawSnapshot(msgspec.Struct, frozen=True):
    revision: int
    adapters: list[tuple[int, Adapter]]
    others: list[tuple[int, list[object], str]]


_ENTITY_TYPES: dict[str, type[Workload] | type[Mark] | type[Pin]] = {
    "Workload": Workload,
    "Mark": Mark,
    "Pin": Pin,
}
