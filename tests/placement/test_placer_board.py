"""The board of the last known placer rows of all zones."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import PlacerRow, key_of, placer_row_from
from springrock.placement.succession import Successor
from springrock.rows import Row, RowStoreUnavailable

KEY = key_of("zone-1")


def row(version: int, *, box: str = "box-1", incarnation: str = "1") -> Row:
    content = PlacerRow(box=box, incarnation=incarnation, address="127.0.0.1:1", fence=version)
    return Row(KEY, msgspec.json.encode(content), version)


def test_rows_are_returned_only_while_they_are_current() -> None:
    age_s = 0.0
    board = PlacerBoard(age_s=lambda: age_s)
    assert board.current_row(KEY) is None
    board.replace([row(4)])
    assert board.current_row(KEY) == row(4)
    age_s = 60.0
    with pytest.raises(RowStoreUnavailable):
        board.current_row(KEY)


def test_an_older_row_changes_nothing() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    board.record(row(5))
    board.change(row(4))
    assert board.current_row(KEY) == row(5)
    board.remove(KEY)
    assert board.current_row(KEY) is None


def test_waiting_for_a_row_ends_with_its_change_and_not_with_others() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    board.current_row(KEY)
    waiter = gevent.spawn(board.wait, KEY, timeout_s=60.0)
    gevent.sleep(0)
    board.change(Row(key_of("zone-2"), b"{}", 1))
    gevent.sleep(0.01)
    assert not waiter.ready()
    board.change(row(2))
    waiter.join(timeout=10)
    assert waiter.ready()


def test_waiting_for_the_rows_ends_with_their_first_reading() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    waiter = gevent.spawn(board.wait_known)
    gevent.sleep(0.01)
    assert not waiter.ready()
    board.replace([])
    waiter.join(timeout=10)
    assert waiter.ready()


def test_a_change_between_reading_a_row_and_waiting_is_not_missed() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    board.current_row(KEY)
    board.change(row(2))
    with gevent.Timeout(10):
        board.wait(KEY, timeout_s=60.0)


def test_a_box_that_released_its_lease_is_not_among_the_holders() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    board.change(row(1, box="box-7"))
    assert board.boxes() == {"box-7"}
    board.change(row(2, box="box-7", incarnation=""))
    assert board.boxes() == set()


def test_a_row_that_cannot_be_read_holds_no_lease() -> None:
    board = PlacerBoard(age_s=lambda: 0.0)
    half_written = Row(KEY, row(3).value[:-9], 3)
    board.change(half_written)
    assert placer_row_from(half_written) is None
    assert board.boxes() == set()


def successor(fence: int, *, last_fence: int, predecessors: list[str]) -> Successor:
    return Successor("box-2", "2", "127.0.0.1:2", fence, last_fence, 4, predecessors)


def test_the_last_known_placer_is_returned_however_old_the_reading() -> None:
    board = PlacerBoard(age_s=lambda: 60.0)
    assert board.holder(KEY) is None
    board.replace([row(4)])
    assert board.holder(KEY) == placer_row_from(row(4))
    board.change(row(5, incarnation=""))
    assert board.holder(KEY) is None, "the lease was released"


def test_a_successor_counts_until_the_store_has_a_later_holder() -> None:
    board = PlacerBoard(age_s=lambda: 60.0)
    board.replace([row(4)])
    first = successor(2, last_fence=4, predecessors=["1"])
    second = successor(3, last_fence=4, predecessors=["1", "2"])
    board.record_successor(KEY, second)
    board.record_successor(KEY, first)
    assert board.holder(KEY) == second
    board.change(row(5, incarnation="2"))
    assert board.holder(KEY) == second, "a late write of a predecessor"
    board.change(row(6, incarnation="3"))
    assert board.holder(KEY) == placer_row_from(row(6, incarnation="3"))


def test_a_predecessor_that_acquired_the_lease_again_is_the_placer() -> None:
    board = PlacerBoard(age_s=lambda: 60.0)
    board.replace([row(4)])
    board.record_successor(KEY, successor(3, last_fence=4, predecessors=["1"]))
    board.change(row(5, box="box-2", incarnation="2"))
    board.change(row(6, box="box-2", incarnation=""))
    board.change(row(7))
    assert board.holder(KEY) == placer_row_from(row(7))
