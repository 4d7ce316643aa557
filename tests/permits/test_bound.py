"""No second sees more than the bound at a cold replica, whatever is late, lost or replaced."""

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
from tests.worlds import make_limits

LENGTH_S = 6.0
STATED = SlowStart(lasts_s=5.0, per_s=20.0)
TERMS = SlowStartTerms(1.5, 5.0)
LOST = 9.0


class Trip(NamedTuple):
    """One request's ask, and how long each step takes; a message that is `LOST` comes too late."""

    asked_at: float
    there_s: float
    back_s: float
    held_s: float
    placer: int


class Placers:
    """The placers of one zone, one after the other, each asked by whoever still knows it."""

    def __init__(self, slow_start: SlowStart, terms: SlowStartTerms, ends: list[float]) -> None:
        service = Service(name="s", slow_start=slow_start)
        configuration = Configuration(version=1, services={"s": service})
        self.now = 0.0
        self._answers: list[Permitted] = []
        self._begins = [0.0, *ends]
        self._ends = [*ends, LENGTH_S + LOST]
        self._counters = [
            PermitCounter(
                "zone-1",
                configuration=lambda: configuration,
                terms=lambda: terms,
                limits=make_limits(),
                lease_left_s=self._lease_left_s(number),
                goes_on=lambda: False,
                answer=lambda box, permitted: self._answers.append(permitted),
                on_counted=lambda granted: None,
                log=Log("slow_start", "box-1"),
            )
            for number in range(len(self._begins))
        ]
        self._begun: set[int] = set()

    def _lease_left_s(self, number: int) -> Callable[[], float]:
        return lambda: self._ends[number] - self.now

    def ask(self, number: int, at: float) -> bool:
        """Ask a placer, which may hold its lease no longer."""
        number = min(number, len(self._counters) - 1)
        if at < self._begins[number]:
            return False
        if number not in self._begun:
            self._begun.add(number)
            self.now = self._begins[number]
            self._counters[number].begin()
        self.now = at
        self._counters[number].answer("box", [PermitAsk(1, "r", "s", "i-1")])
        return self._answers[-1].granted


def sends(placers: Placers, trips: list[Trip]) -> list[float]:
    """Return when requests are sent: each as its permit and what holds it up allow."""
    found = []
    for trip in sorted(trips, key=lambda trip: trip.asked_at + trip.there_s):
        counted_at = trip.asked_at + trip.there_s
        granted = placers.ask(trip.placer, counted_at)
        sent_at = counted_at + trip.back_s + trip.held_s
        if granted and sent_at < trip.asked_at + PERMIT_LIFE_S:
            found.append(sent_at)
    return sorted(found)


def most_in_a_second(sent: list[float]) -> int:
    """Return the most that were sent within any one second."""
    return max((bisect_left(sent, at + 1.0) - index for index, at in enumerate(sent)), default=0)


@pytest.fixture(autouse=True)
def _unlogged(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Log, "say", lambda self, sentence, **fields: None)


def play(
    slow_start: SlowStart, terms: SlowStartTerms, ends: list[float], trips: list[Trip]
) -> list[float]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "monotonic", lambda: placers.now)
        placers = Placers.__new__(Placers)
        placers.now = 0.0
        placers.__init__(slow_start, terms, ends)  # type: ignore[misc]
        return sends(placers, trips)


delays = st.sampled_from([0.0, 0.001, 0.02, 0.07, 0.1, 0.149, LOST])
trips = st.builds(
    Trip,
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
    st.lists(trips, max_size=200),
)
def test_any_order_of_delays_losses_and_placers_stays_within_the_bound(
    per_s: float, overage: float, slack: int, ends: list[float], asked: list[Trip]
) -> None:
    slow_start = SlowStart(lasts_s=5.0, per_s=per_s)
    terms = SlowStartTerms(overage, float(slack))
    sent = play(slow_start, terms, sorted(ends), asked)
    assert most_in_a_second(sent) <= cold_start_bound(slow_start, terms)


def pressing(seed: int, *, held_s: Callable[[float], float]) -> list[Trip]:
    """Return asks at ten times the stated rate, by boxes that know any of three placers."""
    chance = random.Random(seed)
    found = []
    for _ in range(int(10 * STATED.per_s * LENGTH_S)):
        asked_at = chance.uniform(0, LENGTH_S)
        there_s, back_s = chance.choice([0.001, 0.01, 0.05, LOST]), chance.choice([0.001, 0.03])
        held = held_s(asked_at) if there_s < LOST else 0.0
        found.append(Trip(asked_at, there_s, back_s, held, chance.randrange(3)))
    return found


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("terms", [TERMS, SlowStartTerms(1.0, 0.0)])
def test_permits_that_are_all_used_at_their_last_moment_at_once_stay_within_it(
    seed: int, terms: SlowStartTerms
) -> None:
    """Boxes hold their requests up so that as many as can be are sent just after a moment."""

    def _until_the_moment(asked_at: float) -> float:
        return max(0.0, 3.0 - asked_at - 0.04)

    sent = play(STATED, terms, [2.0, 3.1], pressing(seed, held_s=_until_the_moment))
    assert 0 < most_in_a_second(sent) <= cold_start_bound(STATED, terms)


@pytest.mark.parametrize(
    ("load", "terms"),
    [(1.0, TERMS), (2.0, TERMS), (10.0, TERMS), (10.0, SlowStartTerms(1.0, 0.0))],
)
def test_steady_demand_uses_what_a_cold_replica_bears(load: float, terms: SlowStartTerms) -> None:
    chance = random.Random(1)
    asked = [
        Trip(chance.uniform(0, LENGTH_S), 0.002, 0.002, 0.005, 0)
        for _ in range(int(load * STATED.per_s * LENGTH_S))
    ]
    sent = play(STATED, terms, [], asked)
    assert len(sent) >= 0.7 * STATED.per_s * LENGTH_S
    assert most_in_a_second(sent) <= cold_start_bound(STATED, terms)


@pytest.mark.parametrize(("per_s", "most"), [(1.0, 1), (2.5, 2), (0.4, 0)])
def test_a_low_bound_is_used_and_kept(per_s: float, most: int) -> None:
    asked = [Trip(at / 50, 0.0, 0.0, 0.0, 0) for at in range(300)]
    sent = play(SlowStart(lasts_s=5.0, per_s=per_s), SlowStartTerms(1.0, 0.0), [], asked)
    assert most_in_a_second(sent) == most
