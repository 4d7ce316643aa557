"""What a box knows, told to one that starts while the store answers nobody."""

from __future__ import annotations

from collections.abc import Sequence

import gevent
import pytest

from springrock.clock import monotonic
from springrock.errors import PeerRejected
from springrock.forwarding.directory import Directory
from springrock.log import Log
from springrock.placement import state_fetcher
from springrock.placement.messages import Hello, KnownState, decode, encode
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.state_fetcher import StateFetcher
from springrock.placement.state_provider import StateProvider
from springrock.placement.succession import Successor
from springrock.rows import Row, TableReading
from springrock.table_follower import TableFollower
from tests.test_table_follower import Listener, ScriptedStore

ZONES = ("zone-1", "zone-2")
TABLES = ("op", "replicas")
HELLO = Hello("box-9", "", "", "zone-1", asks_state=True)
SUCCESSOR = Successor("box-2", "2", "127.0.0.1:2", 2, 64, 7, ["1"])


def reading(table: str, version: int, value: bytes = b"1") -> TableReading:
    return TableReading(table, 0, version, [Row("a", value, version)], whole=True)


class Box:
    """What one box knows, told to who asks, and learnt from others."""

    def __init__(self, zones: Sequence[str] = ZONES) -> None:
        log = Log("state", "test")
        self.listeners = {table: Listener() for table in TABLES}
        self.followers = [
            TableFollower(ScriptedStore(), table, listener, pause_s=0.0, log=log)  # type: ignore[arg-type]
            for table, listener in self.listeners.items()
        ]
        self.board = PlacerBoard(age_s=lambda: 0.0)
        self.directory = Directory(log)
        self.zones = zones
        self.source_zone = StateProvider(
            zones=zones,
            followers=self.followers,
            board=self.board,
            directory=self.directory,
            log=log,
        )

    def learn(self, version: int, *, age_s: float = 0.0, value: bytes = b"1") -> None:
        for follower in self.followers:
            reported = reading(follower.table, version, value)
            follower.apply_copy(reported, newest_at=monotonic() - age_s)

    def ask(self, *others: Box | Exception) -> None:
        """Ask other boxes, by frames as they go over a link, until all is known."""
        seeds = {f"seed-{number}": other for number, other in enumerate(others)}

        def _fetch(seed: str) -> KnownState:
            asked = seeds[seed]
            if isinstance(asked, Exception):
                raise asked
            state = decode(encode(asked.source_zone.answer(HELLO)))
            assert isinstance(state, KnownState)
            return state

        requester = StateFetcher(
            list(seeds),
            fetch=_fetch,
            zones=self.zones,
            followers=self.followers,
            board=self.board,
            directory=self.directory,
            log=Log("state", "test"),
        )
        with gevent.Timeout(5.0):
            requester.run()

    def values(self) -> list[dict[str, bytes]]:
        return [listener.rows for listener in self.listeners.values()]


@pytest.fixture(autouse=True)
def no_wait_for_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(state_fetcher, "_STORE_ONLY_S", 0.0)


@pytest.fixture
def knowing() -> Box:
    return Box()


@pytest.fixture
def other() -> Box:
    return Box()


def test_a_box_learns_all_tables_and_how_old_they_are(knowing: Box) -> None:
    knowing.learn(7, age_s=2.0)
    knowing.board.record_successor("placer/zone-1", SUCCESSOR)
    fresh = Box()
    fresh.ask(knowing)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]
    assert all(2.0 <= follower.staleness_s < 4.0 for follower in fresh.followers)
    assert all(2.0 <= follower.age_s < 4.0 for follower in fresh.followers)
    assert fresh.board.successors() == [("placer/zone-1", SUCCESSOR)]


def test_what_was_learnt_from_another_box_grows_no_younger_when_it_is_told_on(
    knowing: Box, other: Box
) -> None:
    knowing.learn(7, age_s=2.0)
    other.ask(knowing)
    fresh = Box()
    fresh.ask(other)
    assert all(follower.staleness_s >= 2.0 for follower in fresh.followers)


def test_the_newest_of_what_several_tell_counts(knowing: Box, other: Box) -> None:
    knowing.learn(7, age_s=9.0, value=b"old")
    other.learn(8, age_s=1.0, value=b"new")
    for others in ((knowing, other), (other, knowing)):
        fresh = Box()
        fresh.ask(*others)
        assert fresh.values() == [{"a": b"new"}, {"a": b"new"}]
        assert all(follower.staleness_s < 4.0 for follower in fresh.followers)


def test_a_copy_never_replaces_what_is_newer() -> None:
    box = Box()
    box.learn(8, age_s=1.0, value=b"new")
    box.learn(7, age_s=0.0, value=b"old")
    assert box.values() == [{"a": b"new"}, {"a": b"new"}]
    assert all(follower.staleness_s >= 1.0 for follower in box.followers)


def test_who_does_not_know_all_tables_tells_none(knowing: Box) -> None:
    follower = knowing.followers[0]
    follower.apply_copy(reading(follower.table, 7), newest_at=monotonic())
    assert knowing.source_zone.answer(HELLO).tables == []


def test_a_box_of_other_zones_is_not_believed(knowing: Box, other: Box) -> None:
    stranger = Box(zones=("zone-1", "elsewhere"))
    stranger.learn(9, value=b"strange")
    knowing.learn(7)
    fresh = Box()
    fresh.ask(stranger, knowing)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]


def test_seeds_that_are_gone_or_something_else_are_passed_over(knowing: Box) -> None:
    knowing.learn(7)
    fresh = Box()
    fresh.ask(ConnectionRefusedError("gone"), PeerRejected("a text frame"), knowing)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]


def test_a_box_tells_only_so_many_a_second(knowing: Box) -> None:
    knowing.learn(7)
    states = [knowing.source_zone.answer(HELLO) for _ in range(20)]
    refused = [state for state in states if state.retry_after_ms]
    assert 0 < len(states) - len(refused) <= 10
    assert all(not state.tables and 0 < state.retry_after_ms <= 1000 for state in refused)


def test_a_large_state_fits_in_one_frame() -> None:
    box = Box()
    for follower in box.followers:
        rows = [
            Row(f"replica-{number}", b'{"service":"language","adapters":["a%d"]}' % number * 8, 1)
            for number in range(4000)
        ]
        follower.apply_copy(TableReading(follower.table, 0, 1, rows, whole=True), newest_at=0.0)
    frame = encode(box.source_zone.answer(HELLO))
    assert len(frame) < 1_048_576
    assert isinstance(decode(frame), KnownState)
