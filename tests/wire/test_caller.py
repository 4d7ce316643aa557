from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.errors import Cause, Refusal, RunState
from springrock.wire import caller as wire


def terms(headers: dict[str, str]) -> object:
    return wire.parse_terms(
        headers, workload="", default_deadline_s=60.0, longest_deadline_s=120.0, repeatable=True
    )


@given(st.binary(max_size=200))
def test_no_body_breaks_the_parser(raw: bytes) -> None:
    for chat in (False, True):
        result = wire.parse_body(raw, chat=chat)
        if result.is_error():
            assert result.error.cause is Cause.MALFORMED_REQUEST
            assert result.error.run_state is RunState.NOT_RUN


@given(
    st.dictionaries(
        st.sampled_from(["model", "prompt", "messages", "max_tokens", "stream", "other"]),
        st.none() | st.integers() | st.text(max_size=8) | st.lists(st.integers(), max_size=2),
    )
)
def test_no_json_breaks_the_parser(body: dict[str, object]) -> None:
    wire.parse_body(json.dumps(body).encode(), chat=False)


@given(
    st.dictionaries(
        st.sampled_from(
            [wire.DEADLINE_HEADER, wire.WORTH_HEADER, wire.PRIORITY_HEADER, wire.REPEATABLE_HEADER]
        ),
        st.text(max_size=12),
    )
)
def test_no_header_breaks_the_parser(headers: dict[str, str]) -> None:
    result = terms(headers)
    if result.is_ok():  # type: ignore[attr-defined]
        assert 0 < result.ok.deadline_s <= 120.0  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    "headers",
    [
        {wire.DEADLINE_HEADER: "0"},
        {wire.DEADLINE_HEADER: "nan"},
        {wire.WORTH_HEADER: "-1"},
        {wire.WORTH_HEADER: "inf"},
        {wire.PRIORITY_HEADER: "101"},
        {wire.REPEATABLE_HEADER: "maybe"},
        {wire.REQUEST_ID_HEADER: "x" * 200},
    ],
)
def test_invalid_terms_are_refused(headers: dict[str, str]) -> None:
    result = terms(headers)
    assert result.error.cause is Cause.MALFORMED_REQUEST  # type: ignore[attr-defined]


def test_an_error_body_has_the_cause_the_run_state_and_the_retry_delay() -> None:
    refusal = Refusal(Cause.CANNOT_FINISH, "too long", RunState.NOT_RUN, 2.2)
    error = json.loads(wire.error_body(refusal, "r-1"))["error"]
    assert error == {
        "type": "cannot_finish",
        "message": "too long",
        "run_state": "not_run",
        "retry_after_s": 2.2,
        "request_id": "r-1",
    }
    assert wire.retry_after_header(refusal) == "3"
    assert wire.status_of(refusal) == 503


def test_every_cause_has_a_status() -> None:
    for cause in Cause:
        assert 400 <= wire.status_of(Refusal(cause, "")) < 600
