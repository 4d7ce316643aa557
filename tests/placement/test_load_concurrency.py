"""Tests of the adaptive limit on concurrent loads."""

from __future__ import annotations

from springrock.placement.load_concurrency import LoadConcurrency


def test_the_limit_rises_with_fast_loads_and_falls_with_slow_ones() -> None:
    concurrency = LoadConcurrency()
    first = concurrency.limit
    for _ in range(50):
        concurrency.record(0.25)
    most = concurrency.limit
    assert most > first
    for _ in range(10):
        concurrency.record(0.6)
    assert concurrency.limit < most
    for _ in range(200):
        concurrency.record(0.24 if concurrency.limit < 12 else 0.6)
    assert 10 < concurrency.limit < 14, "it stays near the number at which loads become slow"


def test_the_limit_stays_within_its_bounds() -> None:
    concurrency = LoadConcurrency()
    concurrency.record(0.1)
    for _ in range(500):
        concurrency.record(5.0)
    assert concurrency.limit >= 4
    for _ in range(5000):
        concurrency.record(0.1)
    assert concurrency.limit <= 40


def test_the_full_speed_duration_follows_a_lasting_slowdown() -> None:
    concurrency = LoadConcurrency()
    concurrency.record(0.1)
    for _ in range(1000):
        concurrency.record(0.3)
    assert concurrency.limit > 8


def test_one_load_of_half_the_duration_does_not_make_the_others_count_as_slow() -> None:
    """Guards against a limit of 40 that fell to 4 after one fast load and stayed there."""
    concurrency = LoadConcurrency()
    for _ in range(400):
        concurrency.record(0.32)
    most = concurrency.limit
    for _ in range(20):
        concurrency.record(0.154)
        for _ in range(60):
            concurrency.record(0.32)
    assert concurrency.limit == most
