"""When a silent run is given up for one that was begun beside it."""

from __future__ import annotations

from collections.abc import Callable

from springrock.forwarding.overlap import Overlap

_NEVER = float("-inf")
_STEP_S = 0.1


def given_up_at(
    earlier_heard_at: Callable[[float], float],
    *,
    sent_at: float,
    later_heard_at: Callable[[float], float] = lambda now: now,
) -> float | None:
    """Return when the earlier run is given up within 10 s, asked every tenth of a second."""
    overlap = Overlap()
    for step in range(100):
        now = step * _STEP_S
        if now >= sent_at and overlap.is_too_long(
            now=now,
            earlier_heard_at=earlier_heard_at(now),
            later_sent_at=sent_at,
            later_heard_at=later_heard_at(now),
        ):
            return now
    return None


def test_the_run_at_a_paused_replica_is_kept() -> None:
    assert given_up_at(lambda now: _NEVER, sent_at=2.0) is None
    assert given_up_at(lambda now: min(now, 0.5), sent_at=2.0) is None


def test_the_run_at_a_replica_at_work_is_not_kept_beside_another_for_400_ms() -> None:
    given_up = given_up_at(lambda now: now, sent_at=1.0)
    assert given_up is not None
    assert 1.1 < given_up <= 1.3


def test_a_replica_that_is_heard_every_third_of_a_second_is_at_work() -> None:
    given_up = given_up_at(lambda now: now // 0.4 * 0.4, sent_at=1.0)
    assert given_up is not None
    assert given_up <= 1.3


def test_a_replica_that_speaks_again_has_time_for_the_next_event_of_its_run() -> None:
    given_up = given_up_at(lambda now: now if now >= 3.0 else 0.0, sent_at=1.0)
    assert given_up is not None
    assert 3.1 < given_up <= 3.3


def test_the_run_is_kept_while_the_other_replica_is_not_heard() -> None:
    assert given_up_at(lambda now: now, sent_at=1.0, later_heard_at=lambda now: 0.9) is None
