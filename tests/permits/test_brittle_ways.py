"""Compares two ways to bound what a brittle replica turns away: places that are counted, or shares.

`python -m tests.permits.test_brittle_ways` prints the part of the replica's room that each way
uses, and how many requests the replica turned away in its worst second.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import pytest

from springrock.permits import brittle
from tests.permits.brittle_world import WORK_S, BrittleWorld, use_virtual_clock

ROOM = 4
DEMAND = 2.0
"""The demand, in multiples of what the replica could serve."""

_CONTACT_S = 3.0
_OBSERVED_S = 10.0


class Way(NamedTuple):
    """What one way gives.

    Attributes:
        used: The part of the replica's room that was used.
        worst: How many requests the replica turned away in its worst second.
    """

    used: float
    worst: int


def play(*, boxes: int, per_s: float, counted: bool, head_first: bool = True) -> Way:
    """Play one way with even demand."""
    world = BrittleWorld(
        boxes,
        per_s=per_s,
        room_of=lambda at: 1000 if at < _CONTACT_S else ROOM,
        max_report_s=0.02,
        head_first=head_first,
    )
    if not counted:
        world.placer = None
    rate = DEMAND * ROOM / WORK_S / boxes
    with pytest.MonkeyPatch.context() as patch:
        use_virtual_clock(patch, world)
        # The whole bound is shared out, as no placer counts a part of it.
        patch.setattr(
            brittle, "uncounted_places", lambda per_s, *, boxes: math.floor(per_s) // boxes
        )
        world.apply_load(seconds=_CONTACT_S + 1.0, per_s=rate)
        already = len(world.served)
        world.apply_load(seconds=_OBSERVED_S, per_s=rate)
    used = (len(world.served) - already) / (_OBSERVED_S * ROOM / WORK_S)
    return Way(round(used, 2), world.worst_second())


CASES = [(boxes, per_s) for boxes in (4, 40) for per_s in (3.0, 8.0, 20.0, 60.0)]


@pytest.mark.parametrize(("boxes", "per_s"), CASES)
def test_counted_places_keep_the_bound_and_leave_no_replica_unused(
    boxes: int, per_s: float
) -> None:
    way = play(boxes=boxes, per_s=per_s, counted=True)
    assert way.worst <= per_s
    assert way.used >= 0.1


def main() -> None:
    """Print a table of both ways."""
    for boxes, per_s in CASES:
        ways = [play(boxes=boxes, per_s=per_s, counted=counted) for counted in (True, False)]
        print(f"| {boxes}, {per_s:g} |", " | ".join(f"{way.used:.2f}, {way.worst}" for way in ways))


if __name__ == "__main__":
    main()
