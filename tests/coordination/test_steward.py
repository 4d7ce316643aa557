from __future__ import annotations

from springrock.coordination.steward import LoadQueue


def test_one_turn_at_a_time_the_most_valuable_first() -> None:
    queue = LoadQueue()
    first = queue.add("r1", "a@1", 1.0)
    low = queue.add("r2", "b@1", 1.0)
    high = queue.add("r3", "c@1", 5.0)
    assert first.granted.is_set()
    assert not low.granted.is_set()
    queue.end_turn("r1")
    assert high.granted.is_set()
    assert not low.granted.is_set()
    queue.end_turn("r3")
    assert low.granted.is_set()


def test_the_oldest_goes_first_among_equals() -> None:
    queue = LoadQueue()
    queue.add("r1", "a@1", 1.0)
    older = queue.add("r2", "b@1", 1.0)
    younger = queue.add("r3", "c@1", 1.0)
    queue.end_turn("r1")
    assert older.granted.is_set()
    assert not younger.granted.is_set()


def test_a_turn_whose_end_is_not_reported_expires() -> None:
    queue = LoadQueue(turn_lifetime_s=0.0)
    queue.add("r1", "a@1", 1.0)
    later = queue.add("r2", "b@1", 1.0)
    queue.grant_turns()
    assert later.granted.is_set()


def test_a_replica_has_one_waiting_load_and_may_withdraw_it() -> None:
    queue = LoadQueue()
    queue.add("r1", "a@1", 1.0)
    queue.add("r2", "b@1", 1.0)
    again = queue.add("r2", "c@1", 1.0)
    assert len(queue) == 1
    queue.withdraw(again)
    assert len(queue) == 0
