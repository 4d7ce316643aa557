"""A limited replica never receives more than it tolerates, whatever is lost or replaced."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.permits.limit_world import LimitWorld, apply_load, use_virtual_clock


class LinkToggled(NamedTuple):
    """A box loses its link to the placer, or regains it."""

    box: int


class PlacerReplaced(NamedTuple):
    """Another box becomes the placer."""


class PlacerLost(NamedTuple):
    """The zone has no placer until the next replacement."""


class LoadApplied(NamedTuple):
    """Time passes while each box gets `per_s` requests a second."""

    seconds: float
    per_s: float


Step = LinkToggled | PlacerReplaced | PlacerLost | LoadApplied

_steps = st.lists(
    st.one_of(
        st.builds(LinkToggled, st.integers(0, 3)),
        st.just(PlacerReplaced()),
        st.just(PlacerLost()),
        st.builds(LoadApplied, st.sampled_from([0.3, 1.0, 2.5]), st.sampled_from([0.5, 3.0, 20.0])),
    ),
    max_size=14,
)


def apply_step(world: LimitWorld, step: Step) -> None:
    match step:
        case LinkToggled(number):
            box = world.boxes[number % len(world.boxes)]
            box.linked = not box.linked
            if box.linked:
                world.broadcast(box)
        case PlacerReplaced():
            world.replace_placer()
        case PlacerLost():
            world.placer = None
        case LoadApplied(seconds, per_s):
            apply_load(world, seconds=seconds, per_s=lambda box: per_s)


@settings(max_examples=60, deadline=None)
@given(st.sampled_from([0.0, 0.4, 1.0, 1.3, 3.0, 20.0]), st.integers(1, 4), _steps)
def test_no_window_exceeds_what_the_replica_tolerates(
    per_s: float, boxes: int, steps: list[Step]
) -> None:
    world = LimitWorld(boxes, lambda at: per_s)
    with pytest.MonkeyPatch.context() as patch:
        use_virtual_clock(patch, world)
        apply_load(world, seconds=1.0, per_s=lambda box: 5.0)
        for step in steps:
            apply_step(world, step)
        apply_load(world, seconds=4.5, per_s=lambda box: 20.0)
        assert world.excess() <= 0


def test_boxes_that_lose_the_placer_at_once_add_little_to_what_it_counts() -> None:
    for per_s in (0.4, 1.0, 3.0, 20.0, 60.0):
        world = LimitWorld(4, lambda at, named=per_s: named)
        with pytest.MonkeyPatch.context() as patch:
            use_virtual_clock(patch, world)
            apply_load(world, seconds=1.0, per_s=lambda box: 5.0)
            for box in world.boxes[1:]:
                box.linked = False
            apply_load(world, seconds=6.0, per_s=lambda box: 40.0)
            assert world.excess() <= 0, per_s


def test_boxes_that_lose_the_placer_one_after_the_other_add_little_to_what_it_counts() -> None:
    for per_s in (1.0, 3.0, 20.0, 60.0):
        world = LimitWorld(4, lambda at, named=per_s: named)
        with pytest.MonkeyPatch.context() as patch:
            use_virtual_clock(patch, world)
            apply_load(world, seconds=1.0, per_s=lambda box: 5.0)
            for box in world.boxes[1:]:
                box.linked = False
                apply_load(world, seconds=1.0, per_s=lambda box: 40.0)
            apply_load(world, seconds=6.0, per_s=lambda box: 40.0)
            assert world.excess() <= 0, per_s


@pytest.mark.parametrize(("first", "then"), [(20.0, 1.0), (1.0, 20.0), (3.0, 0.0), (0.5, 3.0)])
def test_a_changed_limit_is_enforced_and_used_soon_after(
    monkeypatch: pytest.MonkeyPatch, first: float, then: float
) -> None:
    world = LimitWorld(4, lambda at: first if at < 8.0 else then)
    use_virtual_clock(monkeypatch, world)
    apply_load(world, seconds=12.0, per_s=lambda box: 20.0)
    result = apply_load(world, seconds=8.0, per_s=lambda box: 20.0)
    assert world.excess() <= 0
    assert result.sent >= 0.9 * then * 8.0 - 1


def test_the_end_of_a_limit_is_detected_within_two_seconds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = LimitWorld(4, lambda at: 1.0 if at < 8.0 else None)
    use_virtual_clock(monkeypatch, world)
    apply_load(world, seconds=10.0, per_s=lambda box: 5.0)
    result = apply_load(world, seconds=4.0, per_s=lambda box: 5.0)
    assert result.sent == result.requested


def test_a_limit_of_zero_is_probed_and_its_end_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = LimitWorld(4, lambda at: 0.0 if at < 12.0 else None)
    use_virtual_clock(monkeypatch, world)
    apply_load(world, seconds=12.0, per_s=lambda box: 5.0)
    assert world.excess() <= 0
    apply_load(world, seconds=4.5, per_s=lambda box: 5.0)
    result = apply_load(world, seconds=2.0, per_s=lambda box: 5.0)
    assert result.sent == result.requested


def test_boxes_without_a_placer_send_their_share(monkeypatch: pytest.MonkeyPatch) -> None:
    world = LimitWorld(3, lambda at: 2.0)
    use_virtual_clock(monkeypatch, world)
    apply_load(world, seconds=3.0, per_s=lambda box: 5.0)
    world.placer = None
    result = apply_load(world, seconds=10.0, per_s=lambda box: 5.0)
    assert world.excess() <= 0
    assert result.sent >= 0.8 * 2.0 * 10.0
