"""Any order of rows, readings, relays and restarts: cut within the bound, used again afterwards."""

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
CUT_PART = 0.8
GRAIN_S = 1e-6


class World:
    """The clock, and the store with all that was ever written to it."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.version = 0
        self.history: list[Row | Removed] = []
        self.evacuated_at: dict[str, float] = {}
        self.taken_back_at: dict[str, float] = {}
        self.meanwhile: list[Callable[[], None]] = []
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
        self.taken_back_at[zone] = self.now

    # What a box asks of the store.

    def read_all(self, table: str) -> Snapshot:
        self._travel()
        rows = [Row(f"evacuate/{zone}", b"{}", self.version) for zone in self.evacuated_at]
        read = Snapshot(rows, self.version, self.now)
        self._travel()
        return read

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        self._travel()
        if self.is_history_gone:
            self.is_history_gone = False
            raise HistoryGone("scripted")
        changes = [change for change in self.history if change.version > after]
        read = Changes(changes, self.version, self.now)
        self._travel()
        return read

    def _travel(self) -> None:
        if self.meanwhile:
            self.meanwhile.pop(0)()


class Box:
    """What one box knows; it shares what it reads."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.shared: list[Reading] = []
        self.start()

    def start(self) -> None:
        """Start anew, knowing nothing."""
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
        store: Any = self.world
        self.follower = TableFollower(
            store, "op", listener, pause_s=0.0, clock=StoreClock(), log=log
        )
        self.follower.sharing = lambda: True
        self.follower.shared_with = lambda reading, is_own: self.shared.append(reading)

    def read(self) -> None:
        """Ask the store once, as the follower does."""
        try:
            self.follower._step()
        except HistoryGone:
            self.follower._version = None

    def check(self) -> None:
        """Check what the box knows against what was written."""
        now = self.world.now
        # Bounds of the store's clock make told knowledge look older, never newer.
        known_at = now - self.follower.staleness_s
        for zone in ZONES:
            evacuated_at = self.world.evacuated_at.get(zone)
            is_announced = zone in self.evacuations.announced
            cut_in_s = self.evacuations.cut_in_s(zone)
            if evacuated_at is not None and is_announced:
                learned_at = self.evacuations.learned_at(zone)
                assert cut_in_s is not None and learned_at is not None
                latest = max(learned_at, evacuated_at + CUT_PART * WITHIN_S)
                assert not cut_in_s or now + cut_in_s <= latest + GRAIN_S
                assert now < latest + GRAIN_S or zone in self.evacuations.zones
            if evacuated_at is not None and evacuated_at < known_at - GRAIN_S:
                assert is_announced, "what is surely known is heeded"
            taken_back_at = self.world.taken_back_at.get(zone)
            if evacuated_at is None and (taken_back_at or 0.0) < known_at - GRAIN_S:
                assert not is_announced, "a zone that was surely taken back is used again"


seconds = st.floats(min_value=0.0, max_value=3.0)
zones = st.sampled_from(ZONES)
boxes = st.integers(min_value=0, max_value=1)
operators = st.tuples(st.sampled_from(["write", "remove", "none"]), zones, seconds)
steps = st.one_of(
    st.tuples(st.just("operator"), operators),
    st.tuples(st.just("read"), boxes, st.lists(operators, max_size=2)),
    st.tuples(st.just("tell"), boxes, st.integers(min_value=0, max_value=5), st.booleans()),
    st.tuples(st.just("restart"), boxes),
    st.tuples(st.just("drop_history")),
)


class Run:
    """Two boxes that read the store and tell each other, however late and out of order."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.boxes = [Box(world), Box(world)]

    def take(self, step: tuple[Any, ...]) -> None:
        match step:
            case ("operator", operator):
                self._operate(operator)
            case ("read", number, meanwhile):
                self.world.meanwhile = [
                    lambda operator=operator: self._operate(operator) for operator in meanwhile
                ]
                self.boxes[number].read()
                self.world.meanwhile = []
            case ("tell", number, back, relied_on):
                reported = self.boxes[1 - number].shared
                if back < len(reported):
                    reading = reported[len(reported) - 1 - back]
                    self.boxes[number].follower.apply_reading(reading, relied_on=relied_on)
            case ("restart", number):
                self._end(self.boxes[number])
                self.boxes[number].start()
            case ("drop_history",):
                self.world.is_history_gone = True
        for box in self.boxes:
            box.check()

    def end(self) -> None:
        for box in self.boxes:
            self._end(box)

    def _operate(self, operator: tuple[str, str, float]) -> None:
        what, zone, after_s = operator
        self.world.now += after_s
        if what == "write":
            self.world.write(zone)
        elif what == "remove":
            self.world.remove(zone)

    def _end(self, box: Box) -> None:
        box.evacuations.replace(())


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=30))
def test_a_zone_is_cut_within_the_bound_and_used_again_once_taken_back(
    taken: list[tuple[Any, ...]],
) -> None:
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (follower_module, store_clock_module, evacuations_module):
            patch.setattr(module, "monotonic", lambda: world.now)
        run = Run(world)
        for step in taken:
            run.take(step)
        run.end()
