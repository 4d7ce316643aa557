"""Roles handed over as a model: stops, starts and outages of the store in any order."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from springrock.placement import lease as lease_module
from springrock.placement.lease import PlacerLease
from springrock.placement.succession import HandoverTarget, Successor
from springrock.rows import RowStoreUnavailable
from tests.placement.test_lease import LEASE_S, Store, make_lease

BOXES = ("one", "two", "three")
boxes = st.sampled_from(BOXES)


class LateStore(Store):
    """Does some writes later, after it did not answer them."""

    def __init__(self) -> None:
        super().__init__()
        self.does_late = False
        self.late: list[tuple[str, str, bytes, int]] = []

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        if self.does_late:
            self.late.append((table, key, value, expected))
            raise RowStoreUnavailable("perhaps later")
        return super().write(table, key, value, expected=expected)


class Engine:
    """Refuses orders with an older fence, and remembers who ordered under which."""

    def __init__(self) -> None:
        self.newest = 0
        self.ordered_by: dict[int, str] = {}

    def takes(self, fence: int, *, by: str) -> bool:
        known = self.ordered_by.setdefault(fence, by)
        assert known == by, f"{known} and {by} both ordered under {fence}"
        if fence < self.newest:
            return False
        self.newest = fence
        return True


class SuccessionModel(RuleBasedStateMachine):
    """Three boxes, one row, one engine; what is handed over arrives late, twice or never."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(lease_module, "monotonic", lambda: self.now)
        self.store = LateStore()
        self.engine = Engine()
        self.starts = 0
        self.reported: list[Successor] = []
        self.incarnations: dict[str, str] = {}
        self.leases = {box: self.started(box) for box in BOXES}
        self.look("one")

    def started(self, box: str) -> PlacerLease:
        """Return the lease of a new process of a box."""
        self.starts += 1
        self.incarnations[box] = f"{box}-{self.starts}"
        return make_lease(self.store, box, incarnation=self.incarnations[box])

    @rule(seconds=st.sampled_from((0.1, 0.5, LEASE_S * 0.4, LEASE_S * 1.15)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(box=boxes)
    def look(self, box: str) -> None:
        lease = self.leases[box]
        if not lease.held:
            lease.challenge(lease.known_row())

    @rule()
    def renew(self) -> None:
        for lease in self.leases.values():
            if lease.held:
                lease.renew()

    @rule(handover_target=boxes, stays=st.booleans())
    def stop(self, handover_target: str, stays: bool) -> None:
        """A holder stops as planned and starts anew, or gives its role to one that does better."""
        held = [box for box, lease in self.leases.items() if lease.held]
        if held:
            self._stop(held[0], handover_target, stays)

    @rule(handover_target=boxes, stays=st.booleans())
    def stop_in_an_outage(self, handover_target: str, stays: bool) -> None:
        """The usual case, which the rules above reach seldom: the heir hears of it and goes on."""
        self.store.down = True
        self.renew()
        before = len(self.reported)
        self.stop(handover_target, stays)
        for handover in self.reported[before:]:
            self._hear(handover)
        self.renew()
        self.order(list(BOXES))

    @rule(order=st.permutations(BOXES), renews=st.booleans())
    def the_store_returns(self, order: list[str], renews: bool) -> None:
        """Whoever knew of no holder may take the lease, also before one renews it that goes on."""
        self.store_changes(down=False, does_late=False, lose=False)
        if renews:
            self.renew()
        for _ in range(2):
            for box in order:
                self.look(box)
            self.pass_time(LEASE_S * 1.15)
        self.order(order)

    def _stop(self, box: str, handover_target: str, stays: bool) -> None:
        chosen = (
            HandoverTarget(handover_target, self.incarnations[handover_target], "127.0.0.1:1")
            if handover_target != box
            else None
        )
        handover = self.leases[box].give_up(reason="a test", successor=True, handover_target=chosen)
        if handover is not None:
            self.reported.append(handover)
        if not stays:
            self.leases[box] = self.started(box)

    @rule(box=boxes)
    def kill(self, box: str) -> None:
        self.leases[box] = self.started(box)

    @precondition(lambda self: self.reported)
    @rule(data=st.data(), again=st.booleans())
    def hear_of_a_handover(self, data: st.DataObject, again: bool) -> None:
        handover = data.draw(st.sampled_from(self.reported))
        if not again:
            self.reported.remove(handover)
        self._hear(handover)

    def _hear(self, handover: Successor) -> None:
        if self.incarnations[handover.box] == handover.incarnation:
            self.leases[handover.box].adopt(handover)

    @rule(order=st.permutations(BOXES))
    def order(self, order: list[str]) -> None:
        for box in order:
            lease = self.leases[box]
            if lease.holds and not self.engine.takes(lease.fence, by=self.incarnations[box]):
                lease.lose(reason="an engine saw a newer fence")

    @rule(down=st.booleans(), does_late=st.booleans(), lose=st.booleans())
    def store_changes(self, down: bool, does_late: bool, lose: bool) -> None:
        self.store.down, self.store.does_late, self.store.lose_answer = down, does_late, lose

    @precondition(lambda self: self.store.late)
    @rule(data=st.data())
    def do_a_late_write(self, data: st.DataObject) -> None:
        late = data.draw(st.sampled_from(self.store.late))
        self.store.late.remove(late)
        table, key, value, expected = late
        existing = self.store.row.version if self.store.row else 0
        if existing == expected:
            down, self.store.down = self.store.down, False
            does_late, self.store.does_late = self.store.does_late, False
            lose, self.store.lose_answer = self.store.lose_answer, False
            self.store.write(table, key, value, expected=expected)
            self.store.down, self.store.does_late, self.store.lose_answer = down, does_late, lose

    @invariant()
    def nobody_has_the_fence_of_another(self) -> None:
        held = [lease.fence for lease in self.leases.values() if lease.held]
        assert len(held) == len(set(held))

    @invariant()
    def what_was_handed_over_counts_for_nothing_until_it_is_confirmed(self) -> None:
        for lease in self.leases.values():
            assert lease.confirmed or lease.left_s == 0.0

    def teardown(self) -> None:
        self.patch.undo()


TestSuccessionModel = SuccessionModel.TestCase
TestSuccessionModel.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
