from __future__ import annotations

import random
from itertools import pairwise

import pytest

from bench.soak.faults import FAULTS
from bench.soak.faults.partitions import WAYS, BoxesCutOff
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


@pytest.mark.parametrize("name", FAULTS.names)
def test_a_play_of_one_fault_has_it_several_times_and_no_other(name: str) -> None:
    fault = FAULTS[name]
    for seed in range(9):
        schedule = draw_schedule(seed, seconds=60.0, shape=SHAPE, only=name)
        assert {one.fault for one in schedule.planned} == {name}
        assert len(schedule.planned) >= 2
        for one, following in pairwise(schedule.planned):
            assert one.ends_s < following.begins_s
        for one in schedule.planned:
            assert fault.shortest_s - 0.002 <= one.ends_s - one.begins_s
            assert not any(start < one.ends_s - 0.001 < end for start, end in schedule.quiets)


def test_a_play_of_one_fault_is_the_same_for_the_same_seed() -> None:
    name = FAULTS.names[0]
    first, second = (draw_schedule(4, seconds=60.0, shape=SHAPE, only=name) for _ in range(2))
    assert first == second


def test_boxes_that_are_cut_off_from_replicas_and_their_links_to_the_store_are_sound() -> None:
    for seed in range(40):
        planned = draw(seed).planned
        for cut in (one for one in planned if one.fault == "boxes_cut_off"):
            for box in cut.targets[1:]:
                others = [
                    one
                    for one in planned
                    if {f"box/{box}", f"link/{box}>store"} & FAULTS[one.fault].claims(one.targets)
                ]
                assert all(one.ends_s < cut.begins_s or one.begins_s > cut.ends_s for one in others)


def test_boxes_are_cut_off_in_all_ways_one_by_one_and_by_zone() -> None:
    cuts = [one for seed in range(99) for one in draw(seed).planned if one.fault == "boxes_cut_off"]
    assert {cut.targets[0] for cut in cuts} == set(WAYS)
    assert {cut.targets[1:] for cut in cuts} >= {
        ("box-1",),
        ("box-1", "box-3"),
        ("box-2", "box-4"),
    }


def test_most_boxes_of_a_zone_are_cut_off() -> None:
    shape = Shape.from_boxes(8)
    sizes = {len(BoxesCutOff().targets(random.Random(seed), shape)) - 1 for seed in range(99)}
    assert sizes == {1, 3, 4}
