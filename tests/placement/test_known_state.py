"""Copies of tables that a box provides to one that starts while the store does not answer."""

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
    return TableReading(table, 0, version, [Row("a", value, version)], is_full_table=True)


class Box:
    """A box that provides its tables to others and can copy theirs."""

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
        self.provider = StateProvider(
            zones=zones,
            followers=self.followers,
            board=self.board,
            directory=self.directory,
            log=log,
        )

    def apply_tables(self, version: int, *, age_s: float = 0.0, value: bytes = b"1") -> None:
        for follower in self.followers:
            reported = reading(follower.table, version, value)
            follower.apply_copy(reported, newest_at=monotonic() - age_s)

    def fetch_from(self, *others: Box | Exception) -> None:
        """Ask other boxes, with encoded messages as on a link, until all tables are known."""
        seeds = {f"seed-{number}": other for number, other in enumerate(others)}

        def _fetch(seed: str) -> KnownState:
            source = seeds[seed]
            if isinstance(source, Exception):
                raise source
            state = decode(encode(source.provider.answer(HELLO)))
            assert isinstance(state, KnownState)
            return state

        fetcher = StateFetcher(
            list(seeds),
            fetch=_fetch,
            zones=self.zones,
            followers=self.followers,
            board=self.board,
            directory=self.directory,
            log=Log("state", "test"),
        )
        with gevent.Timeout(5.0):
            fetcher.run()

    def values(self) -> list[dict[str, bytes]]:
        return [listener.rows for listener in self.listeners.values()]


@pytest.fixture(autouse=True)
def skip_store_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(state_fetcher, "_STORE_ONLY_S", 0.0)


@pytest.fixture
def informed() -> Box:
    return Box()


@pytest.fixture
def other() -> Box:
    return Box()


def test_a_box_copies_all_tables_with_their_ages(informed: Box) -> None:
    informed.apply_tables(7, age_s=2.0)
    informed.board.record_successor("placer/zone-1", SUCCESSOR)
    fresh = Box()
    fresh.fetch_from(informed)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]
    assert all(2.0 <= follower.staleness_s < 4.0 for follower in fresh.followers)
    assert all(2.0 <= follower.age_s < 4.0 for follower in fresh.followers)
    assert fresh.board.successors() == [("placer/zone-1", SUCCESSOR)]


def test_a_copied_table_keeps_its_age_when_it_is_copied_again(informed: Box, other: Box) -> None:
    informed.apply_tables(7, age_s=2.0)
    other.fetch_from(informed)
    fresh = Box()
    fresh.fetch_from(other)
    assert all(follower.staleness_s >= 2.0 for follower in fresh.followers)


def test_the_newest_of_several_copies_is_kept(informed: Box, other: Box) -> None:
    informed.apply_tables(7, age_s=9.0, value=b"old")
    other.apply_tables(8, age_s=1.0, value=b"new")
    for others in ((informed, other), (other, informed)):
        fresh = Box()
        fresh.fetch_from(*others)
        assert fresh.values() == [{"a": b"new"}, {"a": b"new"}]
        assert all(follower.staleness_s < 4.0 for follower in fresh.followers)


def test_a_copy_never_replaces_a_newer_table() -> None:
    box = Box()
    box.apply_tables(8, age_s=1.0, value=b"new")
    box.apply_tables(7, age_s=0.0, value=b"old")
    assert box.values() == [{"a": b"new"}, {"a": b"new"}]
    assert all(follower.staleness_s >= 1.0 for follower in box.followers)


def test_a_box_without_all_tables_provides_none(informed: Box) -> None:
    follower = informed.followers[0]
    follower.apply_copy(reading(follower.table, 7), newest_at=monotonic())
    assert informed.provider.answer(HELLO).tables == []


def test_the_tables_of_a_box_of_another_deployment_are_rejected(informed: Box, other: Box) -> None:
    stranger = Box(zones=("zone-1", "elsewhere"))
    stranger.apply_tables(9, value=b"strange")
    informed.apply_tables(7)
    fresh = Box()
    fresh.fetch_from(stranger, informed)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]


def test_seeds_that_are_down_or_not_a_box_are_skipped(informed: Box) -> None:
    informed.apply_tables(7)
    fresh = Box()
    fresh.fetch_from(ConnectionRefusedError("gone"), PeerRejected("a text frame"), informed)
    assert fresh.values() == [{"a": b"1"}, {"a": b"1"}]


def test_a_box_answers_a_bounded_number_of_requests_a_second(informed: Box) -> None:
    informed.apply_tables(7)
    states = [informed.provider.answer(HELLO) for _ in range(20)]
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
        follower.apply_copy(
            TableReading(follower.table, 0, 1, rows, is_full_table=True), newest_at=0.0
        )
    frame = encode(box.provider.answer(HELLO))
    assert len(frame) < 1_048_576
    assert isinstance(decode(frame), KnownState)
