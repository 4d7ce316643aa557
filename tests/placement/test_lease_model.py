"""Stateful test of the placer's lease: boxes act in any order; the store fails or loses answers."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from springrock.placement import lease as lease_module
from springrock.placement.lease import PlacerLease
from springrock.rows import RowStoreUnavailable
from tests.placement.test_lease import LEASE_S, Store, make_lease

BOXES = ("one", "two", "three")
boxes = st.sampled_from(BOXES)


class Relay:
    """Linked boxes that write for a placer; they may be unreachable, or their answers lost."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.down = True
        self.lose_answer = False

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        if self.down:
            raise RowStoreUnavailable("no linked box")
        was_down, was_lossy = self.store.down, self.store.lose_answer
        self.store.down, self.store.lose_answer = False, self.lose_answer
        try:
            return self.store.write(table, key, value, expected=expected)
        finally:
            self.store.down, self.store.lose_answer = was_down, was_lossy


class LeaseModel(RuleBasedStateMachine):
    """Three boxes and one row. Replicas check no fences, so that only time keeps holders apart."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(lease_module, "monotonic", lambda: self.now)
        self.store = Store()
        self.relay = Relay(self.store)
        self.starts = 0
        self.fences: list[int] = []
        self.leases = {box: self.start_lease(box) for box in BOXES}

    def start_lease(self, box: str) -> PlacerLease:
        """Return the lease of a new process of a box."""
        self.starts += 1
        return make_lease(
            self.store,
            box,
            incarnation=f"{box}-{self.starts}",
            checks_fence=False,
            relay=self.relay,
        )

    @rule(seconds=st.sampled_from((0.1, 0.5, LEASE_S * 0.9, LEASE_S * 1.15)))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(order=st.permutations(BOXES), takeover_delay_s=st.sampled_from((0.0, 1.5)))
    def all_challenge(self, order: list[str], takeover_delay_s: float) -> None:
        for lease in (self.leases[box] for box in order):
            if not lease.held and lease.challenge(
                lease.known_row(), takeover_delay_s=takeover_delay_s
            ):
                self.fences.append(lease.fence)

    @rule(box=boxes)
    def renew(self, box: str) -> None:
        if self.leases[box].held:
            self.leases[box].renew()

    @rule(box=boxes, successor=st.booleans())
    def release(self, box: str, successor: bool) -> None:
        if self.leases[box].held:
            self.leases[box].release(reason="a test", successor=successor)

    @rule(box=boxes)
    def restart(self, box: str) -> None:
        self.leases[box] = self.start_lease(box)

    @rule(holder=boxes, other=boxes)
    def receive_heartbeat(self, holder: str, other: str) -> None:
        sender, receiver = self.leases[holder], self.leases[other]
        if sender.may_order and not receiver.held:
            receiver.record_heartbeat(sender.version, sender.left_s)

    @rule(down=st.booleans())
    def set_store_down(self, down: bool) -> None:
        self.store.down = down

    @rule(lose=st.booleans())
    def set_answers_lost(self, lose: bool) -> None:
        self.store.lose_answer = lose

    @rule(down=st.booleans(), lose=st.booleans())
    def set_relay(self, down: bool, lose: bool) -> None:
        self.relay.down, self.relay.lose_answer = down, lose

    @invariant()
    def one_box_holds(self) -> None:
        assert sum(lease.may_order for lease in self.leases.values()) <= 1

    @invariant()
    def fences_rise(self) -> None:
        assert self.fences == sorted(set(self.fences))

    def teardown(self) -> None:
        self.patch.undo()


TestLeaseModel = LeaseModel.TestCase
TestLeaseModel.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
