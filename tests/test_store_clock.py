"""What a box knows of the store's clock, and how old told readings are by it."""

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


def test_before_any_call_nothing_is_known() -> None:
    assert StoreClock().earliest_local(5.0) is None
    assert StoreClock().earliest_store(5.0) is None


def test_moments_are_bounded_by_question_and_answer(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.0, received_at=1000.0)
    assert clock.earliest_local(50.0) == pytest.approx(999.0)
    assert clock.earliest_store(1000.0) == pytest.approx(50.0)


def test_a_quicker_call_narrows_the_bounds_and_a_slow_one_does_not_widen_them(
    now: list[float],
) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.0, received_at=1000.0)
    clock.record(50.1, sent_at=999.6, received_at=999.7)
    clock.record(51.0, sent_at=999.0, received_at=1004.0)
    now[0] = 1004.0
    assert clock.earliest_local(50.1) == pytest.approx(999.6, abs=0.01)
    assert clock.earliest_store(999.7) == pytest.approx(50.1, abs=0.01)


def test_what_was_learnt_long_ago_counts_for_less(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=1000.0, received_at=1000.0)
    now[0] = 2000.0
    assert clock.earliest_local(1050.0) == pytest.approx(1999.5)


def test_a_store_that_starts_its_clock_anew_is_learnt_anew(now: list[float]) -> None:
    clock = StoreClock()
    clock.record(50.0, sent_at=999.9, received_at=1000.0)
    clock.record(1.0, sent_at=1000.1, received_at=1000.2)
    assert clock.earliest_local(1.0) == pytest.approx(1000.1)
