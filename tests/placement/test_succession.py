"""A placer that stops while the store is silent hands its role over by a link."""

from __future__ import annotations

from springrock.placement.lease import PlacerLease
from springrock.placement.succession import RESERVED_FENCES, HandoverTarget, Successor
from tests.placement.conftest import Clock
from tests.placement.test_lease import LEASE_S, Store, make_lease

HANDOVER_TARGET = HandoverTarget("two", "two-1", "127.0.0.1:1")


def held(store: Store, box: str) -> PlacerLease:
    """A lease that a box has just taken."""
    lease = make_lease(store, box)
    assert lease.challenge(lease.known_row())
    return lease


def handed_over(
    store: Store, lease: PlacerLease, handover_target: HandoverTarget = HANDOVER_TARGET
) -> Successor:
    """What a box tells that stops while the store is silent."""
    store.down = True
    lease.renew()
    handover = lease.release(reason="a test", successor=True, handover_target=handover_target)
    assert handover is not None
    return handover


def test_a_role_is_given_back_to_a_store_that_answers(clock: Clock) -> None:
    store = Store()
    one, two = held(store, "one"), make_lease(store, "two")
    assert one.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
    assert two.challenge(two.known_row())


def test_who_takes_over_orders_once_the_store_has_not_answered_it(clock: Clock) -> None:
    store = Store()
    one, two = held(store, "one"), make_lease(store, "two")
    first = one.fence
    assert two.adopt(handed_over(store, one))
    assert not one.holds
    assert not two.holds, "the store may answer this box"
    assert two.renew()
    assert two.holds
    assert two.fence == first + 1
    assert two.left_s == 0.0, "quotas and permits are counted under a lease that surely stands"


def test_who_takes_over_holds_the_lease_as_soon_as_the_store_answers(clock: Clock) -> None:
    store = Store()
    one, two = held(store, "one"), make_lease(store, "two")
    reserved = one.last_fence
    assert two.adopt(handed_over(store, one))
    store.down = False
    assert two.renew()
    assert two.confirmed
    assert two.holds
    assert two.fence == reserved + 1


def test_a_role_handed_over_again_and_again_has_a_new_fence_each_time(clock: Clock) -> None:
    store = Store()
    lease = held(store, "box-0")
    fences = [lease.fence]
    for number in range(1, RESERVED_FENCES + 1):
        name = f"box-{number}"
        handover = handed_over(store, lease, HandoverTarget(name, f"{name}-1", "127.0.0.1:1"))
        lease = make_lease(store, name)
        assert lease.adopt(handover)
        fences.append(lease.fence)
    assert fences == sorted(set(fences))
    assert fences[-1] <= lease.last_fence
    lease.renew()
    assert (
        lease.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
    ), "none is left"


def test_a_late_write_of_who_went_before_is_no_other_holder(clock: Clock) -> None:
    store = Store()
    one, two = held(store, "one"), make_lease(store, "two")
    handover = handed_over(store, one)
    store.down, store.lose_answer = False, True
    before = make_lease(store, "one")
    assert before.adopt(handover)
    before.renew()
    assert store.row is not None
    assert store.row.version > handover.version, "it took effect unanswered"
    store.lose_answer = False
    onwards = handover.predecessors[0]
    assert onwards == "one-1"
    assert two.adopt(handover)
    assert two.renew()
    assert two.confirmed


def test_who_took_the_lease_by_the_store_meanwhile_has_it(clock: Clock) -> None:
    store = Store()
    one, two, three = held(store, "one"), make_lease(store, "two"), make_lease(store, "three")
    handover = handed_over(store, one)
    store.down = False
    three.known_row()
    clock.now += LEASE_S + 0.5
    assert three.challenge(three.known_row())
    assert two.adopt(handover)
    assert not two.renew()
    assert not two.held
    assert three.fence > handover.last_fence


def test_where_engines_check_no_fence_nothing_is_handed_over(clock: Clock) -> None:
    store = Store()
    one = make_lease(store, "one", checks_fence=False)
    assert one.challenge(one.known_row())
    store.down = True
    one.renew()
    assert one.release(reason="a test", successor=True, handover_target=HANDOVER_TARGET) is None
