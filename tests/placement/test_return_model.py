"""Stateful test of leases in a store that is restored from copies at any time."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springrock.eras import era_of, number_of, version_in
from springrock.placement import lease as lease_module
from springrock.placement.lease import PlacerLease
from springrock.placement.placer_row import TABLE
from springrock.placement.succession import HandoverTarget, Successor
from springrock.rows import (
    Changes,
    Row,
    RowConflict,
    RowStoreUnavailable,
    Snapshot,
    WrittenInAnotherEra,
)
from tests.placement.test_lease import LEASE_S, ReadRows, make_lease
from tests.placement.test_succession_model import Engine

BOXES = ("one", "two", "three")
boxes = st.sampled_from(BOXES)


class RestorableStore:
    """A store of one row with conditional writes that can be restored from an earlier copy."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 0
        self.row: tuple[str, bytes, int] | None = None
        self.copies: list[tuple[int, tuple[str, bytes, int] | None]] = [(0, None)]
        self.down = False
        self.delayed: list[tuple[str, bytes, int]] = []

    def write(self, key: str, value: bytes, number: int) -> bool:
        """Write if the row's version has the given number; return whether it did."""
        if (self.row[2] if self.row else 0) != number:
            return False
        self.number += 1
        self.row = (key, value, self.number)
        self.copies.append((self.number, self.row))
        return True

    def skip_number(self) -> None:
        """Use up one version number, as another transaction would."""
        self.number += 1
        self.copies.append((self.number, self.row))

    def restore(self, copy: int) -> None:
        self.number, self.row = self.copies[copy]
        del self.copies[copy + 1 :]
        self.era += 1


class Client:
    """One box's client of the store; handles eras as `PlatformStore` does."""

    def __init__(self, store: RestorableStore) -> None:
        self._store = store
        self._era = 0
        self.loses_answers = False
        self.delays_writes = False

    @property
    def row(self) -> Row | None:
        row = self._store.row
        if row is None:
            return None
        return Row(row[0], row[1], version_in(self._store.era, row[2]))

    def read_all(self, table: str) -> Snapshot:
        assert table == TABLE
        self._answer()
        rows = [self.row] if self.row else []
        return Snapshot(rows, version_in(self._store.era, self._store.number))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        raise NotImplementedError

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        newest = version_in(self._store.era, self._store.number)
        if 0 < era_of(expected) < self._era:
            self._answer()
            raise RowConflict(self.row, version=newest)
        if self.delays_writes:
            self._store.delayed.append((key, value, number_of(expected)))
            raise RowStoreUnavailable("the write may take effect later")
        if self._store.down:
            raise RowStoreUnavailable("down")
        written = self._store.write(key, value, number_of(expected))
        if self.loses_answers:
            raise RowStoreUnavailable("the answer is lost")
        self._answer()
        if not written:
            raise RowConflict(self.row, version=newest)
        if era_of(expected) not in (0, self._store.era):
            raise WrittenInAnotherEra(version_in(self._store.era, self._store.number))
        return version_in(self._store.era, self._store.number)

    def _answer(self) -> None:
        if self._store.down:
            raise RowStoreUnavailable("down")
        self._era = self._store.era


class ReturnModel(RuleBasedStateMachine):
    """Three boxes, one row and one engine. The boxes read the row before the first restore."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(lease_module, "monotonic", lambda: self.now)
        self.store = RestorableStore()
        self.engine = Engine()
        self.handovers: list[Successor] = []
        self.clients = {box: Client(self.store) for box in BOXES}
        self.leases = {box: self._lease(box) for box in BOXES}
        for box in BOXES:
            self.challenge_lease(box)

    def _lease(self, box: str) -> PlacerLease:
        client = self.clients[box]
        return make_lease(client, box, rows=ReadRows(client))

    @rule(seconds=st.sampled_from((0.1, 0.5, LEASE_S * 0.4, LEASE_S * 1.15)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(box=boxes)
    def challenge_lease(self, box: str) -> None:
        lease = self.leases[box]
        if not lease.held:
            lease.challenge(lease.known_row())

    @rule(box=boxes)
    def renew(self, box: str) -> None:
        if self.leases[box].held:
            self.leases[box].renew()

    @rule(box=boxes)
    def release(self, box: str) -> None:
        if self.leases[box].held:
            self.leases[box].release(reason="a test", successor=True)

    @rule(box=boxes, handover_target=boxes)
    def hand_over(self, box: str, handover_target: str) -> None:
        if self.leases[box].held and box != handover_target:
            chosen = HandoverTarget(handover_target, f"{handover_target}-1", "127.0.0.1:1")
            handover = self.leases[box].release(
                reason="a test", successor=True, handover_target=chosen
            )
            if handover is not None:
                self.handovers.append(handover)

    @precondition(lambda self: self.handovers)
    @rule(data=st.data())
    def receive_handover(self, data: st.DataObject) -> None:
        handover = data.draw(st.sampled_from(self.handovers))
        self.leases[handover.box].adopt(handover)

    @rule(order=st.permutations(BOXES))
    def order(self, order: list[str]) -> None:
        for box in order:
            lease = self.leases[box]
            if lease.may_order and not self.engine.accepts(lease.fence, by=box):
                lease.record_lost(reason="an engine saw a newer fence")

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        self.store.down = down

    @rule(box=boxes, loses_answers=st.booleans(), delayed=st.booleans())
    def set_faults(self, box: str, loses_answers: bool, delayed: bool) -> None:
        self.clients[box].loses_answers, self.clients[box].delays_writes = loses_answers, delayed

    @rule()
    def skip_a_number(self) -> None:
        self.store.skip_number()

    @rule(data=st.data(), order=st.permutations(BOXES))
    def restore_store(self, data: st.DataObject, order: list[str]) -> None:
        """Restore the store; some boxes challenge and renew before the others learn of it."""
        self.store.down = False
        self.store.restore(data.draw(st.integers(0, len(self.store.copies) - 1)))
        for box in order[: data.draw(st.integers(0, len(BOXES)))]:
            self.challenge_lease(box)
            self.renew(box)
        self.order(order)

    @rule(data=st.data(), order=st.permutations(BOXES), renews=st.booleans())
    def restore_store_and_expire(self, data: st.DataObject, order: list[str], renews: bool) -> None:
        """Restore the store; the holder renews after the restore, or not before the expiry."""
        self.order(order)
        self.store.down = False
        self.store.restore(data.draw(st.integers(0, len(self.store.copies) - 1)))
        for _ in range(2):
            for box in order:
                self.challenge_lease(box)
                if renews:
                    self.renew(box)
                self.at_most_one_lease_is_unexpired()
            self.pass_time(LEASE_S * 1.15)
        for box in order:
            self.challenge_lease(box)
            self.renew(box)
            self.at_most_one_lease_is_unexpired()
        self.order(order)

    @rule(box=boxes, handover_target=boxes, order=st.permutations(BOXES))
    def hand_over_in_an_outage(self, box: str, handover_target: str, order: list[str]) -> None:
        """Hand over in an outage, which the other rules seldom do; the target adopts the lease."""
        self.store.down = True
        self.renew(box)
        before = len(self.handovers)
        self.hand_over(box, handover_target)
        for handover in self.handovers[before:]:
            self.leases[handover.box].adopt(handover)
        self.renew(handover_target)
        self.order(order)

    @precondition(lambda self: self.store.delayed)
    @rule(data=st.data())
    def apply_delayed_write(self, data: st.DataObject) -> None:
        delayed = data.draw(st.sampled_from(self.store.delayed))
        self.store.delayed.remove(delayed)
        self.store.write(*delayed)

    @invariant()
    def held_fences_differ(self) -> None:
        held = [lease.fence for lease in self.leases.values() if lease.held]
        assert len(held) == len(set(held))

    @invariant()
    def at_most_one_lease_is_unexpired(self) -> None:
        assert sum(lease.left_s > 0 for lease in self.leases.values() if lease.held) <= 1

    def teardown(self) -> None:
        self.patch.undo()


TestReturnModel = ReturnModel.TestCase
TestReturnModel.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
