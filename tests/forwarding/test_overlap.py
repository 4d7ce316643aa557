"""When a silent run is given up for one that was begun beside it."""

from __future__ import annotations

from collections.abc import Callable

from springrock.forwarding.overlap import Overlap

_NEVER = float("-inf")
_STEP_S = 0.1


def given_up_at(heard_at: Callable[[float], float], *, sent_at: float | None) -> float | None:
    """Return when the run is given up within 10 s, asked every tenth of a second."""
    overlap = Overlap()
    for step in range(100):
        now = step * _STEP_S
        sent = sent_at if sent_at is not None and sent_at <= now else None
        if overlap.is_too_long(now=now, heard_at=heard_at(now), sent_at=sent):
            return now
    return None


def test_the_run_at_a_paused_replica_is_kept() -> None:
    assert given_up_at(lambda now: _NEVER, sent_at=1.0) is None
    assert given_up_at(lambda now: min(now, 0.5), sent_at=1.0) is None


def test_the_run_at_a_replica_at_work_is_not_kept_beside_another_for_400_ms() -> None:
    given_up = given_up_at(lambda now: now, sent_at=1.0)
    assert given_up is not None
    assert 1.2 < given_up <= 1.4


def test_a_replica_that_speaks_again_has_time_for_the_next_event_of_its_run() -> None:
    given_up = given_up_at(lambda now: now if now >= 3.0 else 0.0, sent_at=1.0)
    assert given_up is not None
    assert 3.2 < given_up <= 3.4


def test_the_only_run_is_kept_however_long_it_is_silent() -> None:
    assert given_up_at(lambda now: now, sent_at=None) is None
