from __future__ import annotations

from springrock.coordination.steward import TurnTable


def test_one_turn_at_a_time_the_most_valuable_first() -> None:
    table = TurnTable()
    first = table.bid("r1", "a@1", 1.0)
    low = table.bid("r2", "b@1", 1.0)
    high = table.bid("r3", "c@1", 5.0)
    assert first.given.is_set()
    assert not low.given.is_set()
    table.over("r1")
    assert high.given.is_set()
    assert not low.given.is_set()
    table.over("r3")
    assert low.given.is_set()


def test_the_oldest_goes_first_among_equals() -> None:
    table = TurnTable()
    table.bid("r1", "a@1", 1.0)
    older = table.bid("r2", "b@1", 1.0)
    younger = table.bid("r3", "c@1", 1.0)
    table.over("r1")
    assert older.given.is_set()
    assert not younger.given.is_set()


def test_a_turn_that_is_never_given_back_is_over_by_itself() -> None:
    table = TurnTable(turn_life_s=0.0)
    table.bid("r1", "a@1", 1.0)
    later = table.bid("r2", "b@1", 1.0)
    table.give()
    assert later.given.is_set()


def test_a_replica_has_one_wish_and_may_withdraw_it() -> None:
    table = TurnTable()
    table.bid("r1", "a@1", 1.0)
    table.bid("r2", "b@1", 1.0)
    again = table.bid("r2", "c@1", 1.0)
    assert len(table) == 1
    table.withdraw(again)
    assert len(table) == 0
