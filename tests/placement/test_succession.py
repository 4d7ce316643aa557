"""Handover of a lease over a link by a placer that stops while the store does not answer."""

from __future__ import annotations

from springrock.placement.lease import PlacerLease
from springrock.placement.succession import RESERVED_FENCES, HandoverTarget, Successor
from tests.placement.conftest import Clock
from tests.placement.test_lease import LEASE_S, Store, make_lease

HANDOVER_TARGET = HandoverTarget("two", "two-1", "127.0.0.1:1")


def make_held_lease(store: Store, box: str) -> PlacerLease:
    """Return a lease that a box has just acquired."""
    lease = make_lease(store, box)
    assert lease.challenge(lease.known_row())
    return lease


def hand_over_in_outage(
    store: Store, lease: PlacerLease, handover_target: HandoverTarget = HANDOVER_TARGET
) -> Successor:
    """Return the handover of a box that stops while the store does not answer."""
    store.down = True
    lease.renew()
    handover = lease.release(reason="a test", successor=True, handover_target=handover_target)
    assert handover is not None
    return handover


def test_a_lease_is_released_in_a_store_that_answers(clock: Clock) -> None:
    store = Store()
    one, two = make_held_lease(store, "one"), make_lease(store, "two")
    assert one.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
    assert two.challenge(two.known_row())


def test_a_successor_may_order_once_the_store_has_not_answered_its_renewal(clock: Clock) -> None:
    store = Store()
    one, two = make_held_lease(store, "one"), make_lease(store, "two")
    first = one.fence
    assert two.adopt(hand_over_in_outage(store, one))
    assert not one.may_order
    assert not two.may_order, "the store may still answer this box"
    assert two.renew()
    assert two.may_order
    assert two.fence == first + 1
    assert two.left_s == 0.0, "quotas and permits are counted only under a confirmed lease"


def test_a_successor_holds_the_lease_as_soon_as_the_store_answers(clock: Clock) -> None:
    store = Store()
    one, two = make_held_lease(store, "one"), make_lease(store, "two")
    reserved = one.last_fence
    assert two.adopt(hand_over_in_outage(store, one))
    store.down = False
    assert two.renew()
    assert two.confirmed
    assert two.may_order
    assert two.fence == reserved + 1


def test_each_repeated_handover_of_a_lease_has_a_new_fence(clock: Clock) -> None:
    store = Store()
    lease = make_held_lease(store, "box-0")
    fences = [lease.fence]
    for number in range(1, RESERVED_FENCES + 1):
        name = f"box-{number}"
        handover = hand_over_in_outage(
            store, lease, HandoverTarget(name, f"{name}-1", "127.0.0.1:1")
        )
        lease = make_lease(store, name)
        assert lease.adopt(handover)
        fences.append(lease.fence)
    assert fences == sorted(set(fences))
    assert fences[-1] <= lease.last_fence
    lease.renew()
    assert (
        lease.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
    ), "no reserved fence is left"


def test_a_late_write_of_a_predecessor_is_not_another_holder(clock: Clock) -> None:
    store = Store()
    one, two = make_held_lease(store, "one"), make_lease(store, "two")
    handover = hand_over_in_outage(store, one)
    store.down, store.lose_answer = False, True
    before = make_lease(store, "one")
    assert before.adopt(handover)
    before.renew()
    assert store.row is not None
    assert store.row.version > handover.version, "the write took effect without an answer"
    store.lose_answer = False
    first_holder = handover.predecessors[0]
    assert first_holder == "one-1"
    assert two.adopt(handover)
    assert two.renew()
    assert two.confirmed


def test_a_box_that_acquired_the_lease_in_the_store_keeps_it(clock: Clock) -> None:
    store = Store()
    one, two, three = (
        make_held_lease(store, "one"),
        make_lease(store, "two"),
        make_lease(store, "three"),
    )
    handover = hand_over_in_outage(store, one)
    store.down = False
    three.known_row()
    clock.now += LEASE_S + 0.5
    assert three.challenge(three.known_row())
    assert two.adopt(handover)
    assert not two.renew()
    assert not two.held
    assert three.fence > handover.last_fence


def test_without_fence_checks_no_lease_is_handed_over(clock: Clock) -> None:
    store = Store()
    one = make_lease(store, "one", checks_fence=False)
    assert one.challenge(one.known_row())
    store.down = True
    one.renew()
    assert one.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
