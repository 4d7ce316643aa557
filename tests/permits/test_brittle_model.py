"""A brittle replica never turns away more than it bears, whatever is lost, late or replaced."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.permits.brittle_world import WORK_S, BrittleWorld, use_virtual_clock

_AMPLE = 1000
_CONTACT_S = 3.0


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
        st.builds(LinkToggled, st.integers(0, 5)),
        st.just(PlacerReplaced()),
        st.just(PlacerLost()),
        st.builds(LoadApplied, st.sampled_from([0.3, 1.0, 2.5]), st.sampled_from([3.0, 40.0])),
    ),
    max_size=12,
)


def apply_step(world: BrittleWorld, step: Step) -> None:
    match step:
        case LinkToggled(number):
            box = world.boxes[number % len(world.boxes)]
            box.linked = not box.linked
        case PlacerReplaced():
            world.replace_placer()
        case PlacerLost():
            world.placer = None
        case LoadApplied(seconds, per_s):
            world.apply_load(seconds=seconds, per_s=per_s)


@settings(max_examples=60, deadline=None)
@given(
    per_s=st.sampled_from([1.0, 2.0, 3.5, 8.0, 30.0]),
    boxes=st.integers(1, 6),
    room=st.integers(0, 4),
    head_first=st.booleans(),
    seed=st.integers(0, 1000),
    steps=_steps,
)
def test_no_second_exceeds_what_the_replica_bears(
    per_s: float, boxes: int, room: int, head_first: bool, seed: int, steps: list[Step]
) -> None:
    world = BrittleWorld(
        boxes,
        per_s=per_s,
        room_of=lambda at: _AMPLE if at < _CONTACT_S else room,
        head_first=head_first,
        seed=seed,
    )
    with pytest.MonkeyPatch.context() as patch:
        use_virtual_clock(patch, world)
        world.apply_load(seconds=_CONTACT_S, per_s=20.0)
        for step in steps:
            apply_step(world, step)
        world.apply_load(seconds=2.0, per_s=40.0)
        assert world.worst_second() <= per_s


@pytest.mark.parametrize("head_first", [True, False])
@pytest.mark.parametrize(("boxes", "per_s"), [(4, 8.0), (7, 3.0), (40, 3.0), (40, 20.0)])
def test_the_room_of_a_brittle_replica_is_used(
    monkeypatch: pytest.MonkeyPatch, boxes: int, per_s: float, head_first: bool
) -> None:
    room = 4
    world = BrittleWorld(
        boxes,
        per_s=per_s,
        room_of=lambda at: _AMPLE if at < _CONTACT_S else room,
        max_report_s=0.02,
        head_first=head_first,
    )
    use_virtual_clock(monkeypatch, world)
    world.apply_load(seconds=_CONTACT_S + 1.0, per_s=80.0 / boxes)
    already = len(world.served)
    world.apply_load(seconds=10.0, per_s=80.0 / boxes)
    assert world.worst_second() <= per_s
    assert len(world.served) - already >= 0.1 * 10.0 * room / WORK_S
