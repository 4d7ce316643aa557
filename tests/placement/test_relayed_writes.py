"""Writes of a placer's row through linked boxes."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from springrock.placement.messages import Message, WriteFor, Written, decode, encode
from springrock.placement.placer_row import TABLE
from springrock.placement.relayed_writes import RelayedWrites, write_for
from springrock.rows import Row, RowConflict, RowStoreUnavailable
from tests.placement.test_lease import Store

Answer = Callable[[WriteFor], Written | None]


def make_writes(*answers: Answer) -> RelayedWrites:
    """Return the relayed writes of a placer with one linked box for each answer."""
    boxes = {f"box-{number}": answer for number, answer in enumerate(answers)}

    def _send(box: str, message: Message) -> None:
        request = decode(encode(message))
        assert isinstance(request, WriteFor)
        written = boxes[box](request)
        if written is not None:
            gevent.spawn(writes.record_written, written)

    writes = RelayedWrites(helpers=lambda most: list(boxes)[:most], send=_send)
    return writes


def through(store: Store) -> Answer:
    return lambda request: write_for(store, request)


def cannot_write(request: WriteFor) -> Written:
    return Written(request.number)


def write(writes: RelayedWrites, *, expected: int = 0) -> int:
    return writes.write(TABLE, "placer/z", b"new", expected=expected)


def test_conflicts_of_the_other_boxes_are_ignored_if_one_box_wrote() -> None:
    store = Store()
    assert write(make_writes(through(store), through(store), through(store))) == 1
    assert store.row == Row("placer/z", b"new", 1)


def test_one_box_that_reaches_the_store_is_enough() -> None:
    assert write(make_writes(cannot_write, lambda request: None, through(Store()))) == 1


def test_a_row_written_by_another_box_is_a_conflict_with_that_row() -> None:
    store = Store()
    store.write(TABLE, "placer/z", b"other", expected=0)
    with pytest.raises(RowConflict) as conflict:
        write(make_writes(through(store), cannot_write))
    assert conflict.value.row == Row("placer/z", b"other", 1)


def test_a_removed_row_is_a_conflict_without_a_row() -> None:
    with pytest.raises(RowConflict) as conflict:
        write(make_writes(through(Store())), expected=4)
    assert conflict.value.row is None


@pytest.mark.parametrize("answers", [(), (cannot_write, cannot_write), (lambda request: None,)])
def test_a_write_fails_if_no_box_could_write(answers: tuple[Answer, ...]) -> None:
    with pytest.raises(RowStoreUnavailable):
        write(make_writes(*answers))


def test_an_answer_after_the_timeout_is_ignored() -> None:
    writes = make_writes()
    writes.record_written(Written(7, answered=True, version=3))
