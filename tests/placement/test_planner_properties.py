"""Properties of every plan, for any wants and any adapters on the engines."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.planner import CombinedWant, Plan
from tests.placement.test_planner import key, make_engine, make_planner, want

WORTHS = st.lists(st.sampled_from([0.5, 1.0, 2.0, 4.0]), min_size=1, max_size=10)
HELD = [f"held-{number}" for number in range(4)]


def wants_of(worths: list[float]) -> list[CombinedWant]:
    """Return a want for each worth, with ascending targets."""
    wants = [want(f"a{number}", worth=worth) for number, worth in enumerate(worths)]
    for number, item in enumerate(wants):
        item.target_at += number * 0.01
    return wants


def plan_for(worths: list[float], *, places: int) -> Plan:
    """Return the plan for an empty engine with a number of places."""
    return make_planner().plan(
        wants_of(worths), [make_engine("i-1", slots=places)], used={}, now=monotonic()
    )


@given(worths=WORTHS, places=st.integers(min_value=1, max_value=6))
def test_more_worth_never_waits_behind_less(worths: list[float], places: int) -> None:
    given_to = {item.key for item in plan_for(worths, places=places).assignments}
    served = [item.worth for item in wants_of(worths) if item.key in given_to]
    waiting = [item.worth for item in wants_of(worths) if item.key not in given_to]
    assert served
    assert min(served) >= max(waiting, default=0.0)


@given(worths=WORTHS, places=st.integers(min_value=1, max_value=5))
def test_one_more_place_never_lowers_what_is_served(worths: list[float], places: int) -> None:
    def _served(of: int) -> float:
        return sum(item.want.worth for item in plan_for(worths, places=of).assignments)

    assert _served(places + 1) >= _served(places)


@given(worths=WORTHS, places=st.integers(min_value=1, max_value=6), chance=st.randoms())
def test_no_want_is_forecast_earlier_than_one_that_ranks_higher(
    worths: list[float], places: int, chance: Random
) -> None:
    wants = wants_of(worths)
    ranked = sorted(wants, key=lambda item: (-item.worth, item.target_at))
    chance.shuffle(wants)
    engine = make_engine("i-1", slots=places)
    plan = make_planner().plan(wants, [engine], used={}, now=monotonic())
    times = [plan.ready_in_s[item.key] for item in ranked]
    assert times == sorted(times)


@given(
    worths=WORTHS,
    used=st.sets(st.sampled_from(HELD)),
    crowded=st.sets(st.sampled_from(HELD)),
)
def test_an_adapter_in_use_is_never_evicted(
    worths: list[float], used: set[str], crowded: set[str]
) -> None:
    engines = [make_engine("i-1", *HELD, slots=4), make_engine("i-2", *HELD, slots=4)]
    in_use: dict[tuple[str, AdapterKey], int] = {("i-1", key(name)): 1 for name in used}
    planner = make_planner()
    now = monotonic()
    plan = planner.plan(
        wants_of(worths),
        engines,
        used=in_use,
        now=now,
        crowded={key(name) for name in crowded},
    )
    victim = planner.victim(engines[0], used=in_use, now=now)
    assert victim is None or ("i-1", victim) not in in_use
    to_first = [item for item in plan.assignments if item.engine is engines[0]]
    assert len(to_first) <= len(HELD) - len(used)
