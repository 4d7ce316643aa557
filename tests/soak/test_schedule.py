from __future__ import annotations

from itertools import pairwise

import pytest

from bench.soak.faults import FAULTS
from bench.soak.schedule import QUIET_S, Schedule, draw_schedule
from bench.soak.shape import Shape

SHAPE = Shape.from_boxes(4)


def draw(seed: int, seconds: float = 120.0) -> Schedule:
    return draw_schedule(seed, seconds=seconds, shape=SHAPE)


def test_the_same_seed_draws_the_same_schedule() -> None:
    assert draw(7) == draw(7)
    assert draw(7).lines() == draw(7).lines()


def test_other_seeds_draw_other_schedules() -> None:
    assert len({draw(seed).planned for seed in range(20)}) == 20


def test_every_fault_is_drawn() -> None:
    names = {one.fault for seed in range(20) for one in draw(seed).planned}
    assert names == set(FAULTS.names)


@pytest.mark.parametrize("seed", range(20))
def test_no_resource_has_two_faults_at_once(seed: int) -> None:
    claimed_until: dict[str, float] = {}
    for one in draw(seed).planned:
        for claim in FAULTS[one.fault].claims(one.targets):
            assert claimed_until.get(claim, 0.0) < one.begins_s
            claimed_until[claim] = one.ends_s


@pytest.mark.parametrize("seconds", [15.0, 20.0, 45.0, 120.0])
def test_every_quiet_span_is_without_faults_and_long_enough(seconds: float) -> None:
    schedule = draw(3, seconds)
    assert schedule.quiets[-1][1] == pytest.approx(seconds)
    for start, end in schedule.quiets:
        assert end - start == pytest.approx(QUIET_S)
        for one in schedule.planned:
            assert one.ends_s <= start + 0.001 or one.begins_s >= end


@pytest.mark.parametrize("seed", range(20))
def test_the_length_of_a_fault_is_within_its_bounds(seed: int) -> None:
    for one in draw(seed).planned:
        fault = FAULTS[one.fault]
        length_s = one.ends_s - one.begins_s
        assert fault.shortest_s - 0.002 <= length_s <= fault.longest_s + 0.002


def test_some_faults_overlap_and_others_do_not() -> None:
    planned = draw(5).planned
    assert any(one.begins_s < other.ends_s for other, one in pairwise(planned))
    assert any(one.begins_s > other.ends_s for other in planned for one in planned)


def test_separately_drawn_faults_do_not_change_other_draws(monkeypatch: pytest.MonkeyPatch) -> None:
    separate = [fault for fault in FAULTS if fault.separate_probability]
    names = {fault.name for fault in separate}
    with_separate = [
        [one for one in draw(seed).planned if one.fault not in names] for seed in range(9)
    ]
    for fault in separate:
        assert fault.weight == 0.0
        monkeypatch.setattr(fault, "separate_probability", 0.0)
    assert [list(draw(seed).planned) for seed in range(9)] == with_separate
