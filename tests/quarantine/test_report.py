"""Rows of crash reports, whoever wrote them."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from springrock.forwarding.fingerprint import DIGITS
from springrock.quarantine.report import MAX_REQUESTS, CrashReport, new_key, report_from
from springrock.rows import Row

texts = st.text(max_size=40)
anything = st.recursive(
    st.none() | st.booleans() | st.integers() | texts,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4),
    max_leaves=8,
)
fields = st.fixed_dictionaries(
    {}, optional={"box": anything, "instance": anything, "requests": anything}
)


@given(st.binary(max_size=80) | (anything | fields).map(msgspec.json.encode))
def test_any_row_is_read_as_a_report_or_as_none(value: bytes) -> None:
    report = report_from(Row("crash/1", value, 1))
    for fingerprint in [] if report is None else report.fingerprints:
        assert len(fingerprint) == DIGITS


def test_a_report_of_too_many_requests_is_none() -> None:
    report = CrashReport("box-1", "i-1", ["a" * DIGITS] * (MAX_REQUESTS + 1))
    assert report_from(Row("crash/1", msgspec.json.encode(report), 1)) is None


def test_no_two_reports_have_one_key() -> None:
    assert len({new_key() for _ in range(100)}) == 100
