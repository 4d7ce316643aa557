"""How many adapters are brought at once."""

from __future__ import annotations

from springrock.placement.load_concurrency import LoadConcurrency


def test_more_are_brought_at_once_while_they_come_fast_and_fewer_when_slow() -> None:
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
    assert 10 < pace.at_once < 14, "it stays about where loads become slow"


def test_there_is_always_something_under_way_and_never_without_bound() -> None:
    pace = LoadConcurrency()
    pace.record(0.1)
    for _ in range(500):
        pace.record(5.0)
    assert pace.at_once >= 4
    for _ in range(5000):
        pace.record(0.1)
    assert pace.at_once <= 40


def test_a_lasting_change_of_speed_is_learned() -> None:
    pace = LoadConcurrency()
    pace.record(0.1)
    for _ in range(1000):
        pace.record(0.3)
    assert pace.at_once > 8


def test_one_load_of_half_the_time_does_not_make_the_others_look_slow() -> None:
    """Before: 40 at once fell to 4 and stayed there; now they stay."""
    pace = LoadConcurrency()
    for _ in range(400):
        pace.record(0.32)
    most = pace.at_once
    for _ in range(20):
        pace.record(0.154)
        for _ in range(60):
            pace.record(0.32)
    assert pace.at_once == most
