"""The placer's lease when the store is restored from an older copy."""

from __future__ import annotations

import pytest

from springrock.placement.lease import PlacerLease
from springrock.placement.placer_row import placer_row_from
from springrock.placement.succession import HandoverTarget, Successor
from tests.placement.conftest import Clock
from tests.placement.test_lease import LEASE_S, ReadRows, make_lease
from tests.placement.test_return_model import Client, RestorableStore

EMPTY = 0
"""Index of the copy from before the first lease."""


class Boxes:
    """Three boxes; the first holds the lease."""

    def __init__(self) -> None:
        self.store = RestorableStore()
        self.one, self.two, self.three = (self._lease(box) for box in ("one", "two", "three"))
        for lease in (self.one, self.two, self.three):
            lease.challenge(lease.known_row())
        assert self.one.may_order

    def _lease(self, box: str) -> PlacerLease:
        client = Client(self.store)
        return make_lease(client, box, rows=ReadRows(client))

    def hand_over_in_an_outage(self) -> Successor:
        """Hand the lease over from the first box to the second, then end the store's outage."""
        self.store.down = True
        self.one.renew()
        handover_target = HandoverTarget("two", "two-1", "127.0.0.1:1")
        handover = self.one.release(
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
def boxes(clock: Clock) -> Boxes:
    return Boxes()


def test_a_holder_rewrites_its_lost_lease_and_holds_it_throughout(boxes: Boxes) -> None:
    fence = boxes.one.fence
    boxes.store.restore(EMPTY)
    assert boxes.one.renew()
    assert boxes.one.may_order
    assert boxes.one.fence == fence
    assert boxes.holder == "one"


def test_a_lease_missing_in_the_copy_is_not_acquired_before_its_holder_could_rewrite_it(
    boxes: Boxes, clock: Clock
) -> None:
    boxes.store.restore(EMPTY)
    assert not boxes.two.challenge(boxes.two.known_row())
    clock.now += LEASE_S
    assert not boxes.two.challenge(boxes.two.known_row())
    clock.now += 0.5
    boxes.store.skip_number()
    assert boxes.two.challenge(boxes.two.known_row())
    assert not boxes.one.may_order
    assert boxes.two.fence > boxes.one.last_fence, (
        "also above the fences that the lost row had reserved"
    )
    assert not boxes.one.renew()


def test_a_stale_renewal_that_meets_a_reused_version_leaves_no_holder(
    boxes: Boxes, clock: Clock
) -> None:
    boxes.store.restore(EMPTY)
    boxes.two.known_row()
    clock.now += LEASE_S + 0.5
    assert boxes.two.challenge(boxes.two.known_row())
    boxes.one.renew()
    assert boxes.holder == "one", "its version number was reused for the row of two"
    assert not boxes.one.may_order
    assert not boxes.two.renew()
    assert not boxes.one.renew()


def test_a_holder_that_was_paused_does_not_rewrite_its_lost_lease(
    boxes: Boxes, clock: Clock
) -> None:
    boxes.store.restore(EMPTY)
    clock.now += LEASE_S + 0.1
    boxes.one.renew()
    assert not boxes.one.held


def test_a_successor_yields_to_a_box_that_acquired_the_lease_in_the_restored_store(
    boxes: Boxes, clock: Clock
) -> None:
    boxes.hand_over_in_an_outage()
    boxes.store.restore(EMPTY)
    boxes.store.skip_number()
    boxes.three.known_row()
    clock.now += LEASE_S + 0.5
    assert boxes.three.challenge(boxes.three.known_row())
    boxes.two.renew()
    assert not boxes.two.held
    assert boxes.holder == "three"


def test_a_successor_confirms_its_lease_in_the_restored_store(boxes: Boxes, clock: Clock) -> None:
    handover = boxes.hand_over_in_an_outage()
    boxes.store.restore(EMPTY)
    assert boxes.two.renew()
    assert boxes.two.confirmed
    assert boxes.two.fence > handover.last_fence
