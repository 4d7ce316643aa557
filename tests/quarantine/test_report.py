"""Decoding rows of crash reports, well-formed or not."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.forwarding.fingerprint import FINGERPRINT_DIGITS
from springrock.quarantine.report import MAX_REQUESTS, CrashReport, new_key, report_from
from springrock.rows import Row
from tests.builds import LAST_RELEASE, build_at

texts = st.text(max_size=40)
anything = st.recursive(
    st.none() | st.booleans() | st.integers() | texts,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4),
    max_leaves=8,
)
fields = st.fixed_dictionaries(
    {},
    optional=dict.fromkeys(("box", "instance", "requests", "shared", "cleared"), anything),
)


@given(st.binary(max_size=80) | (anything | fields).map(msgspec.json.encode))
def test_any_row_decodes_to_a_report_or_none(value: bytes) -> None:
    report = report_from(Row("crash/1", value, 1))
    for fingerprint in [] if report is None else report.fingerprints:
        assert len(fingerprint) == FINGERPRINT_DIGITS


def test_a_report_with_too_many_requests_is_malformed() -> None:
    report = CrashReport("box-1", "i-1", ["a" * FINGERPRINT_DIGITS] * (MAX_REQUESTS + 1))
    assert report_from(Row("crash/1", msgspec.json.encode(report), 1)) is None


_READ_BY_BUILD = """
import sys
from springrock.quarantine.report import report_from
from springrock.rows import Row
report = report_from(Row("crash/1", sys.stdin.buffer.read(), 1))
print(report.instance, *report.requests)
"""


@pytest.mark.parametrize("instance", ["i-1", ""])
def test_the_previous_release_reads_reports_with_parts_as_it_reads_its_own(
    tmp_path: Path, instance: str
) -> None:
    whole, part = "a" * FINGERPRINT_DIGITS, "b" * FINGERPRINT_DIGITS
    report = CrashReport("box-1", instance, [whole], [part], [part])
    ran = subprocess.run(
        [sys.executable, "-c", _READ_BY_BUILD],
        cwd=build_at(LAST_RELEASE, tmp_path),
        input=msgspec.json.encode(report),
        capture_output=True,
        check=True,
    )
    assert ran.stdout.decode().strip() == f"{instance} {whole}".strip()


def test_keys_of_reports_are_unique() -> None:
    assert len({new_key() for _ in range(100)}) == 100
