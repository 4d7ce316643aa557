"""The calibration report compares the placers' estimates with what the logs measured."""

from __future__ import annotations

import json
from typing import Any

import pytest

from bench.calibration import Outcome, outcomes_in
from springrock.placement.planner import COLD_LOAD_S


def line(text: str, at: float, **fields: Any) -> str:
    return f"1.0 box-1 {json.dumps({'text': text, 'timestamp': at, **fields})}"


def granted(request: str, instance: str, *, in_ms: int, at: float = 1.0) -> str:
    return line(
        "placer: Granted an engine.",
        at,
        request=request,
        instance=instance,
        first_event_in_ms=in_ms,
    )


def answered(request: str, *attempts: str, age_ms: int, at: float = 3.0) -> str:
    return line(
        "forwarder: Answered a request.",
        at,
        request=request,
        age_ms=age_ms,
        target_ms=1000,
        attempts=list(attempts),
    )


def test_a_first_event_is_compared_with_its_grant() -> None:
    lines = [
        # The input joins the logs of all boxes, so an answer may come before its grant.
        answered("r-1", "i-1 answered at 0.3 s, record of 0.1 s", age_ms=700),
        granted("r-1", "i-1", in_ms=200),
        granted("r-2", "i-1", in_ms=1500),
        answered("r-2", "i-1 answered at 0.0 s, record of 0.1 s", age_ms=1500),
    ]
    outcomes = list(outcomes_in(lines))
    assert [outcome.kind for outcome in outcomes] == [
        "first event, expected in time",
        "first event, expected late",
    ]
    assert [outcome.ratio for outcome in outcomes] == pytest.approx([2.0, 1.0])


def test_requests_without_a_grant_or_an_answer_are_ignored() -> None:
    lines = [
        "no JSON {",
        granted("r-1", "i-1", in_ms=200),
        answered("r-1", "i-1 failed at 0.3 s, record of 0.1 s", age_ms=700),
        answered("r-2", "i-1 answered at 0.3 s, record of 0.1 s", age_ms=700),
        answered("r-3", age_ms=700),
    ]
    assert list(outcomes_in(lines)) == []


def test_a_load_is_timed_from_its_assignment() -> None:
    where = {"instance": "i-1", "adapter": "m/a"}
    lines = [
        line("placer: Assigned an adapter.", 1.0, **where),
        line("placer: Loaded an adapter.", 1.0 + 2 * COLD_LOAD_S, cold=True, **where),
        line("placer: Loaded an adapter.", 9.0, cold=True, **where),
    ]
    [outcome] = outcomes_in(lines)
    assert outcome.kind == "cold load"
    assert outcome.ratio == pytest.approx(2.0)


def test_a_difference_too_short_to_measure_gives_no_large_ratio() -> None:
    assert Outcome("first event", 0.0, 0.004).ratio == 1.0
