"""A limited replica gets what it bears and no more, whatever is lost or replaced."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.permits.limit_world import LimitWorld, press, quiet_and_virtual


class Cut(NamedTuple):
    """A box loses its link to the placer, or has it again."""

    box: int


class Replaced(NamedTuple):
    """Another box places."""


class Lost(NamedTuple):
    """Nobody places for a while."""


class Passed(NamedTuple):
    """Time passes under pressure: so many requests a second at each box."""

    seconds: float
    per_s: float


Step = Cut | Replaced | Lost | Passed

_steps = st.lists(
    st.one_of(
        st.builds(Cut, st.integers(0, 3)),
        st.just(Replaced()),
        st.just(Lost()),
        st.builds(Passed, st.sampled_from([0.3, 1.0, 2.5]), st.sampled_from([0.5, 3.0, 20.0])),
    ),
    max_size=14,
)


def take(world: LimitWorld, step: Step) -> None:
    match step:
        case Cut(number):
            box = world.boxes[number % len(world.boxes)]
            box.linked = not box.linked
            if box.linked:
                world.broadcast(box)
        case Replaced():
            world.replace_placer()
        case Lost():
            world.placer = None
        case Passed(seconds, per_s):
            press(world, seconds=seconds, per_s=lambda box: per_s)


@settings(max_examples=60, deadline=None)
@given(st.sampled_from([0.0, 0.4, 1.0, 1.3, 3.0, 20.0]), st.integers(1, 4), _steps)
def test_no_window_sees_more_than_the_replica_bears(
    per_s: float, boxes: int, steps: list[Step]
) -> None:
    world = LimitWorld(boxes, lambda at: per_s)
    with pytest.MonkeyPatch.context() as patch:
        quiet_and_virtual(patch, world)
        press(world, seconds=1.0, per_s=lambda box: 5.0)
        for step in steps:
            take(world, step)
        press(world, seconds=4.5, per_s=lambda box: 20.0)
        assert world.excess() <= 0


@pytest.mark.parametrize(("first", "then"), [(20.0, 1.0), (1.0, 20.0), (3.0, 0.0), (0.5, 3.0)])
def test_a_limit_that_changes_is_kept_and_used_soon_after(
    monkeypatch: pytest.MonkeyPatch, first: float, then: float
) -> None:
    world = LimitWorld(4, lambda at: first if at < 8.0 else then)
    quiet_and_virtual(monkeypatch, world)
    press(world, seconds=12.0, per_s=lambda box: 20.0)
    pressed = press(world, seconds=8.0, per_s=lambda box: 20.0)
    assert world.excess() <= 0
    assert pressed.sent >= 0.9 * then * 8.0 - 1


def test_a_limit_that_ends_is_known_to_have_ended_within_two_seconds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = LimitWorld(4, lambda at: 1.0 if at < 8.0 else None)
    quiet_and_virtual(monkeypatch, world)
    press(world, seconds=10.0, per_s=lambda box: 5.0)
    pressed = press(world, seconds=4.0, per_s=lambda box: 5.0)
    assert pressed.sent == pressed.wanted


def test_a_limit_of_nothing_is_asked_about_and_its_end_is_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = LimitWorld(4, lambda at: 0.0 if at < 12.0 else None)
    quiet_and_virtual(monkeypatch, world)
    press(world, seconds=12.0, per_s=lambda box: 5.0)
    assert world.excess() <= 0
    press(world, seconds=4.5, per_s=lambda box: 5.0)
    pressed = press(world, seconds=2.0, per_s=lambda box: 5.0)
    assert pressed.sent == pressed.wanted


def test_boxes_without_a_placer_send_their_share(monkeypatch: pytest.MonkeyPatch) -> None:
    world = LimitWorld(3, lambda at: 2.0)
    quiet_and_virtual(monkeypatch, world)
    press(world, seconds=3.0, per_s=lambda box: 5.0)
    world.placer = None
    pressed = press(world, seconds=10.0, per_s=lambda box: 5.0)
    assert world.excess() <= 0
    assert pressed.sent >= 0.8 * 2.0 * 10.0
