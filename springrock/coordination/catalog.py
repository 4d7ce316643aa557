"""The catalog: what the configuration says, as one box knows it, at one revision.

Adapters are many and mostly idle, so they are not Python objects here: they stand packed in
buckets by hash, and one is decoded when it is asked for.
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
        versions: The versions that can be asked for, ascending.
        current: The version that a request without one gets.
        workloads: Who may use it; empty for everyone.
    """

    name: str
    versions: list[int]
    current: int
    workloads: list[str] = []

    @property
    def key(self) -> str:
        """The entity's key."""
        return f"{_ADAPTER_PREFIX}{self.name}"


class Workload(msgspec.Struct, frozen=True, array_like=True):
    """A workload's share, limits and weights.

    Attributes:
        priority: Added to the priority of its requests.
        share: Its part of a contended replica, relative to other workloads.
        requests_per_s: Its limit over all boxes; 0 for none.
        stall_weight: 0 weighs batch efficiency alone, 1 weighs load stalls alone.
    """

    name: str
    priority: int = 0
    share: float = 1.0
    requests_per_s: float = 0.0
    stall_weight: float = 0.5

    @property
    def key(self) -> str:
        """The entity's key."""
        return f"{_WORKLOAD_PREFIX}{self.name}"


class Mark(msgspec.Struct, frozen=True, array_like=True):
    """An operator's mark on a replica: ``drain/REPLICA``."""

    key: str

    @classmethod
    def drain(cls, replica: str) -> Mark:
        """Return the mark that takes a replica out of service."""
        return cls(f"{_DRAIN_PREFIX}{replica}")


class Pin(msgspec.Struct, frozen=True, array_like=True):
    """An operator's wish that a replica holds an adapter: ``pin/REPLICA/ADAPTER@VERSION``."""

    replica: str
    adapter: str

    @property
    def key(self) -> str:
        """The entity's key."""
        return f"{_PIN_PREFIX}{self.replica}/{self.adapter}"


Entity = Adapter | Workload | Mark | Pin


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change of the configuration.

    Attributes:
        revision: Its place in the order of all changes.
        command_id: The identifier of the operator's command, so that a retry finds it done.
        who: The operator.
        at: When, in seconds since the epoch, by the clock of the box that took it; to read only.
        statement: What the operator wrote.
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
        """Everything that the change writes."""
        return [*self.adapters, *self.workloads, *self.marks, *self.pins]

    @property
    def keys(self) -> list[str]:
        """Every key that the change writes or deletes."""
        return [entity.key for entity in self.entities] + self.deletes


class _Packed(NamedTuple):
    revision: int
    adapter: Adapter


class _Shelf:
    """Adapters packed in buckets of bytes."""

    def __init__(self) -> None:
        self._buckets: list[bytes] = [b""] * _BUCKETS
        self._decoder = msgspec.msgpack.Decoder(list[tuple[int, Adapter]])
        self.count = 0

    def get(self, name: str) -> _Packed | None:
        for packed in self._read(self._index(name)):
            if packed.adapter.name == name:
                return packed
        return None

    def put(self, adapter: Adapter, revision: int) -> None:
        index = self._index(adapter.name)
        kept = [packed for packed in self._read(index) if packed.adapter.name != adapter.name]
        self.count -= len(self._read(index)) - len(kept)
        self._write(index, [*kept, _Packed(revision, adapter)])
        self.count += 1

    def put_many(self, items: list[_Packed]) -> None:
        """Add items to an empty shelf, each bucket packed once."""
        by_index: dict[int, list[_Packed]] = {}
        for item in items:
            by_index.setdefault(self._index(item.adapter.name), []).append(item)
        for index, bucket in by_index.items():
            self._write(index, bucket)
        self.count = len(items)

    def delete(self, name: str) -> None:
        index = self._index(name)
        before = self._read(index)
        kept = [packed for packed in before if packed.adapter.name != name]
        self._write(index, kept)
        self.count -= len(before) - len(kept)

    def __iter__(self) -> Iterator[_Packed]:
        for index in range(_BUCKETS):
            yield from self._read(index)

    def _index(self, name: str) -> int:
        return crc32(name.encode()) % _BUCKETS

    def _read(self, index: int) -> list[_Packed]:
        raw = self._buckets[index]
        return [_Packed(*item) for item in self._decoder.decode(raw)] if raw else []

    def _write(self, index: int, items: list[_Packed]) -> None:
        self._buckets[index] = msgspec.msgpack.encode(items) if items else b""


class Catalog:
    """Everything the configuration says, at one revision that only rises."""

    def __init__(self) -> None:
        self.revision = 0
        self._shelf = _Shelf()
        self._others: dict[str, tuple[int, Entity]] = {}

    def apply(self, change: Change) -> bool:
        """Apply the next change; return False for one that is not the next."""
        if change.revision != self.revision + 1:
            return False
        for entity in change.entities:
            self._put(entity, change.revision)
        for key in change.deletes:
            self._delete(key)
        self.revision = change.revision
        return True

    def adapter(self, name: str) -> Adapter | None:
        """Return an adapter by ``BASE:ADAPTER``."""
        packed = self._shelf.get(name)
        return packed.adapter if packed else None

    def workload(self, name: str) -> Workload | None:
        """Return a workload."""
        found = self._others.get(f"{_WORKLOAD_PREFIX}{name}")
        return found[1] if found and isinstance(found[1], Workload) else None

    def workloads(self) -> list[Workload]:
        """Return all workloads, sorted by name."""
        return [item for item in self._sorted_others() if isinstance(item, Workload)]

    def pins(self, replica: str | None = None) -> list[Pin]:
        """Return the pins of a replica, or all."""
        pins = [item for item in self._sorted_others() if isinstance(item, Pin)]
        return [pin for pin in pins if replica in (None, pin.replica)]

    def marks(self) -> list[Mark]:
        """Return all marks, sorted by key."""
        return [item for item in self._sorted_others() if isinstance(item, Mark)]

    def drained(self, replica: str) -> bool:
        """Whether an operator took a replica out of service."""
        return Mark.drain(replica).key in self._others

    def adapters(self) -> Iterator[Adapter]:
        """Iterate over all adapters, in no order."""
        return (packed.adapter for packed in self._shelf)

    @property
    def adapter_count(self) -> int:
        """How many adapters there are."""
        return self._shelf.count

    def revision_of(self, key: str) -> int:
        """Return the revision in which a key last changed; 0 if it does not exist."""
        if key.startswith(_ADAPTER_PREFIX):
            packed = self._shelf.get(key.removeprefix(_ADAPTER_PREFIX))
            return packed.revision if packed else 0
        found = self._others.get(key)
        return found[0] if found else 0

    def snapshot(self) -> bytes:
        """Encode the whole catalog."""
        others = [
            (revision, entity, type(entity).__name__)
            for revision, entity in self._others.values()
            if not isinstance(entity, Adapter)
        ]
        return msgspec.msgpack.encode(
            {"revision": self.revision, "adapters": list(self._shelf), "others": others}
        )

    @classmethod
    def from_snapshot(cls, data: bytes) -> Catalog:
        """Build a catalog from an encoded snapshot.

        Raises:
            msgspec.MsgspecError: If the data is not a snapshot.
        """
        raw = msgspec.msgpack.decode(data, type=_RawSnapshot)
        catalog = cls()
        catalog._shelf.put_many([_Packed(*item) for item in raw.adapters])
        for revision, value, kind in raw.others:
            entity: Entity = msgspec.convert(value, _KINDS[kind])
            catalog._others[entity.key] = (revision, entity)
        catalog.revision = raw.revision
        return catalog

    def _put(self, entity: Entity, revision: int) -> None:
        if isinstance(entity, Adapter):
            self._shelf.put(entity, revision)
        else:
            self._others[entity.key] = (revision, entity)

    def _delete(self, key: str) -> None:
        if key.startswith(_ADAPTER_PREFIX):
            self._shelf.delete(key.removeprefix(_ADAPTER_PREFIX))
        else:
            self._others.pop(key, None)

    def _sorted_others(self) -> list[Entity]:
        return [self._others[key][1] for key in sorted(self._others)]


class _RawSnapshot(msgspec.Struct, frozen=True):
    revision: int
    adapters: list[tuple[int, Adapter]]
    others: list[tuple[int, list[object], str]]


_KINDS: dict[str, type[Workload] | type[Mark] | type[Pin]] = {
    "Workload": Workload,
    "Mark": Mark,
    "Pin": Pin,
}
