"""The placer's lease where the store comes back from a copy that knows less of it."""

from __future__ import annotations

import pytest

from springrock.placement.lease import PlacerLease
from springrock.placement.placer_row import placer_row_from
from springrock.placement.succession import HandoverTarget, Successor
from tests.placement.conftest import Clock
from tests.placement.test_lease import LEASE_S, ReadRows, make_lease
from tests.placement.test_return_model import Client, ReturningStore

EMPTY = 0
"""The copy of before the first lease."""


class Boxes:
    """Three boxes, of which the first holds the lease."""

    def __init__(self) -> None:
        self.store = ReturningStore()
        self.one, self.two, self.three = (self._lease(box) for box in ("one", "two", "three"))
        for lease in (self.one, self.two, self.three):
            lease.challenge(lease.known_row())
        assert self.one.holds

    def _lease(self, box: str) -> PlacerLease:
        client = Client(self.store)
        return make_lease(client, box, rows=ReadRows(client))

    def hand_over_in_an_outage(self) -> Successor:
        """Let the second box go on in the stead of the first, and the store answer again."""
        self.store.down = True
        self.one.renew()
        handover_target = HandoverTarget("two", "two-1", "127.0.0.1:1")
        handover = self.one.give_up(
            reason="a test", successor=True, handover_target=handover_target
        )
        assert handover is not None
        assert self.two.adopt(handover)
        self.store.down = False
        return handover

    @property
    def holder(self) -> str:
        row = Client(self.store).row
        existing = None if row is None else placer_row_from(row)
        return "" if existing is None else existing.box


@pytest.fixture
def at(clock: Clock) -> Boxes:
    return Boxes()


def test_a_holder_writes_its_lost_lease_again_and_holds_it_all_the_while(at: Boxes) -> None:
    fence = at.one.fence
    at.store.return_from(EMPTY)
    assert at.one.renew()
    assert at.one.holds
    assert at.one.fence == fence
    assert at.holder == "one"


def test_nobody_takes_a_lease_that_the_copy_lacks_before_its_holder_could_write_it_again(
    at: Boxes, clock: Clock
) -> None:
    at.store.return_from(EMPTY)
    assert not at.two.challenge(at.two.known_row())
    clock.now += LEASE_S
    assert not at.two.challenge(at.two.known_row())
    clock.now += 0.5
    at.store.pass_over()
    assert at.two.challenge(at.two.known_row())
    assert not at.one.holds
    assert at.two.fence > at.one.last_fence, "also above what the lost row had reserved"
    assert not at.one.renew()


def test_a_stale_renewal_that_meets_its_number_again_leaves_nobody_with_the_lease(
    at: Boxes, clock: Clock
) -> None:
    at.store.return_from(EMPTY)
    at.two.known_row()
    clock.now += LEASE_S + 0.5
    assert at.two.challenge(at.two.known_row())
    at.one.renew()
    assert at.holder == "one", "its number was given out to the row of two"
    assert not at.one.holds
    assert not at.two.renew()
    assert not at.one.renew()


def test_a_holder_that_stood_still_does_not_write_its_lost_lease_again(
    at: Boxes, clock: Clock
) -> None:
    at.store.return_from(EMPTY)
    clock.now += LEASE_S + 0.1
    at.one.renew()
    assert not at.one.held


def test_a_successor_yields_to_who_took_the_lease_in_the_returned_store(
    at: Boxes, clock: Clock
) -> None:
    at.hand_over_in_an_outage()
    at.store.return_from(EMPTY)
    at.store.pass_over()
    at.three.known_row()
    clock.now += LEASE_S + 0.5
    assert at.three.challenge(at.three.known_row())
    at.two.renew()
    assert not at.two.held
    assert at.holder == "three"


def test_a_successor_confirms_its_role_in_the_returned_store(at: Boxes, clock: Clock) -> None:
    handover = at.hand_over_in_an_outage()
    at.store.return_from(EMPTY)
    assert at.two.renew()
    assert at.two.confirmed
    assert at.two.fence > handover.last_fence
