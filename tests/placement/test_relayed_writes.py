"""Rows that linked boxes write for a placer."""

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


def make(*answers: Answer) -> RelayedWrites:
    """Return the writes of a placer with as many linked boxes as there are answers."""
    boxes = {f"box-{number}": answer for number, answer in enumerate(answers)}

    def _send(box: str, message: Message) -> None:
        asked = decode(encode(message))
        assert isinstance(asked, WriteFor)
        written = boxes[box](asked)
        if written is not None:
            gevent.spawn(writes.record_written, written)

    writes = RelayedWrites(helpers=lambda most: list(boxes)[:most], send=_send)
    return writes


def by(store: Store) -> Answer:
    return lambda asked: write_for(store, asked)


def unanswered(asked: WriteFor) -> Written:
    return Written(asked.number)


def write(writes: RelayedWrites, *, expected: int = 0) -> int:
    return writes.write(TABLE, "placer/z", b"new", expected=expected)


def test_one_box_writes_and_that_the_others_came_too_late_is_no_conflict() -> None:
    store = Store()
    assert write(make(by(store), by(store), by(store))) == 1
    assert store.row == Row("placer/z", b"new", 1)


def test_one_box_that_reaches_the_store_is_enough() -> None:
    assert write(make(unanswered, lambda asked: None, by(Store()))) == 1


def test_a_row_that_another_wrote_is_a_conflict_with_what_stands() -> None:
    store = Store()
    store.write(TABLE, "placer/z", b"other", expected=0)
    with pytest.raises(RowConflict) as conflict:
        write(make(by(store), unanswered))
    assert conflict.value.row == Row("placer/z", b"other", 1)


def test_a_row_that_is_gone_is_a_conflict_with_nothing() -> None:
    with pytest.raises(RowConflict) as conflict:
        write(make(by(Store())), expected=4)
    assert conflict.value.row is None


@pytest.mark.parametrize("answers", [(), (unanswered, unanswered), (lambda asked: None,)])
def test_without_a_box_that_could_write_nothing_is_known(answers: tuple[Answer, ...]) -> None:
    with pytest.raises(RowStoreUnavailable):
        write(make(*answers))


def test_an_answer_that_comes_too_late_is_passed_over() -> None:
    writes = make()
    writes.record_written(Written(7, answered=True, version=3))
