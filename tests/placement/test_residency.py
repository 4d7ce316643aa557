"""Where a box believes that adapters stand, and on whose word."""

from __future__ import annotations

from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.placement.residency import LATELY_KEPT, Residency, Versions

KEY = AdapterKey("m", "a")


class World:
    """One replica, and what a box learns of it."""

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


def test_what_a_replica_writes_of_itself_counts_until_the_placer_tells_otherwise() -> None:
    world = World()
    assert world.holders == []
    world.record(HeldAdapter("m", "a", 1))
    assert world.holders == ["i-1"]
    world.residency.record_reported("i-1", [])
    assert world.holders == []
    world.record(HeldAdapter("m", "a", 1), HeldAdapter("m", "b", 1))
    assert world.holders == [], "the row may be older than the placer's word"
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


def test_a_replica_s_own_not_here_counts_until_it_is_newly_told_to_hold_it() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))
    world.residency.deny("i-1", KEY)
    assert world.holders == []
    world.residency.record_reported("i-1", [])
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert world.holders == ["i-1"]


def test_what_was_told_of_a_replica_that_is_not_known_yet_counts_once_it_is() -> None:
    world = World()
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert world.holders == []
    world.record()
    assert world.holders == ["i-1"]


def test_what_a_replica_gave_up_lately_is_at_hand_there() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))

    def _cache_holders() -> list[str]:
        return [replica.instance for replica in world.residency.cache_holders(KEY)]

    assert _cache_holders() == []
    world.residency.record_reported("i-1", [HeldAdapter("m", "b", 1)])
    assert _cache_holders() == ["i-1"]
    world.residency.record_reported("i-1", [HeldAdapter("m", "a", 1)])
    assert _cache_holders() == [], "it stands there again"
    world.residency.record_reported("i-1", [])
    world.versions.record(KEY, 2)
    assert _cache_holders() == [], "what it keeps is an older version"


def test_a_replica_keeps_only_so_much_at_hand_and_nothing_once_it_is_gone() -> None:
    world = World()
    world.record(HeldAdapter("m", "a", 1))
    world.residency.record_reported("i-1", [])
    for number in range(LATELY_KEPT - 1):
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
    assert world.residency.cache_holders(last) == [], "another process has an empty memory"


def test_of_an_earlier_start_nothing_is_kept() -> None:
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
        world.residency.deny("i-1@1", KEY)
    assert world.holders == []
    assert world.residency.cache_holders(KEY) == []
    world.residency.record_reported("i-1@1", [HeldAdapter("m", "a", 1)])
    assert world.holders == [], "a placer that has not heard of the new start yet"
