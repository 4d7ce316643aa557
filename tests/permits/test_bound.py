"""A cold replica never receives more than its bound in any second.

Messages may be late or lost, and placers replaced, in any combination.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.log import Log
from springrock.permits import counter as module
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import PermitAsk, Permitted
from springrock.permits.terms import PERMIT_LIFE_S, SlowStartTerms, cold_start_bound
from tests.factories import make_limits

LENGTH_S = 6.0
SLOW_START = SlowStart(lasts_s=5.0, per_s=20.0)
TERMS = SlowStartTerms(1.5, 5.0)
LOST = 9.0


class AskTiming(NamedTuple):
    """When a request asks, and how long each step takes; a delay of `LOST` loses the message."""

    asked_at: float
    there_s: float
    back_s: float
    held_s: float
    placer: int


class Placers:
    """The successive placers of one zone; boxes may still ask one that has been replaced."""

    def __init__(self, slow_start: SlowStart, terms: SlowStartTerms, ends: list[float]) -> None:
        service = Service(name="s", slow_start=slow_start)
        configuration = Configuration(version=1, services={"s": service})
        self.now = 0.0
        self._answers: list[Permitted] = []
        self._starts = [0.0, *ends]
        self._ends = [*ends, LENGTH_S + LOST]
        self._counters = [
            PermitCounter(
                "zone-1",
                configuration=lambda: configuration,
                terms=lambda: terms,
                limits=make_limits(),
                lease_left_s=self._lease_left_s(number),
                continues_without_lease=lambda: False,
                answer=lambda box, permitted: self._answers.append(permitted),
                on_counted=lambda granted: None,
                log=Log("slow_start", "box-1"),
            )
            for number in range(len(self._starts))
        ]
        self._started: set[int] = set()

    def _lease_left_s(self, number: int) -> Callable[[], float]:
        return lambda: self._ends[number] - self.now

    def ask(self, number: int, at: float) -> bool:
        """Ask a placer, whose lease may have expired; return whether it granted a permit."""
        number = min(number, len(self._counters) - 1)
        if at < self._starts[number]:
            return False
        if number not in self._started:
            self._started.add(number)
            self.now = self._starts[number]
            self._counters[number].reset()
        self.now = at
        self._counters[number].answer("box", [PermitAsk(1, "r", "s", "i-1")])
        return self._answers[-1].granted


def send_times(placers: Placers, timings: list[AskTiming]) -> list[float]:
    """Return when requests are sent: those that still hold a valid permit after all delays."""
    found = []
    for timing in sorted(timings, key=lambda timing: timing.asked_at + timing.there_s):
        counted_at = timing.asked_at + timing.there_s
        granted = placers.ask(timing.placer, counted_at)
        sent_at = counted_at + timing.back_s + timing.held_s
        if granted and sent_at < timing.asked_at + PERMIT_LIFE_S:
            found.append(sent_at)
    return sorted(found)


def most_in_a_second(sent: list[float]) -> int:
    """Return the largest number of requests sent within any one second."""
    return max((bisect_left(sent, at + 1.0) - index for index, at in enumerate(sent)), default=0)


@pytest.fixture(autouse=True)
def _without_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Log, "info", lambda self, sentence, **fields: None)


def simulate(
    slow_start: SlowStart, terms: SlowStartTerms, ends: list[float], timings: list[AskTiming]
) -> list[float]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "monotonic", lambda: placers.now)
        placers = Placers.__new__(Placers)
        placers.now = 0.0
        placers.__init__(slow_start, terms, ends)  # type: ignore[misc]
        return send_times(placers, timings)


delays = st.sampled_from([0.0, 0.001, 0.02, 0.07, 0.1, 0.149, LOST])
timings = st.builds(
    AskTiming,
    asked_at=st.integers(0, 600).map(lambda tick: tick / 100),
    there_s=delays,
    back_s=delays,
    held_s=delays,
    placer=st.integers(0, 3),
)


@settings(max_examples=150, deadline=None)
@given(
    st.floats(0.5, 10.0),
    st.floats(0.3, 3.0),
    st.integers(0, 5),
    st.lists(st.integers(10, 59).map(lambda tick: tick / 10), max_size=3, unique=True),
    st.lists(timings, max_size=200),
)
def test_the_bound_holds_under_any_delays_losses_and_placer_changes(
    per_s: float, overage: float, slack: int, ends: list[float], asks: list[AskTiming]
) -> None:
    slow_start = SlowStart(lasts_s=5.0, per_s=per_s)
    terms = SlowStartTerms(overage, float(slack))
    sent = simulate(slow_start, terms, sorted(ends), asks)
    assert most_in_a_second(sent) <= cold_start_bound(slow_start, terms)


def overload(seed: int, *, held_s: Callable[[float], float]) -> list[AskTiming]:
    """Return asks at ten times the configured rate, each to any of three placers."""
    chance = random.Random(seed)
    found = []
    for _ in range(int(10 * SLOW_START.per_s * LENGTH_S)):
        asked_at = chance.uniform(0, LENGTH_S)
        there_s, back_s = chance.choice([0.001, 0.01, 0.05, LOST]), chance.choice([0.001, 0.03])
        held = held_s(asked_at) if there_s < LOST else 0.0
        found.append(AskTiming(asked_at, there_s, back_s, held, chance.randrange(3)))
    return found


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("terms", [TERMS, SlowStartTerms(1.0, 0.0)])
def test_the_bound_holds_if_permits_are_all_used_at_the_same_moment(
    seed: int, terms: SlowStartTerms
) -> None:
    """Boxes delay their requests so that as many as possible are sent just after one moment."""

    def _delay_to_the_moment(asked_at: float) -> float:
        return max(0.0, 3.0 - asked_at - 0.04)

    sent = simulate(SLOW_START, terms, [2.0, 3.1], overload(seed, held_s=_delay_to_the_moment))
    assert 0 < most_in_a_second(sent) <= cold_start_bound(SLOW_START, terms)


@pytest.mark.parametrize(
    ("load", "terms"),
    [(1.0, TERMS), (2.0, TERMS), (10.0, TERMS), (10.0, SlowStartTerms(1.0, 0.0))],
)
def test_steady_demand_uses_most_of_the_slow_start_rate(load: float, terms: SlowStartTerms) -> None:
    chance = random.Random(1)
    asks = [
        AskTiming(chance.uniform(0, LENGTH_S), 0.002, 0.002, 0.005, 0)
        for _ in range(int(load * SLOW_START.per_s * LENGTH_S))
    ]
    sent = simulate(SLOW_START, terms, [], asks)
    assert len(sent) >= 0.7 * SLOW_START.per_s * LENGTH_S
    assert most_in_a_second(sent) <= cold_start_bound(SLOW_START, terms)


@pytest.mark.parametrize(("per_s", "most"), [(1.0, 1), (2.5, 2), (0.4, 0)])
def test_a_low_bound_is_used_fully_and_not_exceeded(per_s: float, most: int) -> None:
    asks = [AskTiming(at / 50, 0.0, 0.0, 0.0, 0) for at in range(300)]
    sent = simulate(SlowStart(lasts_s=5.0, per_s=per_s), SlowStartTerms(1.0, 0.0), [], asks)
    assert most_in_a_second(sent) == most
