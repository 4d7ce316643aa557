"""Validation of rows in the replicas' table, written by replicas or by other writers."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.log import Log
from springrock.placement.residency import Residency, Versions
from springrock.platform.replica_rows import ReplicaRowMalformed, RowFault, replica_from
from springrock.platform.tables import ReplicaTable
from springrock.rows import Row
from springrock.topology import Topology

ZONES = ("zone-1", "zone-2")
KNOWS_ZONE = Topology(home="zone-1", zones=ZONES).knows
ID = "i-1"
VALID: dict[str, Any] = {
    "service": "language",
    "address": "127.0.0.1:9000",
    "zone": "zone-1",
    "version": "1.2",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 1500.5,
    "sequence": 7,
    "stage": "both",
    "models": [{"name": "base", "version": 1, "adapters": ["a1@3", "a2"]}],
    "born": 1_764_000_000_123,
}


def row(value: Any, key: str = ID) -> Row:
    return Row(key, value if isinstance(value, bytes) else msgspec.json.encode(value), 1)


def without(*names: str) -> dict[str, Any]:
    return {name: value for name, value in VALID.items() if name not in names}


def fault_of(value: Any, key: str = ID) -> RowFault:
    with pytest.raises(ReplicaRowMalformed) as raised:
        replica_from(row(value, key), knows_zone=KNOWS_ZONE)
    return raised.value.fault


class Table:
    """The replicas' table of a box, with the faults, log lines and directory changes it caused."""

    def __init__(self) -> None:
        self.directory = Directory(Log("directory", "box"))
        self.residency = Residency(self.directory, Versions())
        self.faults: list[RowFault] = []
        self.lines: list[str] = []
        self.reported: list[tuple[str, bool]] = []
        log = Log("directory", "box")
        log.info = lambda sentence, **fields: self.lines.append(sentence)  # type: ignore[method-assign]
        self.rows = ReplicaTable(
            self.directory, knows_zone=KNOWS_ZONE, count_fault=self.faults.append, log=log
        )
        self.directory.on_change.append(
            lambda record, instance: self.reported.append((instance, record is not None))
        )

    @property
    def known(self) -> dict[str, ReplicaRecord]:
        found = self.directory.of_service("language")
        return {replica.instance: replica.record for replica in found}


def test_a_row_is_parsed_with_its_start_time() -> None:
    record = replica_from(row(VALID), knows_zone=KNOWS_ZONE)
    assert record == ReplicaRecord(
        instance="i-1@1764000000123",
        service="language",
        address="127.0.0.1:9000",
        zone="zone-1",
        running_limit=8,
        models=frozenset({"base"}),
        adapters=(HeldAdapter("base", "a1", 3), HeldAdapter("base", "a2", 0)),
        born_ms=1_764_000_000_123,
        sequence=7,
        cold_s=1.5005,
        software="1.2",
    )
    assert record.replica_id == ID


@pytest.mark.parametrize(
    ("value", "software"),
    [("v1", "v1"), ("1", "1"), (1, "1"), (1.5, "1.5"), ("1.0", "1.0"), ("", "")],
)
def test_a_software_version_is_kept_as_text(value: object, software: str) -> None:
    record = replica_from(row({**VALID, "version": value}), knows_zone=KNOWS_ZONE)
    assert record.software == software


def test_long_software_versions_stay_different_from_each_other_and_from_their_digests() -> None:
    texts = ["x" * 10_000, "x" * 10_001]
    found = [
        replica_from(row({**VALID, "version": text}), knows_zone=KNOWS_ZONE).software
        for text in texts
    ]
    again = replica_from(row({**VALID, "version": found[0]}), knows_zone=KNOWS_ZONE).software
    assert len({*found, again}) == 3
    assert all(len(text) == 64 for text in found)


def test_a_row_without_a_software_version_has_an_unknown_one() -> None:
    assert replica_from(row(without("version")), knows_zone=KNOWS_ZONE).software == ""


def test_a_row_without_a_start_time_has_its_id_as_instance() -> None:
    value = without("born", "models", "sequence", "coldRemainingMs", "version", "stage")
    record = replica_from(row({**value, "state": "draining"}), knows_zone=KNOWS_ZONE)
    assert (record.instance, record.replica_id, record.leaving) == (ID, ID, True)
    assert (record.born_ms, record.sequence, record.cold_s) == (None, 0, 0.0)


@pytest.mark.parametrize("name", ["service", "address", "zone", "slots", "state"])
def test_a_row_without_a_required_field_is_rejected(name: str) -> None:
    assert fault_of(without(name)) is RowFault.MISSING_FIELD


@pytest.mark.parametrize(
    "name, value, fault",
    [
        ("born", "1764000000123", RowFault.WRONG_TYPE),
        ("born", 1764000000123.0, RowFault.WRONG_TYPE),
        ("born", True, RowFault.WRONG_TYPE),
        ("born", None, RowFault.WRONG_TYPE),
        ("born", -1, RowFault.OUT_OF_RANGE),
        ("born", 10**30, RowFault.OUT_OF_RANGE),
        ("sequence", "7", RowFault.WRONG_TYPE),
        ("sequence", 7.5, RowFault.WRONG_TYPE),
        ("sequence", -7, RowFault.OUT_OF_RANGE),
        ("sequence", 10**30, RowFault.OUT_OF_RANGE),
        ("coldRemainingMs", "soon", RowFault.WRONG_TYPE),
        ("coldRemainingMs", False, RowFault.WRONG_TYPE),
        ("coldRemainingMs", -0.5, RowFault.OUT_OF_RANGE),
        ("coldRemainingMs", 1e300, RowFault.OUT_OF_RANGE),
        ("slots", 0, RowFault.OUT_OF_RANGE),
        ("slots", 10**30, RowFault.OUT_OF_RANGE),
        ("slots", 8.0, RowFault.WRONG_TYPE),
        ("slots", [8], RowFault.WRONG_TYPE),
        ("service", 7, RowFault.WRONG_TYPE),
        ("service", "", RowFault.OUT_OF_RANGE),
        ("zone", {"name": "zone-1"}, RowFault.WRONG_TYPE),
        ("zone", "zone-9", RowFault.UNKNOWN_ZONE),
        ("state", "resting", RowFault.UNKNOWN_STATE),
        ("state", 1, RowFault.WRONG_TYPE),
        ("address", 9000, RowFault.WRONG_TYPE),
        ("address", "127.0.0.1", RowFault.ADDRESS),
        ("address", "127.0.0.1:0", RowFault.ADDRESS),
        ("address", "127.0.0.1:70000", RowFault.ADDRESS),
        ("address", "127.0.0.1:port", RowFault.ADDRESS),
        ("address", ":9000", RowFault.ADDRESS),
        ("address", "a..b:9000", RowFault.ADDRESS),
        ("address", f"{'a' * 64}:9000", RowFault.ADDRESS),
        ("address", "host/path?:9000", RowFault.ADDRESS),
        ("models", {"base": 1}, RowFault.MODELS),
        ("models", [{"version": 1}], RowFault.MODELS),
        ("models", [{"name": "base", "adapters": "a1"}], RowFault.MODELS),
        ("models", [{"name": "base", "adapters": [1]}], RowFault.MODELS),
        ("version", [1], RowFault.WRONG_TYPE),
        ("stage", 3, RowFault.WRONG_TYPE),
    ],
)
def test_a_row_with_an_invalid_field_is_rejected(name: str, value: Any, fault: RowFault) -> None:
    assert fault_of({**VALID, name: value}) is fault


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"{", b"null", b"7", b"[]", b'"ready"', b"[" * 100_000]
)
def test_a_value_that_is_not_a_json_object_is_rejected(value: bytes) -> None:
    assert fault_of(value) is RowFault.UNREADABLE


@pytest.mark.parametrize("key", ["", "two words", "line\r\nbreak", "ключ"])
def test_a_key_that_does_not_fit_into_a_header_is_rejected(key: str) -> None:
    assert fault_of(VALID, key) is RowFault.ID


def test_an_id_that_equals_the_incarnation_of_another_replica_is_rejected() -> None:
    assert fault_of(without("born"), "i-1@1764000000123") is RowFault.ID


@pytest.mark.parametrize("address", ["10.0.0.7:1", "engine-1.internal:65535", "::1:9000"])
def test_addresses_with_host_names_ipv4_and_ipv6_are_accepted(address: str) -> None:
    assert (
        replica_from(row({**VALID, "address": address}), knows_zone=KNOWS_ZONE).address == address
    )


@pytest.mark.parametrize(
    "text, version", [("a1", 0), ("a1@x", 0), ("a1@²", 0), (f"a1@{'9' * 5000}", 0), ("a1@07", 7)]
)
def test_an_adapter_without_a_valid_version_has_version_0(text: str, version: int) -> None:
    models = [{"name": "base", "adapters": [text]}]
    record = replica_from(row({**VALID, "models": models}), knows_zone=KNOWS_ZONE)
    assert record.adapters == (HeldAdapter("base", "a1", version),)


def test_an_adapter_listed_repeatedly_has_its_newest_version() -> None:
    models = [{"name": "base", "adapters": ["a1@2", "a1@3", "a1@1"]}]
    record = replica_from(row({**VALID, "models": models}), knows_zone=KNOWS_ZONE)
    assert record.adapters == (HeldAdapter("base", "a1", 3),)


# Replicas in the directory.


def test_a_replica_with_an_overwritten_row_is_unused_until_it_writes_a_valid_one() -> None:
    table = Table()
    table.rows.change(row(VALID))
    [instance] = table.known
    before = table.directory.find(instance)
    table.rows.change(row(b"garbage"))
    assert not table.known[instance].understood
    assert table.directory.count == 0
    assert table.directory.find(instance) is before
    table.rows.change(row({**VALID, "sequence": 8}))
    assert table.known[instance].understood
    assert table.directory.count == 1


def test_a_full_table_with_a_malformed_row_keeps_that_replica() -> None:
    table = Table()
    table.rows.replace([row(VALID), row(VALID, "i-2"), row(VALID, "i-3")])
    table.rows.replace([row({**VALID, "zone": "zone-9"}), row(VALID, "i-2"), row(b"\xff", "i-4")])
    assert {record.replica_id: record.understood for record in table.known.values()} == {
        "i-1": False,
        "i-2": True,
    }


def test_a_malformed_row_of_an_unknown_id_is_only_counted() -> None:
    table = Table()
    table.rows.change(row({**VALID, "state": "resting"}))
    assert table.reported == []
    assert table.faults == [RowFault.UNKNOWN_STATE]


def test_a_fault_of_a_row_is_logged_once_and_counted_each_time() -> None:
    table = Table()
    for _ in range(3):
        table.rows.change(row(b"garbage"))
    assert len(table.lines) == 1
    table.rows.change(row(without("zone")))
    assert len(table.lines) == 2
    table.rows.change(row(VALID))
    table.rows.change(row(without("zone")))
    assert len(table.lines) == 3
    assert len(table.faults) == 5


def test_a_row_without_a_start_time_is_rejected_if_an_earlier_one_had_it() -> None:
    table = Table()
    table.rows.change(row(VALID))
    table.rows.change(row(without("born")))
    assert table.faults == [RowFault.START_MISSING]
    assert [record.understood for record in table.known.values()] == [False]
    table.rows.remove(ID)
    table.rows.change(row(without("born")))
    assert table.known == {}


def test_a_restarted_replica_is_removed_before_its_new_incarnation_is_added() -> None:
    table = Table()
    table.rows.change(row(VALID))
    table.rows.change(row({**VALID, "born": VALID["born"] + 1, "sequence": 0, "models": []}))
    first, second = f"i-1@{VALID['born']}", f"i-1@{VALID['born'] + 1}"
    assert table.reported == [(first, True), (first, False), (second, True)]
    assert list(table.known) == [second]
    table.rows.remove(ID)
    assert table.known == {}


def test_a_replica_of_an_unknown_service_is_kept_for_the_next_configuration() -> None:
    table = Table()
    table.rows.change(row({**VALID, "service": "tomorrow"}))
    assert len(table.directory.of_service("tomorrow")) == 1
    assert table.known == {}


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=["Cs"])),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=8,
)
_VALUES = (
    st.binary()
    | _JSON
    | st.builds(lambda name, value: {**VALID, name: value}, st.sampled_from(list(VALID)), _JSON)
    | st.builds(without, st.sampled_from(list(VALID)))
)
_IDS = st.sampled_from(["i-1", "i-2"])


def _row_of(value: Any, key: str = ID) -> Row:
    return Row(key, value if isinstance(value, bytes) else _encoded(value), 1)


def _encoded(value: Any) -> bytes:
    try:
        return msgspec.json.encode(value)
    except (OverflowError, msgspec.MsgspecError):
        return repr(value).encode()


@given(key=st.text(st.characters(exclude_categories=["Cs"]), max_size=8) | _IDS, value=_VALUES)
def test_any_row_is_either_parsed_with_its_id_or_a_typed_error(key: str, value: Any) -> None:
    try:
        record = replica_from(_row_of(value, key), knows_zone=KNOWS_ZONE)
    except ReplicaRowMalformed:
        return
    assert record.replica_id == key
    assert record.zone in ZONES
    assert record.running_limit >= 1


@given(
    born=st.none() | st.integers(0, 2**45),
    sequence=st.integers(0, 2**40),
    cold_ms=st.integers(0, 10**6) | st.floats(0, 10**6),
    slots=st.integers(1, 10_000),
    state=st.sampled_from(["ready", "draining"]),
    zone=st.sampled_from(ZONES),
    port=st.integers(1, 65_535),
    adapters=st.lists(st.from_regex(r"a[0-9]{1,4}(@[0-9]{1,3})?", fullmatch=True)),
)
def test_a_valid_row_is_always_accepted(
    born: int | None, sequence: int, cold_ms: float, port: int, adapters: list[str], **more: Any
) -> None:
    value = {
        **without("born"),
        **more,
        "address": f"10.0.0.1:{port}",
        "sequence": sequence,
        "coldRemainingMs": cold_ms,
        "models": [{"name": "base", "adapters": adapters}],
    }
    if born is not None:
        value["born"] = born
    record = replica_from(row(value), knows_zone=KNOWS_ZONE)
    assert (record.born_ms, record.sequence, record.replica_id) == (born, sequence, ID)
    assert {held.adapter for held in record.adapters} == {
        text.partition("@")[0] for text in adapters
    }


@given(st.lists(st.tuples(_IDS, _VALUES), max_size=6))
def test_no_row_breaks_the_table_or_changes_another_replica(updates: list[tuple[str, Any]]) -> None:
    table = Table()
    table.rows.replace([row(VALID, "sound")])
    for key, value in updates:
        table.rows.change(_row_of(value, key))
    instance = f"sound@{VALID['born']}"
    assert table.known[instance] == replica_from(row(VALID, "sound"), knows_zone=KNOWS_ZONE)
    ids = [replica.record.replica_id for replica in table.directory.of_service("language")]
    assert set(ids) <= {"sound", "i-1", "i-2"}
    assert len(ids) == len(set(ids))
