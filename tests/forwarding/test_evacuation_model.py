"""A model test of evacuations: rows, readings, relays between boxes and restarts in any order.

A zone must be cut within the bound, and must be used again after its evacuation ended.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springrock import store_clock as store_clock_module
from springrock import table_follower as follower_module
from springrock.forwarding import evacuations as evacuations_module
from springrock.forwarding.evacuations import Evacuations
from springrock.log import Log
from springrock.platform.tables import OperatorTable
from springrock.rows import Changes, HistoryGone, Removed, Row, Snapshot
from springrock.rows import TableReading as Reading
from springrock.store_clock import StoreClock
from springrock.table_follower import TableFollower
from springrock.topology import Topology

ZONES = ("z-1", "z-2")
WITHIN_S = 5.0
CUT_FRACTION = 0.8
CLOCK_TOLERANCE_S = 1e-6


class StoreModel:
    """The clock, and a store that keeps its whole history."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.version = 0
        self.history: list[Row | Removed] = []
        self.evacuated_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.pending_changes: list[Callable[[], None]] = []
        self.is_history_gone = False

    def write(self, zone: str) -> None:
        self.version += 1
        self.history.append(Row(f"evacuate/{zone}", b"{}", self.version))
        self.evacuated_at.setdefault(zone, self.now)

    def remove(self, zone: str) -> None:
        if self.evacuated_at.pop(zone, None) is None:
            return
        self.version += 1
        self.history.append(Removed(f"evacuate/{zone}", self.version))
        self.ended_at[zone] = self.now

    # The interface of the store.

    def read_all(self, table: str) -> Snapshot:
        self._apply_pending_change()
        rows = [Row(f"evacuate/{zone}", b"{}", self.version) for zone in self.evacuated_at]
        read = Snapshot(rows, self.version, self.now)
        self._apply_pending_change()
        return read

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self._apply_pending_change()
        if self.is_history_gone:
            self.is_history_gone = False
            raise HistoryGone("scripted")
        changes = [change for change in self.history if change.version > after]
        read = Changes(changes, self.version, self.now)
        self._apply_pending_change()
        return read

    def _apply_pending_change(self) -> None:
        if self.pending_changes:
            self.pending_changes.pop(0)()


class Box:
    """A box with its evacuations, which shares its readings."""

    def __init__(self, store_model: StoreModel) -> None:
        self.store_model = store_model
        self.shared: list[Reading] = []
        self.start()

    def start(self) -> None:
        """Start without any state."""
        log = Log("test", "box-1")
        self.evacuations = Evacuations(
            Topology(home="z-1", zones=ZONES),
            within_s=lambda: WITHIN_S,
            staleness_s=lambda: self.follower.staleness_s,
            log=log,
        )
        listener = OperatorTable(
            on_configuration=lambda configuration: None,
            on_unreadable=lambda: None,
            on_version=lambda key, version: None,
            evacuations=self.evacuations,
            log=log,
        )
        store: Any = self.store_model
        self.follower = TableFollower(
            store, "op", listener, pause_s=0.0, clock=StoreClock(), log=log
        )
        self.follower.publishes = lambda: True
        self.follower.publisher = lambda reading, is_own: self.shared.append(reading)

    def read(self) -> None:
        """Read the store once, as the follower does."""
        try:
            self.follower._read_and_apply()
        except HistoryGone:
            self.follower._version = None

    def check(self) -> None:
        """Compare the state of the box with the rows of the store."""
        now = self.store_model.now
        # The uncertainty of the store's clock makes relayed readings look older, never newer.
        known_at = now - self.follower.staleness_s
        for zone in ZONES:
            evacuated_at = self.store_model.evacuated_at.get(zone)
            is_announced = zone in self.evacuations.announced
            cut_in_s = self.evacuations.cut_in_s(zone)
            if evacuated_at is not None and is_announced:
                learned_at = self.evacuations.learned_at(zone)
                assert cut_in_s is not None and learned_at is not None
                latest = max(learned_at, evacuated_at + CUT_FRACTION * WITHIN_S)
                assert not cut_in_s or now + cut_in_s <= latest + CLOCK_TOLERANCE_S
                assert now < latest + CLOCK_TOLERANCE_S or zone in self.evacuations.cut_zones
            if evacuated_at is not None and evacuated_at < known_at - CLOCK_TOLERANCE_S:
                assert is_announced, "an evacuation that is certainly known is announced"
            ended_at = self.store_model.ended_at.get(zone)
            if evacuated_at is None and (ended_at or 0.0) < known_at - CLOCK_TOLERANCE_S:
                assert not is_announced, "a zone whose evacuation certainly ended is used again"


seconds = st.floats(min_value=0.0, max_value=3.0)
zones = st.sampled_from(ZONES)
boxes = st.integers(min_value=0, max_value=1)
operator_actions = st.tuples(st.sampled_from(["write", "remove", "none"]), zones, seconds)
steps = st.one_of(
    st.tuples(st.just("operator"), operator_actions),
    st.tuples(st.just("read"), boxes, st.lists(operator_actions, max_size=2)),
    st.tuples(st.just("tell"), boxes, st.integers(min_value=0, max_value=5), st.booleans()),
    st.tuples(st.just("restart"), boxes),
    st.tuples(st.just("drop_history")),
)


class Run:
    """Two boxes that read the store and relay readings to each other, late and out of order."""

    def __init__(self, store_model: StoreModel) -> None:
        self.store_model = store_model
        self.boxes = [Box(store_model), Box(store_model)]

    def execute(self, step: tuple[Any, ...]) -> None:
        match step:
            case ("operator", action):
                self._change_store(action)
            case ("read", number, pending_changes):
                self.store_model.pending_changes = [
                    lambda action=action: self._change_store(action) for action in pending_changes
                ]
                self.boxes[number].read()
                self.store_model.pending_changes = []
            case ("tell", number, back, relied_on):
                reported = self.boxes[1 - number].shared
                if back < len(reported):
                    reading = reported[len(reported) - 1 - back]
                    self.boxes[number].follower.apply_reading(reading, relied_on=relied_on)
            case ("restart", number):
                self._end_evacuations(self.boxes[number])
                self.boxes[number].start()
            case ("drop_history",):
                self.store_model.is_history_gone = True
        for box in self.boxes:
            box.check()

    def end(self) -> None:
        for box in self.boxes:
            self._end_evacuations(box)

    def _change_store(self, action: tuple[str, str, float]) -> None:
        change, zone, after_s = action
        self.store_model.now += after_s
        if change == "write":
            self.store_model.write(zone)
        elif change == "remove":
            self.store_model.remove(zone)

    def _end_evacuations(self, box: Box) -> None:
        box.evacuations.replace(())


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=30))
def test_a_zone_is_cut_within_the_bound_and_used_again_after_its_evacuation(
    chosen_steps: list[tuple[Any, ...]],
) -> None:
    store_model = StoreModel()
    with pytest.MonkeyPatch.context() as patch:
        for module in (follower_module, store_clock_module, evacuations_module):
            patch.setattr(module, "monotonic", lambda: store_model.now)
        run = Run(store_model)
        for step in chosen_steps:
            run.execute(step)
        run.end()
