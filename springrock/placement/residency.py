"""The adapters that each replica holds, as known to this box without a placer.

There are three sources, the most recent first: the answers to this box's own requests, the reports
of the placers on their engines, and the records that the replicas write about every second.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable

from springrock.clock import monotonic
from springrock.forwarding.directory import Directory, HeldAdapter, Replica, ReplicaRecord
from springrock.forwarding.message import AdapterKey

_DENIAL_VALID_S = 1.0
"""Time for which a replica's answer that it lacks an adapter overrides other, unchanged sources."""

MAX_CACHED_ADAPTERS = 30
"""Number of unloaded adapters that a replica is assumed to keep in its cache.

Of 197 adapters that a replica loaded again from the weight store although it had held them, 143 had
been followed there by more adapters than this.
"""


class Versions:
    """The newest version named for each adapter; versions only rise."""

    def __init__(self) -> None:
        self._newest: dict[AdapterKey, int] = {}

    def newest(self, key: AdapterKey) -> int:
        """Return the newest named version; 0 if none was named."""
        return self._newest.get(key, 0)

    def record(self, key: AdapterKey, version: int) -> None:
        """Record a version that was named; an older one changes nothing."""
        self._newest[key] = max(version, self.newest(key))


class Residency:
    """Finds the replicas that hold an adapter.

    Args:
        directory: The known replicas.
        versions: The newest versions of adapters.
    """

    def __init__(self, directory: Directory, versions: Versions) -> None:
        self._directory = directory
        self._versions = versions
        self._reported: dict[str, tuple[HeldAdapter, ...]] = {}
        self._held: dict[str, tuple[HeldAdapter, ...]] = {}
        self._versions_at: dict[AdapterKey, dict[str, int]] = {}
        self._missing_until: dict[tuple[str, AdapterKey], float] = {}
        self._cached: dict[str, OrderedDict[AdapterKey, int]] = {}
        self._cached_at: dict[AdapterKey, set[str]] = {}
        directory.on_change.append(self._handle_replica_change)

    def holds(self, replica: Replica, key: AdapterKey) -> bool:
        """Whether a replica holds the newest known version of an adapter."""
        version = self._versions_at.get(key, {}).get(replica.instance)
        if version is None or version < self._versions.newest(key):
            return False
        return not self._is_denied(replica.instance, key)

    def holders(self, key: AdapterKey) -> list[Replica]:
        """Return the replicas that hold the newest known version of an adapter."""
        known = (self._directory.find(instance) for instance in self._versions_at.get(key, {}))
        return [replica for replica in known if replica is not None and self.holds(replica, key)]

    def adapters_in_zone(self, zone: str) -> list[AdapterKey]:
        """Return the adapters on the replicas of a zone, those with the most copies first."""
        copies = Counter(
            held.key
            for replica in self._directory.in_zone(zone)
            for held in self._held.get(replica.instance, ())
        )
        return [key for key, _ in copies.most_common()]

    def cache_holders(self, key: AdapterKey) -> list[Replica]:
        """Return the replicas that unloaded an adapter recently and so have it in their cache."""
        newest = self._versions.newest(key)
        known = (
            self._directory.find(instance)
            for instance in self._cached_at.get(key, ())
            if self._cached[instance][key] >= newest
        )
        return [replica for replica in known if replica is not None]

    def record_missing(self, instance: str, key: AdapterKey) -> None:
        """Record a replica's answer that it does not hold an adapter."""
        self._missing_until[(instance, key)] = monotonic() + _DENIAL_VALID_S

    def record_reported(self, instance: str, adapters: Iterable[HeldAdapter]) -> None:
        """Record the adapters that a replica holds, as its placer reports."""
        before = self._held.get(instance, ())
        self._reported[instance] = tuple(adapters)
        for held in self._reported[instance]:
            if held not in before:
                self._missing_until.pop((instance, held.key), None)
        self._index(instance)

    def forget_reported(self, zone: str) -> None:
        """Drop the reports of a zone's placer, and use the records of its replicas instead."""
        for instance in list(self._reported):
            replica = self._directory.find(instance)
            if replica is None or replica.record.zone == zone:
                del self._reported[instance]
                self._index(instance)

    def _is_denied(self, instance: str, key: AdapterKey) -> bool:
        until = self._missing_until.get((instance, key))
        if until is None:
            return False
        if monotonic() < until:
            return True
        del self._missing_until[(instance, key)]
        return False

    def _handle_replica_change(self, record: ReplicaRecord | None, instance: str) -> None:
        if record is None:
            self._reported.pop(instance, None)
        self._index(instance)
        if record is None:
            for key in self._cached.pop(instance, {}):
                self._forget_cached(instance, key)
            for denied in [denied for denied in self._missing_until if denied[0] == instance]:
                del self._missing_until[denied]

    def _index(self, instance: str) -> None:
        """Update the index from adapters to replicas after a change of one replica."""
        replica = self._directory.find(instance)
        recorded = () if replica is None else replica.record.adapters
        now = self._reported.get(instance, recorded)
        before = self._held.get(instance, ())
        if now == before:
            return
        for held in before:
            existing = self._versions_at[held.key]
            del existing[instance]
            if not existing:
                del self._versions_at[held.key]
        self._record_unload(instance, before, now)
        for held in now:
            self._versions_at.setdefault(held.key, {})[instance] = held.version
        if now:
            self._held[instance] = now
        else:
            self._held.pop(instance, None)

    def _record_unload(
        self, instance: str, before: Iterable[HeldAdapter], now: Iterable[HeldAdapter]
    ) -> None:
        existing = {held.key for held in now}
        cached_adapters = self._cached.setdefault(instance, OrderedDict())
        for key in existing & cached_adapters.keys():
            del cached_adapters[key]
            self._forget_cached(instance, key)
        for held in before:
            if held.key not in existing:
                cached_adapters[held.key] = held.version
                self._cached_at.setdefault(held.key, set()).add(instance)
        while len(cached_adapters) > MAX_CACHED_ADAPTERS:
            key, _ = cached_adapters.popitem(last=False)
            self._forget_cached(instance, key)

    def _forget_cached(self, instance: str, key: AdapterKey) -> None:
        instances = self._cached_at[key]
        instances.discard(instance)
        if not instances:
            del self._cached_at[key]
