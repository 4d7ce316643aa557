"""Tests of the engine book: a place is free only once the engine confirms it."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.placement import engine_book as engine_book_module
from springrock.placement.control import EngineState
from springrock.placement.engine_book import EngineBook, PlaceState

A, B = AdapterKey("m", "a"), AdapterKey("m", "b")


def make_book(slots: int = 2) -> EngineBook:
    record = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="z")
    book = EngineBook(record, slots=slots)
    book.apply_report(EngineState(sequence=0, models=frozenset({"m"})))
    return book


def state(sequence: int, *adapters: AdapterKey, coming: tuple[AdapterKey, ...] = ()) -> EngineState:
    return EngineState(
        sequence=sequence,
        models=frozenset({"m"}),
        adapters=tuple(HeldAdapter(key.model, key.adapter, 1) for key in adapters),
        coming=tuple(HeldAdapter(key.model, key.adapter, 1) for key in coming),
    )


def order_load(book: EngineBook, key: AdapterKey) -> None:
    assert book.sequence is not None
    book.sequence += 1
    book.ordered_at = monotonic()
    book.load_executed(key, version=1)


def test_an_ordered_load_takes_a_place_before_the_engine_shows_it() -> None:
    book = make_book()
    order_load(book, A)
    assert book.free == 1
    assert not book.apply_report(state(0)), "an older report must not count"
    assert book.places[A].state is PlaceState.LOADING
    book.apply_report(state(1, coming=(A,)))
    assert book.free == 1
    book.apply_report(state(1, A))
    assert book.is_ready(A, version=1)
    assert book.free == 1


def test_an_unload_occupies_its_place_until_the_engine_confirms_it() -> None:
    book = make_book()
    order_load(book, A)
    book.apply_report(state(1, A))
    assert book.sequence is not None
    book.sequence += 1
    book.unload_executed(A)
    assert book.free == 1
    book.apply_report(state(2, A))
    assert book.places[A].state is PlaceState.UNLOADING
    assert book.free == 1
    book.apply_report(state(2))
    assert book.free == 2
    assert book.is_cached(A, version=1)
    assert not book.is_cached(A, version=2)


def test_adapters_that_another_box_ordered_occupy_places() -> None:
    book = make_book()
    book.apply_report(state(3, A, coming=(B,)))
    assert book.free == 0
    assert book.sequence == 3
    assert [held.key for held in book.ready()] == [A]


def test_an_older_version_is_not_ready() -> None:
    book = make_book()
    book.apply_report(state(1, A))
    assert book.is_ready(A, version=1)
    assert not book.is_ready(A, version=2)


def test_a_sequence_above_that_of_the_engine_is_corrected_by_a_later_report(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    book = make_book()
    order_load(book, A)
    book.sequence = 7
    assert not book.apply_report(state(1, A))
    later = monotonic() + 2.0
    monkeypatch.setattr(engine_book_module, "monotonic", lambda: later)
    assert book.apply_report(state(1, A))
    assert book.sequence == 1
    assert book.is_ready(A, version=1)


def test_a_load_whose_answer_came_late_is_not_measured_as_fast() -> None:
    book = make_book()
    book.load_executed(A, version=1, sent_at=monotonic() - 0.3, cold=True)
    book.loaded(A)
    [load] = book.completed_loads
    assert load.seconds >= 0.3
