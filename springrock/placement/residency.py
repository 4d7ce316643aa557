"""Which adapters stand on which replicas, as far as this box knows.

Three witnesses, the freshest first: what this box's own requests were told, what the placer says
of its own orders, and what the replicas write of themselves about every second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory, HeldAdapter, Replica, ReplicaRecord
from springrock.forwarding.message import AdapterKey

_DENIED_S = 1.0
"""How long a replica's own "not here" outweighs other witnesses that do not change."""


class Versions:
    """The newest version named for each adapter; versions only rise."""

    def __init__(self) -> None:
        self._newest: dict[AdapterKey, int] = {}

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""
        return self._newest.get(key, 0)

    def note(self, key: AdapterKey, version: int) -> None:
        """Learn of a version."""
        self._newest[key] = max(version, self.newest(key))


class Residency:
    """Answers where an adapter can be used.

    Args:
        directory: The known replicas.
        versions: The newest versions.
    """

    def __init__(self, directory: Directory, versions: Versions) -> None:
        self._directory = directory
        self._versions = versions
        self._told: dict[str, tuple[HeldAdapter, ...]] = {}
        self._denied: dict[tuple[str, AdapterKey], float] = {}
        self.on_change: list[Callable[[AdapterKey], None]] = []
        directory.on_change.append(self._replica_changed)

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""
        denied_until = self._denied.get((replica.instance, key))
        if denied_until is not None:
            if monotonic() < denied_until:
                return False
            del self._denied[(replica.instance, key)]
        newest = self._versions.newest(key)
        return any(
            held.key == key and held.version >= newest for held in self._adapters_of(replica)
        )

    def deny(self, instance: str, key: AdapterKey) -> None:
        """Learn from a replica itself that it does not hold an adapter."""
        self._denied[(instance, key)] = monotonic() + _DENIED_S

    def note_told(self, instance: str, adapters: Iterable[HeldAdapter]) -> None:
        """Learn from the placer what a replica holds."""
        before = self._told.get(instance, ())
        now = tuple(adapters)
        self._told[instance] = now
        for held in now:
            if held not in before:
                self._denied.pop((instance, held.key), None)
                self._notify(held.key)

    def forget_told(self, zone: str) -> None:
        """Lose the placer of a zone: go by what its replicas write of themselves."""
        for instance in list(self._told):
            replica = self._directory.find(instance)
            if replica is None or replica.record.zone == zone:
                del self._told[instance]

    def _adapters_of(self, replica: Replica) -> Iterable[HeldAdapter]:
        told = self._told.get(replica.instance)
        return replica.record.adapters if told is None else told

    def _replica_changed(self, record: ReplicaRecord | None, instance: str) -> None:
        if record is None:
            self._told.pop(instance, None)
            return
        for held in record.adapters:
            self._notify(held.key)

    def _notify(self, key: AdapterKey) -> None:
        for listener in self.on_change:
            listener(key)
