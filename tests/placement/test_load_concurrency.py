"""Tests of the adaptive limit on concurrent loads."""

from __future__ import annotations

from springrock.placement.load_concurrency import LoadConcurrency


def test_the_limit_rises_with_fast_loads_and_falls_with_slow_ones() -> None:
    pace = LoadConcurrency()
    first = pace.at_once
    for _ in range(50):
        pace.record(0.25)
    most = pace.at_once
    assert most > first
    for _ in range(10):
        pace.record(0.6)
    assert pace.at_once < most
    for _ in range(200):
        pace.record(0.24 if pace.at_once < 12 else 0.6)
    assert 10 < pace.at_once < 14, "it stays near the number at which loads become slow"


def test_the_limit_stays_within_its_bounds() -> None:
    pace = LoadConcurrency()
    pace.record(0.1)
    for _ in range(500):
        pace.record(5.0)
    assert pace.at_once >= 4
    for _ in range(5000):
        pace.record(0.1)
    assert pace.at_once <= 40


def test_the_full_speed_duration_follows_a_lasting_slowdown() -> None:
    pace = LoadConcurrency()
    pace.record(0.1)
    for _ in range(1000):
        pace.record(0.3)
    assert pace.at_once > 8


def test_one_load_of_half_the_duration_does_not_make_the_others_count_as_slow() -> None:
    """Guards against a limit of 40 that fell to 4 after one fast load and stayed there."""
    pace = LoadConcurrency()
    for _ in range(400):
        pace.record(0.32)
    most = pace.at_once
    for _ in range(20):
        pace.record(0.154)
        for _ in range(60):
            pace.record(0.32)
    assert pace.at_once == most
