"""Stateful test of handovers: stops, starts and outages of the store in any order."""

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


class DelayingStore(Store):
    """A store that can leave writes unanswered and apply them later."""

    def __init__(self) -> None:
        super().__init__()
        self.delays_writes = False
        self.delayed: list[tuple[str, str, bytes, int]] = []

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        if self.delays_writes:
            self.delayed.append((table, key, value, expected))
            raise RowStoreUnavailable("the write may take effect later")
        return super().write(table, key, value, expected=expected)


class Engine:
    """An engine that refuses orders with an older fence, and records which box used which fence."""

    def __init__(self) -> None:
        self.newest = 0
        self.ordered_by: dict[int, str] = {}

    def accepts(self, fence: int, *, by: str) -> bool:
        known = self.ordered_by.setdefault(fence, by)
        assert known == by, f"{known} and {by} both ordered with fence {fence}"
        if fence < self.newest:
            return False
        self.newest = fence
        return True


class SuccessionModel(RuleBasedStateMachine):
    """Three boxes, one row and one engine; handovers arrive late, twice or never."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(lease_module, "monotonic", lambda: self.now)
        self.store = DelayingStore()
        self.engine = Engine()
        self.starts = 0
        self.handovers: list[Successor] = []
        self.incarnations: dict[str, str] = {}
        self.leases = {box: self.start_lease(box) for box in BOXES}
        self.challenge_lease("one")

    def start_lease(self, box: str) -> PlacerLease:
        """Return the lease of a new process of a box."""
        self.starts += 1
        self.incarnations[box] = f"{box}-{self.starts}"
        return make_lease(self.store, box, incarnation=self.incarnations[box])

    @rule(seconds=st.sampled_from((0.1, 0.5, LEASE_S * 0.4, LEASE_S * 1.15)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(box=boxes)
    def challenge_lease(self, box: str) -> None:
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
        """Stop and restart a holder as planned, or let it hand over to a better placer."""
        held = [box for box, lease in self.leases.items() if lease.held]
        if held:
            self._stop(held[0], handover_target, stays)

    @rule(handover_target=boxes, stays=st.booleans())
    def stop_in_an_outage(self, handover_target: str, stays: bool) -> None:
        """Stop in an outage, which the other rules seldom do; the target adopts the lease."""
        self.store.down = True
        self.renew()
        before = len(self.handovers)
        self.stop(handover_target, stays)
        for handover in self.handovers[before:]:
            self._receive(handover)
        self.renew()
        self.order(list(BOXES))

    @rule(order=st.permutations(BOXES), renews=st.booleans())
    def end_outage(self, order: list[str], renews: bool) -> None:
        """End the outage; any box may acquire the lease before the box that continues renews it."""
        self.set_store_faults(down=False, delays_writes=False, lose=False)
        if renews:
            self.renew()
        for _ in range(2):
            for box in order:
                self.challenge_lease(box)
            self.pass_time(LEASE_S * 1.15)
        self.order(order)

    def _stop(self, box: str, handover_target: str, stays: bool) -> None:
        chosen = (
            HandoverTarget(handover_target, self.incarnations[handover_target], "127.0.0.1:1")
            if handover_target != box
            else None
        )
        handover = self.leases[box].release(reason="a test", successor=True, handover_target=chosen)
        if handover is not None:
            self.handovers.append(handover)
        if not stays:
            self.leases[box] = self.start_lease(box)

    @rule(box=boxes)
    def kill(self, box: str) -> None:
        self.leases[box] = self.start_lease(box)

    @precondition(lambda self: self.handovers)
    @rule(data=st.data(), again=st.booleans())
    def receive_handover(self, data: st.DataObject, again: bool) -> None:
        handover = data.draw(st.sampled_from(self.handovers))
        if not again:
            self.handovers.remove(handover)
        self._receive(handover)

    def _receive(self, handover: Successor) -> None:
        if self.incarnations[handover.box] == handover.incarnation:
            self.leases[handover.box].adopt(handover)

    @rule(order=st.permutations(BOXES))
    def order(self, order: list[str]) -> None:
        for box in order:
            lease = self.leases[box]
            if lease.may_order and not self.engine.accepts(lease.fence, by=self.incarnations[box]):
                lease.record_lost(reason="an engine saw a newer fence")

    @rule(down=st.booleans(), delays_writes=st.booleans(), lose=st.booleans())
    def set_store_faults(self, down: bool, delays_writes: bool, lose: bool) -> None:
        self.store.down, self.store.delays_writes, self.store.lose_answer = (
            down,
            delays_writes,
            lose,
        )

    @precondition(lambda self: self.store.delayed)
    @rule(data=st.data())
    def apply_delayed_write(self, data: st.DataObject) -> None:
        delayed = data.draw(st.sampled_from(self.store.delayed))
        self.store.delayed.remove(delayed)
        table, key, value, expected = delayed
        existing = self.store.row.version if self.store.row else 0
        if existing == expected:
            down, self.store.down = self.store.down, False
            delays_writes, self.store.delays_writes = self.store.delays_writes, False
            lose, self.store.lose_answer = self.store.lose_answer, False
            self.store.write(table, key, value, expected=expected)
            self.store.down, self.store.delays_writes, self.store.lose_answer = (
                down,
                delays_writes,
                lose,
            )

    @invariant()
    def held_fences_differ(self) -> None:
        held = [lease.fence for lease in self.leases.values() if lease.held]
        assert len(held) == len(set(held))

    @invariant()
    def unconfirmed_leases_have_no_time_left(self) -> None:
        for lease in self.leases.values():
            assert lease.confirmed or lease.left_s == 0.0

    def teardown(self) -> None:
        self.patch.undo()


TestSuccessionModel = SuccessionModel.TestCase
TestSuccessionModel.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
