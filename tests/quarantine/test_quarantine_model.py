"""Any order of crashes, reports, readings, relays and restarts: who knows, sends it to no more.

Boxes send a request that crashes what runs it, and others that ran beside it; the reports of the
crashes reach the store late or never, and the boxes in any order.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from springrock import store_clock as store_clock_module
from springrock import table_follower as follower_module
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import book as book_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import KEY_PREFIX, CrashReport, new_key
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Changes, HistoryGone, ListenersByKey, Removed, Row, Snapshot
from springrock.rows import TableReading as Reading
from springrock.store_clock import StoreClock
from springrock.table_follower import TableFollower

TERMS = QuarantineTerms(crashes=3, for_s=60.0)
GUILTY = Fingerprint("f" * 32)
BESIDE = [Fingerprint(f"{number:032x}") for number in range(3)]
BOXES = 3
GRAIN_S = 1e-6
"""What sums of floating numbers are off by."""


class World:
    """The clock, the store's rows, and what really happened."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.version = 0
        self.rows: dict[str, Row] = {}
        self.history: list[Row | Removed] = []
        self.is_history_gone = False
        self.instances = 0
        self.crashes_of: dict[Fingerprint, set[str]] = {}

    def write(self, key: str, report: CrashReport) -> None:
        self.version += 1
        row = Row(key, msgspec.json.encode(report), self.version)
        self.rows[key] = row
        self.history.append(row)

    def remove(self, key: str) -> None:
        self.version += 1
        del self.rows[key]
        self.history.append(Removed(key, self.version))

    def reports(self) -> dict[str, CrashReport]:
        """The reports that stand in the store, by their keys."""
        return {
            key: msgspec.json.decode(row.value, type=CrashReport) for key, row in self.rows.items()
        }

    # What a box asks of the store.

    def read_all(self, table: str) -> Snapshot:
        return Snapshot(list(self.rows.values()), self.version, self.now)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        if self.is_history_gone:
            self.is_history_gone = False
            raise HistoryGone("scripted")
        changes = [change for change in self.history if change.version > after]
        return Changes(changes, self.version, self.now)


class Box:
    """What one box knows, and what it has yet to write."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.shared: list[Reading] = []
        self.start()

    def start(self) -> None:
        """Start anew, knowing nothing; what was not written is lost."""
        self.unwritten: dict[str, CrashReport] = {}
        self.learned_at: dict[str, float] = {}
        self.book = CrashBook(terms=lambda: TERMS, log=Log("test", "box"))
        store: Any = self.world
        self.follower = TableFollower(
            store,
            "t",
            ListenersByKey({KEY_PREFIX: self.book}),
            pause_s=0.0,
            clock=StoreClock(),
            log=Log("test", "box"),
        )
        self.follower.sharing = lambda: True
        self.follower.shared_with = lambda reading, is_own: self.shared.append(reading)

    def send(self, beside: int) -> str | None:
        """Send the guilty request if it may be sent; a replica crashes with what ran beside."""
        if self.book.quarantined_for_s(GUILTY) is not None:
            return None
        self.world.instances += 1
        instance = f"i-{self.world.instances}"
        self.crash_detector(instance, [GUILTY, *BESIDE[:beside]])
        return instance

    def crash_detector(self, instance: str, requests: list[Fingerprint]) -> None:
        """See a replica crash under some requests of this box."""
        for fingerprint in requests:
            self.world.crashes_of.setdefault(fingerprint, set()).add(instance)
        accused = [str(item) for item in requests if not self.book.consume_completion(item)]
        key = new_key()
        self.unwritten[key] = CrashReport("box", instance, accused)
        self.book.hold(key, self.unwritten[key])
        self.learned_at[key] = self.world.now

    def write(self) -> None:
        for key, report in self.unwritten.items():
            self.world.write(key, report)
        self.unwritten = {}

    def read(self) -> None:
        """Ask the store once, as the follower does."""
        try:
            self.follower._step()
        except HistoryGone:
            self.follower._version = None
            return
        for key in self.world.rows:
            self.learned_at.setdefault(key, self.world.now)

    def knows(self) -> int:
        """How many crashes of the guilty request it has surely read or seen, and not forgotten.

        Known is a row, not a crash: of one whose row it saw removed it may yet have to read that
        another box has reported it as well.
        """
        horizon = self.world.now - TERMS.for_s
        existing = {**self.world.reports(), **self.unwritten}
        return len(
            {
                existing[key].instance
                for key, at in self.learned_at.items()
                if at > horizon and key in existing and GUILTY in existing[key].requests
            }
        )

    def check(self) -> None:
        if self.knows() >= TERMS.crashes:
            assert self.book.quarantined_for_s(GUILTY) is not None, "who knows, refuses"
        for fingerprint in (GUILTY, *BESIDE):
            if len(self.world.crashes_of.get(fingerprint, ())) < TERMS.crashes:
                assert self.book.quarantined_for_s(fingerprint) is None, "nobody for less"
        left_s = self.book.quarantined_for_s(GUILTY)
        assert left_s is None or 0 < left_s <= TERMS.for_s + GRAIN_S


boxes = st.integers(min_value=0, max_value=BOXES - 1)
sends = st.tuples(boxes, st.integers(min_value=0, max_value=len(BESIDE)), boxes)
steps = st.one_of(
    st.tuples(st.just("try"), sends),
    st.tuples(st.just("send"), sends),
    st.tuples(st.just("write"), boxes),
    st.tuples(st.just("read"), boxes),
    st.tuples(st.just("tell"), boxes, boxes, st.integers(min_value=0, max_value=5)),
    st.tuples(st.just("ran_well"), boxes, st.integers(min_value=0, max_value=len(BESIDE) - 1)),
    st.tuples(st.just("restart"), boxes),
    st.tuples(st.just("drop_history")),
    st.tuples(st.just("remove_oldest")),
    st.tuples(st.just("pass"), st.floats(min_value=0.0, max_value=70.0)),
)


def take(world: World, of_world: list[Box], step: tuple[Any, ...]) -> None:
    match step:
        case ("send", (number, beside, other)):
            instance = of_world[number].send(beside)
            if instance is not None and other != number:
                # The same request came to two boxes, and both had sent it to this replica.
                of_world[other].crash_detector(instance, [GUILTY])
        case ("try", (number, beside, other)):
            of_world[number].read()
            take(world, of_world, ("send", (number, beside, other)))
            of_world[number].write()
            of_world[other].write()
        case ("write", number):
            of_world[number].write()
        case ("read", number):
            of_world[number].read()
        case ("tell", number, source_zone, back):
            reported = of_world[source_zone].shared
            if back < len(reported) and number != source_zone:
                of_world[number].follower.apply_reading(reported[len(reported) - 1 - back])
        case ("ran_well", number, beside):
            of_world[number].book.record_completion(BESIDE[beside])
        case ("restart", number):
            of_world[number].start()
        case ("drop_history",):
            world.is_history_gone = True
        case ("remove_oldest",):
            if world.rows:
                world.remove(min(world.rows, key=lambda key: world.rows[key].version))
        case ("pass", seconds):
            world.now += seconds


REPORTED_AGAIN = [
    ("send", (0, 0, 1)),
    ("try", (0, 0, 0)),
    ("remove_oldest",),
    ("try", (0, 0, 1)),
]
"""Two boxes saw a crash: the row of the one is removed before the other has written its own."""


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=40))
@example(REPORTED_AGAIN)
def test_who_knows_of_three_crashes_sends_it_no_more_and_nobody_is_refused_for_less(
    taken: list[tuple[Any, ...]],
) -> None:
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (book_module, follower_module, store_clock_module):
            patch.setattr(module, "monotonic", lambda: world.now)
        of_world = [Box(world) for _ in range(BOXES)]
        for step in taken:
            take(world, of_world, step)
            for box in of_world:
                box.check()


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(boxes, st.booleans()), min_size=10, max_size=30))
def test_whoever_sends_it_few_replicas_end_if_reports_are_read_between_the_tries(
    taken: list[tuple[int, bool]],
) -> None:
    """Each try is at any box, which may have started anew before; the others read meanwhile."""
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (book_module, follower_module, store_clock_module):
            patch.setattr(module, "monotonic", lambda: world.now)
        of_world = [Box(world) for _ in range(BOXES)]
        for number, is_new in taken:
            if is_new:
                of_world[number].start()
            of_world[number].read()
            of_world[number].send(0)
            of_world[number].write()
    assert world.instances == TERMS.crashes
