"""What all connections hold together: its bounds, and which is evicted."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from springrock.intake import LARGE_BYTES, Intake, IntakeLimits, NoRoom, Reservation
from springrock.log import Condition, Journal, Line, Log
from springrock.memory_size import memory_bytes

KB = 1_024
LIMIT = 1_024 * KB
LARGE_LIMIT = 768 * KB


class Crowd:
    """An intake and its reservations; one that is evicted is noted."""

    def __init__(self, *, connections: int = 100) -> None:
        self.intake = Intake(IntakeLimits(held_bytes=LIMIT, connections=connections))
        self.interrupted: list[int] = []
        self.reservations: list[Reservation] = []

    def open(self, *, held: int = 0, whole: bool = False) -> Reservation:
        number = len(self.reservations)
        reservation = self.intake.open(lambda: self.interrupted.append(number))
        self.reservations.append(reservation)
        if held:
            reservation.take(held)
        if whole:
            reservation.keep()
        return reservation


def test_the_large_request_that_has_rested_for_the_longest_gives_way() -> None:
    crowd = Crowd()
    first, second = crowd.open(held=300 * KB), crowd.open(held=300 * KB)
    first.take(KB)
    crowd.open(held=300 * KB)
    assert (crowd.interrupted, second.evicted) == ([1], True)
    assert crowd.intake.held_bytes == 601 * KB


def test_small_requests_find_room_beside_large_ones_that_were_read_whole() -> None:
    """Guards against requests that wait for replicas and keep all other callers out."""
    crowd = Crowd()
    for _ in range(2):
        crowd.open(held=384 * KB, whole=True)
    with pytest.raises(NoRoom):
        crowd.open(held=100 * KB)
    crowd.reservations[-1].close()
    for _ in range(10):
        crowd.open(held=20 * KB, whole=True)
    assert crowd.interrupted == []


def test_a_large_request_gives_way_to_a_small_one_before_small_ones_do() -> None:
    crowd = Crowd()
    for _ in range(32):
        crowd.open(held=10 * KB)
    crowd.open(held=700 * KB)
    crowd.open(held=10 * KB)
    assert crowd.interrupted == [32]


def test_many_small_requests_give_way_to_each_other() -> None:
    crowd = Crowd(connections=1_000)
    for _ in range(40):
        crowd.open(held=32 * KB)
    assert crowd.interrupted == list(range(8))


def test_a_request_that_was_read_whole_gives_way_to_none() -> None:
    crowd = Crowd()
    for _ in range(32):
        crowd.open(held=32 * KB, whole=True)
    with pytest.raises(NoRoom):
        crowd.open(held=KB)
    assert crowd.interrupted == []


def test_a_single_request_may_be_longer_than_the_limit() -> None:
    crowd = Crowd()
    reservation = crowd.open(held=3 * LIMIT)
    reservation.keep()
    assert not reservation.evicted


def test_a_connection_holds_nothing_while_it_rests() -> None:
    crowd = Crowd()
    reservation = crowd.open(held=500 * KB, whole=True)
    reservation.rest()
    assert (crowd.intake.held_bytes, crowd.intake.connections) == (0, 1)
    reservation.close()
    reservation.close()
    assert crowd.intake.connections == 0


def test_the_connection_that_has_rested_for_the_longest_gives_way_to_a_new_one() -> None:
    crowd = Crowd(connections=3)
    crowd.open(whole=True, held=KB)
    crowd.open(held=KB)
    crowd.open()
    crowd.open()
    assert crowd.interrupted == [2]
    crowd.reservations[3].take(KB)
    crowd.open()
    assert crowd.interrupted == [2, 1]


def test_no_connection_is_taken_while_all_others_are_served() -> None:
    crowd = Crowd(connections=2)
    crowd.open(held=KB, whole=True)
    crowd.open(held=KB, whole=True)
    with pytest.raises(NoRoom):
        crowd.open()
    assert crowd.intake.connections == 2


def test_a_request_that_came_with_the_one_before_does_not_rest() -> None:
    """Guards against a request that is served while its connection counts as resting."""
    crowd = Crowd(connections=1)
    reservation = crowd.open(held=KB, whole=True)
    reservation.rest()
    reservation.take(0)
    reservation.keep()
    with pytest.raises(NoRoom):
        crowd.open()


@pytest.mark.parametrize(
    ("memory", "descriptors", "held", "connections"),
    [
        (300_000_000, 4_100, 60_000_000, 2_288),
        (160_000_000, 1_638, 32_000_000, 1_092),
        (64_000_000_000, 1_000_000, 64 * 1_048_576, 488_281),
        (1_000_000, 2, 200_000, 1),
    ],
)
def test_the_limits_follow_from_the_machine(
    memory: int, descriptors: int, held: int, connections: int
) -> None:
    limits = IntakeLimits.from_machine(memory=memory, descriptors=descriptors)
    assert (limits.held_bytes, limits.connections) == (held, connections)


@pytest.mark.parametrize(
    ("content", "limited"), [("1000000\n", True), ("max\n", False), (None, False)]
)
def test_the_memory_is_that_of_the_control_group_if_it_has_less(
    tmp_path: Path, content: str | None, limited: bool
) -> None:
    path = tmp_path / "memory.max"
    if content is not None:
        path.write_text(content)
    found = memory_bytes(cgroup_limit=path)
    assert (found == 1_000_000) is limited
    assert found > 0


class IntakeMachine(RuleBasedStateMachine):
    """Any order of what connections do; the sums hold at each step."""

    @initialize()
    def begin(self) -> None:
        self.crowd = Crowd(connections=8)
        self.whole: set[Reservation] = set()

    def _pick(self, number: int) -> Reservation | None:
        live = [reservation for reservation in self.crowd.reservations if not reservation.evicted]
        return live[number % len(live)] if live else None

    @rule()
    def open(self) -> None:
        try:
            self.crowd.open()
        except NoRoom:
            assert len(self.whole) == 8

    @rule(number=strategies.integers(0, 99), size=strategies.integers(0, 400 * KB))
    def take(self, number: int, size: int) -> None:
        reservation = self._pick(number)
        if reservation is None or reservation in self.whole:
            return
        try:
            reservation.take(size)
        except NoRoom:
            self._drop(reservation)

    @rule(number=strategies.integers(0, 99))
    def keep(self, number: int) -> None:
        reservation = self._pick(number)
        if reservation is not None and reservation.held_bytes:
            reservation.keep()
            self.whole.add(reservation)

    @rule(number=strategies.integers(0, 99))
    def rest(self, number: int) -> None:
        reservation = self._pick(number)
        if reservation is not None:
            reservation.rest()
            self.whole.discard(reservation)

    @rule(number=strategies.integers(0, 99))
    def close(self, number: int) -> None:
        reservation = self._pick(number)
        if reservation is not None:
            self._drop(reservation)

    def _drop(self, reservation: Reservation) -> None:
        reservation.close()
        self.whole.discard(reservation)
        self.crowd.reservations.remove(reservation)

    @invariant()
    def sums_are_right(self) -> None:
        held = [reservation.held_bytes for reservation in self.crowd.reservations]
        assert self.crowd.intake.held_bytes == sum(held)
        live = sum(not reservation.evicted for reservation in self.crowd.reservations)
        assert self.crowd.intake.connections == live

    @invariant()
    def bounds_hold(self) -> None:
        held = [reservation.held_bytes for reservation in self.crowd.reservations]
        large = [size for size in held if size > LARGE_BYTES]
        assert sum(held) <= max([LIMIT, *held])
        assert sum(large) <= max([LARGE_LIMIT, *large])
        assert self.crowd.intake.connections <= 8

    @invariant()
    def none_that_was_read_whole_is_evicted(self) -> None:
        assert not any(reservation.evicted for reservation in self.whole)


TestIntakeMachine = IntakeMachine.TestCase
TestIntakeMachine.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)


def test_evicted_bytes_count_until_their_connection_is_closed() -> None:
    """Guards against a sum that leaves out what evicted connections have not released yet."""
    crowd = Crowd()
    evicted = crowd.open(held=700 * KB)
    taking, small = crowd.open(held=700 * KB), crowd.open(held=KB)
    assert (evicted.evicted, taking.must_wait, small.must_wait) == (True, True, False)
    assert crowd.intake.held_bytes == 701 * KB
    evicted.close()
    evicted.close()
    assert not taking.must_wait


class Texts(Journal):
    """A journal that keeps the text of all lines."""

    def __init__(self) -> None:
        super().__init__()
        self.all: list[str] = []

    def add(self, line: Line) -> None:
        self.all.append(line.text)


def test_connections_without_room_are_counted_and_logged_once() -> None:
    texts = Texts()
    refused: list[None] = []
    intake = Intake(
        IntakeLimits(held_bytes=LIMIT, connections=10),
        on_refused=lambda: refused.append(None),
        crowded=Condition(Log("intake", "box-1", texts), begins="Too many.", ends="Room."),
    )
    reservations = [intake.open(lambda: None) for _ in range(12)]
    assert texts.all == ["intake: Too many."]
    assert not refused, "resting connections were evicted"
    for reservation in reservations:
        reservation.take(1)
        reservation.keep()
    for _ in range(3):
        with pytest.raises(NoRoom):
            intake.open(lambda: None)
    assert len(refused) == 3
    for reservation in reservations[2:5]:
        reservation.close()
    intake.open(lambda: None)
    assert texts.all == ["intake: Too many.", "intake: Room."]
