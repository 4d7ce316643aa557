"""Whatever is wrong with JSON of another program, its decoder has one error for it."""

from __future__ import annotations

import contextlib

import msgspec
import pytest

from springrock.coordination.stored import stored_value
from springrock.errors import PlatformGarbage
from springrock.placement.origin_rows import OriginRow
from springrock.placement.placer_row import PlacerRow, placer_row_from
from springrock.platform.records import MalformedRecord, configuration_from, version_from
from springrock.platform.replica_rows import ReplicaRowMalformed, replica_from
from springrock.quarantine.report import report_from
from springrock.rows import Row
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire import caller
from springrock.wire.engine import decode_chunk
from tests.odd_values import NESTED, NUMBERS, with_value


class Fields(msgspec.Struct):
    number: int = 0
    share: float = 0.0
    text: str = ""


every_nested = pytest.mark.parametrize("value", NESTED.values(), ids=NESTED)


@every_nested
@pytest.mark.parametrize("name", ["number", "text", "other"])
def test_deep_nesting_is_malformed(name: str, value: bytes) -> None:
    with pytest.raises(MalformedJson):
        decode_json(with_value({}, name, value), Fields)


@pytest.mark.parametrize("value", [b"", b"{", b'{"text":"\xff"}', b'{"text":1}', b"[]", b"nope"])
def test_what_is_not_of_the_type_is_malformed(value: bytes) -> None:
    with pytest.raises(MalformedJson):
        decode_json(value, Fields)


def test_fields_of_later_builds_are_skipped() -> None:
    assert decode_json(b'{"number":1,"more":[{}]}', Fields) == Fields(number=1)


@every_nested
def test_no_nested_row_passes_or_breaks_its_reader(value: bytes) -> None:
    row = Row("k", with_value({}, "more", value), 1)
    assert placer_row_from(row) is None
    assert report_from(row) is None
    with pytest.raises(MalformedRecord):
        configuration_from(row)
    with pytest.raises(MalformedRecord):
        version_from(row)
    with pytest.raises(ReplicaRowMalformed):
        replica_from(row, knows_zone=lambda zone: True)
    for kind in (PlacerRow, OriginRow):
        with pytest.raises(PlatformGarbage):
            stored_value(row.value, kind)


@every_nested
def test_no_nested_request_or_event_breaks_its_reader(value: bytes) -> None:
    nested = with_value({}, "more", value)
    assert caller.parse_body(nested, chat=False).is_error()
    with pytest.raises(MalformedJson):
        decode_chunk(nested)


PLACER = {
    "box": b'"b"',
    "incarnation": b'"i"',
    "address": b'"a:1"',
    "fence": b"1",
    "renewal": b"1",
    "era": b"1",
}
REPORT = {"as_of_ms": b"1", "era": b"1", "versions": b"{}"}
VERSION = {"model": b'"m"', "adapter": b'"a"', "version": b"1"}


@pytest.mark.parametrize("value", NUMBERS.values(), ids=NUMBERS)
def test_a_number_that_is_too_large_is_malformed(value: bytes) -> None:
    """Guards against errors where times are converted, and against headers of 400 digits."""
    for name in ("fence", "renewal", "era"):
        assert placer_row_from(Row("placer/z", with_value(PLACER, name, value), 1)) is None
    for name in ("as_of_ms", "era"):
        row = with_value(PLACER, "software", with_value(REPORT, name, value))
        assert placer_row_from(Row("placer/z", row, 1)) is None
    with pytest.raises(MalformedRecord):
        version_from(Row("version/m.a", with_value(VERSION, "version", value), 1))


def test_rows_with_the_largest_numbers_are_read() -> None:
    largest = b"%d" % (2**63 - 1)
    software = with_value(REPORT, "as_of_ms", largest)
    placer = placer_row_from(Row("placer/z", with_value(PLACER, "software", software), 1))
    assert placer is not None
    assert placer.software is not None
    assert placer.software.as_of_ms / 1000 > 0
    row = Row("version/m.a", with_value(VERSION, "version", largest), 1)
    assert version_from(row)[1] == 2**63 - 1


@pytest.mark.parametrize("value", NUMBERS.values(), ids=NUMBERS)
def test_a_number_is_decoded_or_malformed(value: bytes) -> None:
    for name in ("number", "share"):
        with contextlib.suppress(MalformedJson):
            decode_json(with_value({}, name, value), Fields)
