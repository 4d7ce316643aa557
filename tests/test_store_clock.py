"""Bounds on the store's clock, from which the age of readings is computed."""

from __future__ import annotations

import pytest

from springrock import store_clock as module
from springrock.store_clock import StoreClock


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """The local clock, set by its one element."""
    clock = [1000.0]
    monkeypatch.setattr(module, "monotonic", lambda: clock[0])
    return clock


def test_conversions_are_unknown_before_the_first_call() -> None:
    assert StoreClock().earliest_local(5.0) is None
    assert StoreClock().earliest_store(5.0) is None


def test_a_call_bounds_times_by_its_start_and_end(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.0, received_at=1000.0)
    assert clock.earliest_local(50.0) == pytest.approx(999.0)
    assert clock.earliest_store(1000.0) == pytest.approx(50.0)


def test_a_fast_call_narrows_the_bounds_and_a_slow_one_does_not_widen_them(
    now: list[float],
) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.0, received_at=1000.0)
    clock.record(50.1, sent_at=999.6, received_at=999.7)
    clock.record(51.0, sent_at=999.0, received_at=1004.0)
    now[0] = 1004.0
    assert clock.earliest_local(50.1) == pytest.approx(999.6, abs=0.01)
    assert clock.earliest_store(999.7) == pytest.approx(50.1, abs=0.01)


def test_bounds_widen_with_their_age(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=1000.0, received_at=1000.0)
    now[0] = 2000.0
    assert clock.earliest_local(1050.0) == pytest.approx(1999.5)


def test_bounds_are_replaced_when_the_store_s_clock_restarts(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.9, received_at=1000.0)
    clock.record(1.0, sent_at=1000.1, received_at=1000.2)
    assert clock.earliest_local(1.0) == pytest.approx(1000.1)
