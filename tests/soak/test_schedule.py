from __future__ import annotations

from itertools import pairwise

import pytest

from bench.soak.faults import FAULTS
from bench.soak.schedule import QUIET_S, Schedule, draw_schedule
from bench.soak.shape import Shape

SHAPE = Shape.from_boxes(4)


def drawn(seed: int, seconds: float = 120.0) -> Schedule:
    return draw_schedule(seed, seconds=seconds, shape=SHAPE)


def test_the_same_seed_draws_the_same_schedule() -> None:
    assert drawn(7) == drawn(7)
    assert drawn(7).lines() == drawn(7).lines()


def test_other_seeds_draw_other_schedules() -> None:
    assert len({drawn(seed).planned for seed in range(20)}) == 20


def test_every_fault_is_drawn() -> None:
    names = {one.fault for seed in range(20) for one in drawn(seed).planned}
    assert names == set(FAULTS.names)


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_befallen_by_two_faults_at_once(seed: int) -> None:
    taken: dict[str, float] = {}
    for one in drawn(seed).planned:
        for claim in FAULTS[one.fault].claims(one.targets):
            assert taken.get(claim, 0.0) < one.begins_s
            taken[claim] = one.ends_s


@pytest.mark.parametrize("seconds", [15.0, 20.0, 45.0, 120.0])
def test_every_quiet_span_is_quiet_and_long_enough(seconds: float) -> None:
    schedule = drawn(3, seconds)
    assert schedule.quiets[-1][1] == pytest.approx(seconds)
    for start, end in schedule.quiets:
        assert end - start == pytest.approx(QUIET_S)
        for one in schedule.planned:
            assert one.ends_s <= start + 0.001 or one.begins_s >= end


@pytest.mark.parametrize("seed", range(20))
def test_a_fault_lasts_as_long_as_it_says(seed: int) -> None:
    for one in drawn(seed).planned:
        fault = FAULTS[one.fault]
        length_s = one.ends_s - one.begins_s
        assert fault.shortest_s - 0.002 <= length_s <= fault.longest_s + 0.002


def test_faults_overlap_and_follow_each_other() -> None:
    planned = drawn(5).planned
    assert any(one.begins_s < other.ends_s for other, one in pairwise(planned))
    assert any(one.begins_s > other.ends_s for other in planned for one in planned)


def test_a_fault_that_is_drawn_apart_changes_nothing_else(monkeypatch: pytest.MonkeyPatch) -> None:
    apart = [fault for fault in FAULTS if fault.drawn_apart]
    names = {fault.name for fault in apart}
    with_it = [[one for one in drawn(seed).planned if one.fault not in names] for seed in range(9)]
    for fault in apart:
        assert fault.weight == 0.0
        monkeypatch.setattr(fault, "drawn_apart", 0.0)
    assert [list(drawn(seed).planned) for seed in range(9)] == with_it
