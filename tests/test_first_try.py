"""The report on the outcomes of first tries and retries, as read from the logs."""

from __future__ import annotations

import json

import pytest

from bench.first_try import LATE_WORTH, Ending, FirstTries, endings_in


def ending(**changes: object) -> Ending:
    default = Ending(served=True, age_s=0.4, target_s=1.0, is_retry=False, reason="")
    return default._replace(**changes)  # type: ignore[arg-type]


def test_only_first_tries_count_and_late_ones_count_less() -> None:
    totals = FirstTries.from_endings(
        [
            ending(),
            ending(age_s=1.5),
            ending(served=False, reason="load_not_in_time", age_s=0.1),
            ending(is_retry=True),
            ending(is_retry=True, served=False, age_s=2.0),
        ]
    )
    assert totals.first == 3
    assert totals.worth == pytest.approx((1.0 + LATE_WORTH) / 3)
    assert (totals.retries, totals.failed_retries) == (2, 1)
    assert totals.waited_s == [0.1, 2.0]
    assert totals.refusals == {"load_not_in_time": [0.1]}


def test_endings_are_found_among_other_lines() -> None:
    fields = {
        "text": "forwarder: Refused a request.",
        "status": 503,
        "age_ms": 120,
        "target_ms": 1000,
        "returning": True,
        "reason": "load_not_in_time",
    }
    lines = [
        f"  3.1 box-1 {json.dumps(fields)}\n",
        '  3.2 box-1 {"text": "forwarder: Answered a request.", "status": 20',
        '  3.3 box-1 {"text": "door: Something else."}',
    ]
    [found] = endings_in(lines)
    assert found == ending(served=False, age_s=0.12, is_retry=True, reason="load_not_in_time")


def test_an_empty_log_gives_no_division_by_zero() -> None:
    assert next(iter(FirstTries.from_endings([]).lines())) == "first tries 0, worth 0.000"
