"""Leases in a store that comes back from copies, as a model: any order of everything."""

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


class ReturningStore:
    """One row under a condition; it can become again what it was."""

    def __init__(self) -> None:
        self.era = 1
        self.number = 0
        self.row: tuple[str, bytes, int] | None = None
        self.copies: list[tuple[int, tuple[str, bytes, int] | None]] = [(0, None)]
        self.down = False
        self.late: list[tuple[str, bytes, int]] = []

    def write(self, key: str, value: bytes, number: int) -> bool:
        """Write if the row has a number as its version; return whether it did."""
        if (self.row[2] if self.row else 0) != number:
            return False
        self.number += 1
        self.row = (key, value, self.number)
        self.copies.append((self.number, self.row))
        return True

    def pass_over(self) -> None:
        """Let another transaction take a number."""
        self.number += 1
        self.copies.append((self.number, self.row))

    def return_from(self, copy: int) -> None:
        self.number, self.row = self.copies[copy]
        del self.copies[copy + 1 :]
        self.era += 1


class Client:
    """What `PlatformStore` does with eras, for one box."""

    def __init__(self, store: ReturningStore) -> None:
        self._store = store
        self._era = 0
        self.loses = False
        self.does_late = False

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
        if self.does_late:
            self._store.late.append((key, value, number_of(expected)))
            raise RowStoreUnavailable("perhaps later")
        if self._store.down:
            raise RowStoreUnavailable("down")
        written = self._store.write(key, value, number_of(expected))
        if self.loses:
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
    """Three boxes that know the rows since before the first return, one row, one engine."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(lease_module, "monotonic", lambda: self.now)
        self.store = ReturningStore()
        self.engine = Engine()
        self.reported: list[Successor] = []
        self.clients = {box: Client(self.store) for box in BOXES}
        self.leases = {box: self._lease(box) for box in BOXES}
        for box in BOXES:
            self.look(box)

    def _lease(self, box: str) -> PlacerLease:
        client = self.clients[box]
        return make_lease(client, box, rows=ReadRows(client))

    @rule(seconds=st.sampled_from((0.1, 0.5, LEASE_S * 0.4, LEASE_S * 1.15)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(box=boxes)
    def look(self, box: str) -> None:
        lease = self.leases[box]
        if not lease.held:
            lease.challenge(lease.known_row())

    @rule(box=boxes)
    def renew(self, box: str) -> None:
        if self.leases[box].held:
            self.leases[box].renew()

    @rule(box=boxes)
    def give_up(self, box: str) -> None:
        if self.leases[box].held:
            self.leases[box].give_up(reason="a test", successor=True)

    @rule(box=boxes, handover_target=boxes)
    def hand_over(self, box: str, handover_target: str) -> None:
        if self.leases[box].held and box != handover_target:
            chosen = HandoverTarget(handover_target, f"{handover_target}-1", "127.0.0.1:1")
            handover = self.leases[box].give_up(
                reason="a test", successor=True, handover_target=chosen
            )
            if handover is not None:
                self.reported.append(handover)

    @precondition(lambda self: self.reported)
    @rule(data=st.data())
    def hear_of_a_handover(self, data: st.DataObject) -> None:
        handover = data.draw(st.sampled_from(self.reported))
        self.leases[handover.box].adopt(handover)

    @rule(order=st.permutations(BOXES))
    def order(self, order: list[str]) -> None:
        for box in order:
            lease = self.leases[box]
            if lease.holds and not self.engine.takes(lease.fence, by=box):
                lease.lose(reason="an engine saw a newer fence")

    @rule(down=st.booleans())
    def store_fails_or_heals(self, down: bool) -> None:
        self.store.down = down

    @rule(box=boxes, loses=st.booleans(), late=st.booleans())
    def answers_are_lost(self, box: str, loses: bool, late: bool) -> None:
        self.clients[box].loses, self.clients[box].does_late = loses, late

    @rule()
    def another_transaction(self) -> None:
        self.store.pass_over()

    @rule(data=st.data(), order=st.permutations(BOXES))
    def the_store_returns(self, data: st.DataObject, order: list[str]) -> None:
        """It comes back from a copy; some boxes look and renew before others know of it."""
        self.store.down = False
        self.store.return_from(data.draw(st.integers(0, len(self.store.copies) - 1)))
        for box in order[: data.draw(st.integers(0, len(BOXES)))]:
            self.look(box)
            self.renew(box)
        self.order(order)

    @rule(data=st.data(), order=st.permutations(BOXES), renews=st.booleans())
    def the_store_returns_and_others_follow(
        self, data: st.DataObject, order: list[str], renews: bool
    ) -> None:
        """Who holds the lease orders, and renews it after the return or not before it lapses."""
        self.order(order)
        self.store.down = False
        self.store.return_from(data.draw(st.integers(0, len(self.store.copies) - 1)))
        for _ in range(2):
            for box in order:
                self.look(box)
                if renews:
                    self.renew(box)
                self.one_box_has_time_on_the_lease()
            self.pass_time(LEASE_S * 1.15)
        for box in order:
            self.look(box)
            self.renew(box)
            self.one_box_has_time_on_the_lease()
        self.order(order)

    @rule(box=boxes, handover_target=boxes, order=st.permutations(BOXES))
    def hand_over_in_an_outage(self, box: str, handover_target: str, order: list[str]) -> None:
        """The usual case, which the rules above reach seldom: the heir hears of it and goes on."""
        self.store.down = True
        self.renew(box)
        before = len(self.reported)
        self.hand_over(box, handover_target)
        for handover in self.reported[before:]:
            self.leases[handover.box].adopt(handover)
        self.renew(handover_target)
        self.order(order)

    @precondition(lambda self: self.store.late)
    @rule(data=st.data())
    def do_a_late_write(self, data: st.DataObject) -> None:
        late = data.draw(st.sampled_from(self.store.late))
        self.store.late.remove(late)
        self.store.write(*late)

    @invariant()
    def nobody_has_the_fence_of_another(self) -> None:
        held = [lease.fence for lease in self.leases.values() if lease.held]
        assert len(held) == len(set(held))

    @invariant()
    def one_box_has_time_on_the_lease(self) -> None:
        assert sum(lease.left_s > 0 for lease in self.leases.values() if lease.held) <= 1

    def teardown(self) -> None:
        self.patch.undo()


TestReturnModel = ReturnModel.TestCase
TestReturnModel.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
