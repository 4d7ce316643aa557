"""Simulates a replica that returns cold while rows are late and boxes and placers are cut off.

Boxes send more than the replica can take all the time, each with its own real `WarmupTracker` and
with permits of the real counter. The test counts what the replica receives while it is cold.
"""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import counter as counter_module
from springrock.permits import warmup as warmup_module
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import PermitAsk, Permitted
from springrock.permits.terms import SlowStartTerms, cold_start_bound
from springrock.permits.warmup import WarmupTracker
from tests.factories import make_limits
from tests.permits.test_bound import most_in_a_second

TICK_S = 0.01
LENGTH_S = 16.0
HEARTBEAT_S, ROW_LAG_S, POLL_S, PLACER_HEARTBEAT_S = 1.2, 0.8, 0.8, 0.3
COLD_S = 5.0
SLOW_START = SlowStart(lasts_s=COLD_S, per_s=10.0)
TERMS = SlowStartTerms(1.5, 2.0)
CONFIGURATION = Configuration(version=1, services={"s": Service(name="s", slow_start=SLOW_START)})
RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
BOXES = 3
PER_BOX_S = 25.0
"""Requests a second of each box: far more than the cold replica bears, so that each box detects at
once that the replica is down."""


class Span(NamedTuple):
    """A time span during which one box is cut off."""

    box: int
    begin: float
    length: float

    def includes(self, box: int, now: float) -> bool:
        return box == self.box and self.begin <= now < self.begin + self.length


class Scenario(NamedTuple):
    """The events of one simulation.

    Attributes:
        evacuated: Whether the replica turns cold without going down, while its zone is evacuated.
        gone_at: When it goes down, or the evacuation of its zone begins.
        gone_s: How long that lasts.
        heartbeat_offset_s: The offset of its row writes within the heartbeat interval.
        store_cuts: When which box cannot read rows.
        link_cuts: When which box is not linked to the placer.
        takeover_at: When another placer starts to count.
    """

    seed: int
    evacuated: bool
    gone_at: float
    gone_s: float
    heartbeat_offset_s: float
    store_cuts: list[Span]
    link_cuts: list[Span]
    takeover_at: float


class Simulation:
    """One replica and some boxes, the first of which is the placer; time advances in ticks."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.chance = random.Random(scenario.seed)
        self.back_at = scenario.gone_at + scenario.gone_s
        # In an evacuated zone it may turn cold shortly before the evacuation ends.
        before_s = self.chance.uniform(0, min(1.5, scenario.gone_s)) if scenario.evacuated else 0.0
        self.cold_from = self.back_at - before_s
        self.arrivals: list[float] = []
        self.served = 0
        self.ended_at: list[float | None] = [None] * BOXES
        self.rows_as_of = [0.0] * BOXES
        self._answers: list[Permitted] = []
        self._counter = PermitCounter(
            "zone-1",
            configuration=lambda: CONFIGURATION,
            terms=lambda: TERMS,
            limits=make_limits(),
            lease_left_s=lambda: 1.0,
            continues_without_lease=lambda: False,
            answer=lambda box, permitted: self._answers.append(permitted),
            on_counted=lambda granted: None,
            log=Log("slow_start", "box"),
        )
        self.boxes = [self._make_box(number) for number in range(BOXES)]
        self._read: list[ReplicaRecord | None] = [None] * BOXES

    def _make_box(self, number: int) -> WarmupTracker:
        warmup = WarmupTracker(
            configuration=lambda: CONFIGURATION,
            rows_as_of=lambda: self.rows_as_of[number],
            ended_at=lambda zone: self.ended_at[number],
            log=Log("slow_start", f"box-{number}"),
        )
        warmup.apply_record(RECORD, "i-1")
        warmup.on_observation.append(
            lambda record, answered: self._report_to_placer(number, answered=answered)
        )
        return warmup

    def run(self) -> None:
        for tick in range(int(LENGTH_S / TICK_S)):
            self.now = tick * TICK_S
            if tick == int(self.scenario.takeover_at / TICK_S):
                self._counter.reset()
            for number in range(BOXES):
                self._step(number, tick)

    def _step(self, number: int, tick: int) -> None:
        if tick % int(POLL_S / TICK_S) == number * 7 and self._can_read(number):
            self._read_row(number)
        if tick % int(PLACER_HEARTBEAT_S / TICK_S) == 0 and self._is_linked(number):
            self.boxes[number].apply_suspected("zone-1", self.boxes[0].suspected("zone-1"))
        if (
            self.scenario.evacuated
            and self.now >= self.scenario.gone_at
            and self.ended_at[number] is None
        ):
            # Boxes learn at different times that the evacuation has ended.
            if self.now >= self.back_at + 0.3 * number:
                self.ended_at[number] = self.now
            return
        if self.chance.random() < PER_BOX_S * TICK_S:
            self._send(number)

    def _can_read(self, number: int) -> bool:
        return not any(span.includes(number, self.now) for span in self.scenario.store_cuts)

    def _is_linked(self, number: int) -> bool:
        return number == 0 or not any(
            span.includes(number, self.now) for span in self.scenario.link_cuts
        )

    def _report_to_placer(self, number: int, *, answered: bool) -> None:
        if self._is_linked(number):
            self.boxes[0].apply_observation("i-1", answered=answered)

    def _read_row(self, number: int) -> None:
        """Read the latest row that is old enough to be readable."""
        readable_at = self.now - ROW_LAG_S
        heartbeats = int((readable_at - self.scenario.heartbeat_offset_s) // HEARTBEAT_S)
        written_at = self.scenario.heartbeat_offset_s + heartbeats * HEARTBEAT_S
        cold_s = 0.0
        if self.cold_from <= written_at < self.cold_from + COLD_S:
            cold_s = self.cold_from + COLD_S - written_at
        record = ReplicaRecord(
            instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1", cold_s=cold_s
        )
        if record != self._read[number]:
            self._read[number] = record
            self.boxes[number].apply_record(record, "i-1")
        self.rows_as_of[number] = self.now

    def _send(self, number: int) -> None:
        warmup = self.boxes[number]
        if warmup.is_cold(RECORD) and not self._permit(number):
            return
        if not self.scenario.evacuated and self.scenario.gone_at <= self.now < self.back_at:
            warmup.record_failed(RECORD, refused=True)
            return
        warmup.record_answered(RECORD, sent_at=self.now)
        self.served += 1
        if self.cold_from <= self.now < self.cold_from + COLD_S:
            self.arrivals.append(self.now)

    def _permit(self, number: int) -> bool:
        if not self._is_linked(number):
            # Without a placer the box may not send, so it does not detect that the replica is down.
            return False
        self._counter.answer(f"box-{number}", [PermitAsk(1, "r", "s", "i-1")])
        return self._answers[-1].granted


@pytest.fixture(autouse=True)
def _without_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Log, "info", lambda self, sentence, **fields: None)


def simulate(scenario: Scenario) -> Simulation:
    clock = [lambda: 0.0]
    with pytest.MonkeyPatch.context() as patch:
        for module in (counter_module, warmup_module):
            patch.setattr(module, "monotonic", lambda: clock[0]())
        simulation = Simulation(scenario)
        clock[0] = lambda: simulation.now
        simulation.run()
    return simulation


spans = st.lists(
    st.builds(Span, box=st.integers(1, 2), begin=st.floats(0, 12), length=st.floats(0.5, 9)),
    max_size=2,
)
scenarios = st.builds(
    Scenario,
    seed=st.integers(0, 1000),
    evacuated=st.booleans(),
    gone_at=st.floats(1, 4),
    gone_s=st.floats(1.0, 4),
    heartbeat_offset_s=st.floats(0, 1.19),
    store_cuts=spans,
    link_cuts=spans,
    takeover_at=st.floats(1, 12),
)


BOX_WITHOUT_STORE_AND_LINK = Scenario(
    0, False, 1.0, 3.0, 0.0, [Span(1, 0.0, 9.0)], [Span(1, 0.0, 4.0)], 1.0
)
"""A box without rows and placer cannot find out whether the replica is back."""


@settings(max_examples=40, deadline=None)
@example(BOX_WITHOUT_STORE_AND_LINK)
@given(scenarios)
def test_a_replica_that_returns_cold_never_exceeds_its_bound(scenario: Scenario) -> None:
    assert most_in_a_second(simulate(scenario).arrivals) <= cold_start_bound(SLOW_START, TERMS)


@pytest.mark.parametrize("evacuated", [False, True])
def test_the_slow_start_rate_is_used_and_the_full_rate_afterwards(evacuated: bool) -> None:
    scenario = Scenario(1, evacuated, 2.0, 2.0, 0.3, [], [], 1.0)
    simulation = simulate(scenario)
    cold_s = simulation.cold_from + COLD_S - simulation.back_at
    assert len(simulation.arrivals) >= 0.7 * SLOW_START.per_s * cold_s
    warm_s = LENGTH_S - (simulation.cold_from + COLD_S) - ROW_LAG_S - HEARTBEAT_S - POLL_S
    assert simulation.served - len(simulation.arrivals) >= 0.8 * BOXES * PER_BOX_S * warm_s
