"""A box that knows of enough crashes quarantines the request, under any order of events.

Boxes send a request that crashes the replica running it, together with other requests. Reports of
the crashes reach the store late or never, and the boxes in any order; boxes relay what they read,
and restart.
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
from springrock.forwarding.suspects import Suspects
from springrock.log import Log
from springrock.quarantine import book as book_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import KEY_PREFIX, CrashReport, new_key
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Changes, HistoryGone, ListenersByPrefix, Removed, Row, Snapshot
from springrock.rows import TableReading as Reading
from springrock.store_clock import StoreClock
from springrock.table_follower import TableFollower

TERMS = QuarantineTerms(crashes=3, for_s=60.0)
CRASHING = Fingerprint("f" * 32)
OTHERS = [Fingerprint(f"{number:032x}") for number in range(3)]
BOXES = 3
ROUNDING_S = 1e-6
"""Tolerance for the rounding of floating-point sums."""


class World:
    """The clock, the store, and the crashes that really happened."""

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
        """Return the reports in the store, by key."""
        return {
            key: msgspec.json.decode(row.value, type=CrashReport) for key, row in self.rows.items()
        }

    # The interface of the store.

    def read_all(self, table: str) -> Snapshot:
        return Snapshot(list(self.rows.values()), self.version, self.now)

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        if self.is_history_gone:
            self.is_history_gone = False
            raise HistoryGone("scripted")
        changes = [change for change in self.history if change.version > after]
        return Changes(changes, self.version, self.now)


class Box:
    """One box with its book, its table follower and its unwritten reports."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.shared: list[Reading] = []
        self.start()

    def start(self) -> None:
        """Start, or restart, with no reports; unwritten ones are lost."""
        self.unwritten: dict[str, CrashReport] = {}
        self.learned_at: dict[str, float] = {}
        self.book = CrashBook(terms=lambda: TERMS, log=Log("test", "box"))
        store: Any = self.world
        self.follower = TableFollower(
            store,
            "t",
            ListenersByPrefix({KEY_PREFIX: self.book}),
            pause_s=0.0,
            clock=StoreClock(),
            log=Log("test", "box"),
        )
        self.follower.publishes = lambda: True
        self.follower.publisher = lambda reading, is_own: self.shared.append(reading)

    def send(self, other_count: int) -> str | None:
        """Send the crashing request and some others to a replica, unless it is quarantined."""
        if self.book.quarantined_for_s(Suspects(CRASHING)) is not None:
            return None
        self.world.instances += 1
        instance = f"i-{self.world.instances}"
        self.observe_crash(instance, [CRASHING, *OTHERS[:other_count]])
        return instance

    def observe_crash(self, instance: str, requests: list[Fingerprint]) -> None:
        """Count the crash of a replica against some requests of this box."""
        for fingerprint in requests:
            self.world.crashes_of.setdefault(fingerprint, set()).add(instance)
        counted = [str(item) for item in requests if not self.book.consume_completion(item)]
        key = new_key()
        self.unwritten[key] = CrashReport("box", instance, counted)
        self.book.add_own(key, self.unwritten[key])
        self.learned_at[key] = self.world.now

    def write(self) -> None:
        for key, report in self.unwritten.items():
            self.world.write(key, report)
        self.unwritten = {}

    def read(self) -> None:
        """Let the follower ask the store once."""
        try:
            self.follower._read_and_apply()
        except HistoryGone:
            self.follower._version = None
            return
        for key in self.world.rows:
            self.learned_at.setdefault(key, self.world.now)

    def read_relayed(self, reading: Reading) -> None:
        """Apply what another box has read."""
        self.follower.apply_reading(reading)
        for key in self.world.rows:
            if self.book.version(key):
                self.learned_at.setdefault(key, self.world.now)

    def known_crashes(self) -> int:
        """Return how many crashes of the crashing request this box certainly knows of.

        Rows are counted, not crashes: if the box saw the row of a crash removed, it may not have
        read yet that another box has reported the same crash.
        """
        horizon = self.world.now - TERMS.for_s
        existing = {**self.world.reports(), **self.unwritten}
        return len(
            {
                existing[key].instance
                for key, at in self.learned_at.items()
                if at > horizon and key in existing and CRASHING in existing[key].requests
            }
        )

    def check(self) -> None:
        if self.known_crashes() >= TERMS.crashes:
            assert self.book.quarantined_for_s(Suspects(CRASHING)) is not None, (
                "a box that knows of enough crashes refuses the request"
            )
        for fingerprint in (CRASHING, *OTHERS):
            if len(self.world.crashes_of.get(fingerprint, ())) < TERMS.crashes:
                assert self.book.quarantined_for_s(Suspects(fingerprint)) is None, (
                    "fewer crashes quarantine no request"
                )
        left_s = self.book.quarantined_for_s(Suspects(CRASHING))
        assert left_s is None or 0 < left_s <= TERMS.for_s + ROUNDING_S


boxes = st.integers(min_value=0, max_value=BOXES - 1)
sends = st.tuples(boxes, st.integers(min_value=0, max_value=len(OTHERS)), boxes)
steps = st.one_of(
    st.tuples(st.just("try"), sends),
    st.tuples(st.just("send"), sends),
    st.tuples(st.just("write"), boxes),
    st.tuples(st.just("read"), boxes),
    st.tuples(st.just("tell"), boxes, boxes, st.integers(min_value=0, max_value=5)),
    st.tuples(st.just("ran_well"), boxes, st.integers(min_value=0, max_value=len(OTHERS) - 1)),
    st.tuples(st.just("restart"), boxes),
    st.tuples(st.just("drop_history")),
    st.tuples(st.just("remove_oldest")),
    st.tuples(st.just("pass"), st.floats(min_value=0.0, max_value=70.0)),
)


def apply_step(world: World, boxes_of_world: list[Box], step: tuple[Any, ...]) -> None:
    match step:
        case ("send", (number, other_count, other)):
            instance = boxes_of_world[number].send(other_count)
            if instance is not None and other != number:
                # Two boxes had received the same request, and both had sent it to this replica.
                boxes_of_world[other].observe_crash(instance, [CRASHING])
        case ("try", (number, other_count, other)):
            boxes_of_world[number].read()
            apply_step(world, boxes_of_world, ("send", (number, other_count, other)))
            boxes_of_world[number].write()
            boxes_of_world[other].write()
        case ("write", number):
            boxes_of_world[number].write()
        case ("read", number):
            boxes_of_world[number].read()
        case ("tell", number, source, age):
            readings = boxes_of_world[source].shared
            if age < len(readings) and number != source:
                boxes_of_world[number].read_relayed(readings[len(readings) - 1 - age])
        case ("ran_well", number, other_count):
            boxes_of_world[number].book.record_completion(OTHERS[other_count])
        case ("restart", number):
            boxes_of_world[number].start()
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
"""Two boxes observe a crash; the row of one is removed before the other has written its own."""

RELAYED_BEFORE_READ = [
    *[("try", (number, 0, 0)) for number in (0, 0, 1, 0)],
    ("tell", 1, 0, 0),
    ("pass", 60.0),
    *[("try", (number, 0, 0)) for number in (0, 1)],
]
"""A box reads a crash again that was relayed to it a lifetime earlier."""


@settings(max_examples=400, deadline=None)
@given(st.lists(steps, max_size=40))
@example(REPORTED_AGAIN)
@example(RELAYED_BEFORE_READ)
def test_a_request_is_quarantined_where_three_crashes_are_known_and_never_for_fewer(
    events: list[tuple[Any, ...]],
) -> None:
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (book_module, follower_module, store_clock_module):
            patch.setattr(module, "monotonic", lambda: world.now)
        boxes_of_world = [Box(world) for _ in range(BOXES)]
        for step in events:
            apply_step(world, boxes_of_world, step)
            for box in boxes_of_world:
                box.check()


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(boxes, st.booleans()), min_size=10, max_size=30))
def test_no_more_than_three_replicas_crash_if_reports_are_read_between_the_attempts(
    attempts: list[tuple[int, bool]],
) -> None:
    """Each attempt is at any box, which may have restarted and reads the reports first."""
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (book_module, follower_module, store_clock_module):
            patch.setattr(module, "monotonic", lambda: world.now)
        boxes_of_world = [Box(world) for _ in range(BOXES)]
        for number, is_new in attempts:
            if is_new:
                boxes_of_world[number].start()
            boxes_of_world[number].read()
            boxes_of_world[number].send(0)
            boxes_of_world[number].write()
    assert world.instances == TERMS.crashes
