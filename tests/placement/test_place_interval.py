"""Tests of the estimated interval between freed places."""

from __future__ import annotations

import pytest

from springrock.placement.place_interval import PlaceInterval


def record_for(
    interval: PlaceInterval, *, seconds: float, place_every_s: float, begins_at: float
) -> None:
    """Record plans with waiting adapters, in which a place is assigned at even intervals."""
    step_s = 0.05
    next_at = begins_at + place_every_s
    for step in range(round(seconds / step_s)):
        now = begins_at + step * step_s
        assigned = int(now >= next_at)
        next_at += place_every_s * assigned
        interval.record(assigned=assigned, is_short=True, now=now)


def test_the_initial_estimate_is_short() -> None:
    assert PlaceInterval().estimate_s == pytest.approx(0.15)


def test_the_interval_is_measured_while_places_are_short() -> None:
    interval = PlaceInterval()
    record_for(interval, seconds=10.0, place_every_s=0.5, begins_at=100.0)
    assert interval.estimate_s == pytest.approx(0.5, rel=0.2)
    record_for(interval, seconds=10.0, place_every_s=0.2, begins_at=110.0)
    assert interval.estimate_s == pytest.approx(0.2, rel=0.2)


def test_time_without_waiting_adapters_does_not_count() -> None:
    interval = PlaceInterval()
    interval.record(assigned=0, is_short=False, now=100.0)
    interval.record(assigned=1, is_short=False, now=160.0)
    assert interval.estimate_s == pytest.approx(0.15)


def test_the_estimate_is_bounded_if_no_place_becomes_free() -> None:
    interval = PlaceInterval()
    record_for(interval, seconds=60.0, place_every_s=600.0, begins_at=100.0)
    assert interval.estimate_s == pytest.approx(1.5)
