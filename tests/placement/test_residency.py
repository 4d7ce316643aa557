"""Tests of the adapters that a box assumes on each replica, and by which source."""

from __future__ import annotations

from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.placement.residency import MAX_CACHED_ADAPTERS, Residency, Versions

KEY = AdapterKey("m", "a")


class World:
    """One replica, and a box's record of it."""

    def __init__(self) -> None:
        self.directory = Directory(Log("test", "box"))
        self.versions = Versions()
        self.residency = Residency(self.directory, self.versions)

    def record(self, *held: HeldAdapter) -> None:
        self.directory.update(
            ReplicaRecord(
                instance="i-1",
                service="s",
                address="127.0.0.1:1",
                zone="zone-1",
                models=frozenset({"m"}),
                adapters=held,
            )
        )

    @property
    def holders(self) -> list[str]:
        return [replica.instance for replica in self.residency.holders(KEY)]


def test_a_replicas_own_record_counts_until_the_placer_reports_otherwise() -> None:
    world = World()
    assert world.holders == []
    world.record(HeldAdapter("m", "a", 1))
    assert world.holders == ["i-1"]
    world.residency.record_reported("i-1", [])
    assert world.holders == []
    world.record(HeldAdapter("m", "a", 1), HeldAdapter("m", "b", 1))
    assert world.holders == [], "the row may be older than the placer's report"
    world.residency.forget_reported("zone-1")
    assert world.holders == ["i-1"]
    world.directory.remove("i-1")
    assert world.holders == []


def test_an_older_version_than_the_newest_named_does_not_count() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))
    world.versions.record(KEY, 2)
    assert world.holders == []
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 2)])
    assert world.holders == ["i-1"]


def test_a_replicas_denial_counts_until_the_placer_newly_reports_the_adapter() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))
    world.residency.record_missing("i-1", KEY)
    assert world.holders == []
    world.residency.record_reported("i-1", [])
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert world.holders == ["i-1"]


def test_a_report_on_an_unknown_replica_counts_once_the_replica_is_known() -> None:
    world = World()
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert world.holders == []
    world.record()
    assert world.holders == ["i-1"]


def test_a_replica_has_its_recently_unloaded_adapters_cached() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))

    def _cache_holders() -> list[str]:
        return [replica.instance for replica in world.residency.cache_holders(KEY)]

    assert _cache_holders() == []
    world.residency.record_reported("i-1", [HeldAdapter("m", "b", 1)])
    assert _cache_holders() == ["i-1"]
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert _cache_holders() == [], "the replica holds it again"
    world.residency.record_reported("i-1", [])
    world.versions.record(KEY, 2)
    assert _cache_holders() == [], "the cached version is an older one"


def test_a_replicas_cache_is_bounded_and_dropped_with_the_replica() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))
    world.residency.record_reported("i-1", [])
    for number in range(MAX_CACHED_ADAPTERS - 1):
        world.residency.record_reported("i-1", [HeldAdapter("m", f"x{number}", 1)])
    world.residency.record_reported("i-1", [])
    assert world.residency.cache_holders(KEY)
    world.residency.record_reported("i-1", [HeldAdapter("m", "last", 1)])
    world.residency.record_reported("i-1", [])
    assert world.residency.cache_holders(KEY) == []
    last = AdapterKey("m", "last")
    assert world.residency.cache_holders(last)
    world.directory.remove("i-1")
    assert world.residency.cache_holders(last) == []
    world.record()
    assert world.residency.cache_holders(last) == [], "another process has an empty cache"


def test_adapters_of_an_earlier_process_are_dropped() -> None:
    world = World()
    for born_ms in (1, 2):
        world.directory.update(
            ReplicaRecord(
                instance=f"i-1@{born_ms}",
                service="s",
                address="127.0.0.1:1",
                zone="zone-1",
                models=frozenset({"m"}),
                adapters=(HeldAdapter("m", "a", 1),) if born_ms == 1 else (),
                born_ms=born_ms,
            )
        )
        world.residency.record_reported(f"i-1@{born_ms}", [HeldAdapter("m", "b", 1)])
        world.residency.record_missing("i-1@1", KEY)
    assert world.holders == []
    assert world.residency.cache_holders(KEY) == []
    world.residency.record_reported("i-1@1", [HeldAdapter("m", "a", 1)])
    assert world.holders == [], "the placer does not know of the new start yet"
