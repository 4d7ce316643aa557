"""Origins of streams in the store, with a store that loses, delays and refuses writes."""

from __future__ import annotations

import gevent
import pytest

from springrock.clock import monotonic
from springrock.eras import UNKNOWN_ERA
from springrock.forwarding.stream_origins import Origin, OriginBook
from springrock.log import Log
from springrock.placement import origin_rows
from springrock.placement.origin_rows import TABLE, OriginRows
from springrock.rows import Changes, Row, RowConflict, RowStoreUnavailable, Snapshot
from springrock.store_clock import StoreClock
from tests.odd_values import NUMBERS, with_value

V1, V2 = Origin("s", "v1"), Origin("s", "v2")
IDS = [f"{number:016x}" for number in range(1, 4)]


class RowsStore:
    """A store of the rows of one table; it may be silent, or write without an answer."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.reads = 0
        self.down = False
        self.lose_answer = False
        self.delay_s = 0.0

    def read_all(self, table: str) -> Snapshot:
        assert table == TABLE
        self.reads += 1
        gevent.sleep(self.delay_s)
        if self.down:
            raise RowStoreUnavailable("down")
        return Snapshot(list(self.rows.values()), self.version)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        raise NotImplementedError

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        if self.down:
            raise RowStoreUnavailable("down")
        present = self.rows.get(key)
        if (present.version if present else 0) != expected:
            raise RowConflict(present)
        self.version += 1
        self.rows[key] = Row(key, value, self.version)
        if self.lose_answer:
            raise RowStoreUnavailable("the answer is lost")
        return self.version


def make_rows(
    store: RowsStore, *, now_s: float | None = None, book: OriginBook | None = None
) -> OriginRows:
    """Return the rows of a box that reads the store's clock as a time, or as the local one."""
    clock = StoreClock()
    local = monotonic()
    store_s = local if now_s is None else now_s
    clock.record(store_s, sent_at=local, received_at=local, era=UNKNOWN_ERA)
    return OriginRows(store, book=book or OriginBook(), clock=clock, log=Log("origins", "box"))


def test_a_box_that_starts_finds_what_others_have_saved() -> None:
    store = RowsStore()
    writer = make_rows(store)
    for request_id, origin in zip(IDS, (V1, V2, V1), strict=True):
        writer.add("zone-1", request_id, origin)
    writer.save()
    assert len(store.rows) == 1
    reader = make_rows(store)
    assert [reader.find(request_id) for request_id in IDS] == [V1, V2, V1]
    assert reader.find("unknown") is None


def test_nothing_is_read_or_written_without_a_need() -> None:
    store = RowsStore()
    make_rows(store).save()
    assert (store.reads, store.rows) == (0, {})


def test_unknown_streams_cost_one_read_a_second() -> None:
    store = RowsStore()
    reader = make_rows(store)
    finding = [gevent.spawn(reader.find, f"unknown-{number}") for number in range(20)]
    gevent.joinall(finding)
    assert store.reads == 1


def test_a_silent_store_delays_a_request_only_briefly() -> None:
    store = RowsStore()
    store.delay_s = 2.0
    began_at = monotonic()
    assert make_rows(store).find(IDS[0]) is None
    assert monotonic() - began_at < 1.0


@pytest.mark.parametrize("fault", ["down", "lose_answer"])
def test_what_the_store_did_not_confirm_is_written_again(fault: str) -> None:
    store = RowsStore()
    writer = make_rows(store)
    writer.add("zone-1", IDS[0], V1)
    setattr(store, fault, True)
    writer.save()
    setattr(store, fault, False)
    writer.add("zone-1", IDS[1], V2)
    writer.save()
    reader = make_rows(store)
    assert [reader.find(request_id) for request_id in IDS[:2]] == [V1, V2]


def test_two_placers_of_a_zone_overwrite_nothing_of_each_other() -> None:
    store = RowsStore()
    writers = [make_rows(store), make_rows(store)]
    ids = [f"{number:016x}" for number in range(20)]
    for number, request_id in enumerate(ids):
        writers[number % 2].add("zone-1", request_id, V1)
        for writer in writers:
            writer.save()
    for writer in writers:
        writer.save()
    reader = make_rows(store)
    assert {reader.find(request_id) for request_id in ids} == {V1}


def test_the_rows_of_a_zone_are_bounded_and_the_newest_remain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(origin_rows, "_ROWS_PER_ZONE", 4)
    store = RowsStore()
    for number in range(10):
        writer = make_rows(store)
        writer.add("zone-1", f"r{number}", V1)
        writer.save()
    assert len(store.rows) == 4
    reader = make_rows(store)
    found = [number for number in range(10) if reader.find(f"r{number}") is not None]
    assert found == [6, 7, 8, 9]


def test_many_streams_are_split_into_rows_below_the_bound() -> None:
    store = RowsStore()
    writer = make_rows(store)
    ids = [f"{number:016x}" for number in range(5_000)]
    for request_id in ids:
        writer.add("zone-1", request_id, V1)
    writer.save()
    assert len(store.rows) > 1
    assert max(len(row.value) for row in store.rows.values()) < 40_000
    reader = make_rows(store)
    assert all(reader.find(request_id) == V1 for request_id in ids)


def test_rows_from_before_the_life_of_a_stream_are_passed_over() -> None:
    store = RowsStore()
    writer = make_rows(store, now_s=1_000.0)
    writer.add("zone-1", IDS[0], V1)
    writer.save()
    assert make_rows(store, now_s=1_030.0).find(IDS[0]) == V1
    assert make_rows(store, now_s=1_090.0).find(IDS[0]) is None


@pytest.mark.parametrize("name", ["as_of_ms", "era"])
def test_a_row_with_a_number_that_is_too_large_hides_no_other(name: str) -> None:
    store = RowsStore()
    writer = make_rows(store)
    writer.add("zone-1", IDS[0], V1)
    writer.save()
    fields = {"as_of_ms": b"1", "era": b"0", "begun": b"[]"}
    value = with_value(fields, name, NUMBERS["beyond a float"])
    store.rows["zone-1/9"] = Row("zone-1/9", value, 9)
    assert make_rows(store).find(IDS[0]) == V1


def test_rows_that_cannot_be_decoded_are_passed_over_and_overwritten_last() -> None:
    store = RowsStore()
    store.rows["zone-1/0"] = Row("zone-1/0", b"\xff", 1)
    store.rows["zone-1/1"] = Row("zone-1/1", b'{"as_of_ms": "soon"}', 2)
    store.version = 2
    writer = make_rows(store)
    writer.add("zone-1", IDS[0], V1)
    writer.save()
    assert make_rows(store).find(IDS[0]) == V1
    assert store.rows["zone-1/0"].value == b"\xff"
