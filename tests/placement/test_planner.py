"""Tests of the planner: which adapter is loaded next, and on which engine."""

from __future__ import annotations

import math

import msgspec

from springrock.clock import monotonic
from springrock.forwarding.directory import HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.placement.control import EngineState
from springrock.placement.engine_book import EngineBook
from springrock.placement.planner import CombinedWant, Planner
from springrock.placement.popularity import Popularity


def key(name: str) -> AdapterKey:
    return AdapterKey("m", name)


def make_engine(instance: str, *adapters: str, slots: int = 2, software: str = "") -> EngineBook:
    record = ReplicaRecord(
        instance=instance, service="s", address="127.0.0.1:1", zone="z", software=software
    )
    book = EngineBook(record, slots=slots)
    held = tuple(HeldAdapter("m", name, 1) for name in adapters)
    book.apply_report(EngineState(sequence=0, models=frozenset({"m"}), adapters=held))
    for place in book.places.values():
        place.since = monotonic() - 10
    return book


def want(name: str, *, worth: float = 1.0, since_s: float = 0.0, waiting: int = 1) -> CombinedWant:
    now = monotonic()
    return CombinedWant(
        key=key(name),
        waiting=waiting,
        promised=0,
        worth=worth,
        since=now - since_s,
        target_at=now + 1.0,
    )


def make_planner(popularity: Popularity | None = None, **versions: int) -> Planner:
    return Planner(popularity or Popularity(), lambda key: versions.get(key.adapter, 0))


def test_a_want_is_assigned_to_the_engine_with_most_places() -> None:
    full, empty = make_engine("i-1", "x"), make_engine("i-2")
    plan = make_planner().plan([want("a")], [full, empty], used={}, now=monotonic())
    assert [(item.key, item.engine.instance) for item in plan.assignments] == [(key("a"), "i-2")]
    assert plan.ready_in_s[key("a")] > 0


def test_an_adapter_for_a_stream_is_loaded_on_an_engine_of_its_version() -> None:
    holder = make_engine("i-1", "a", software="v1")
    crowded = make_engine("i-2", "x", software="v2")
    free = make_engine("i-3", software="v1")
    bound = msgspec.structs.replace(want("a"), software="v2")
    plan = make_planner().plan([bound], [holder, crowded, free], used={}, now=monotonic())
    assert [(item.key, item.engine.instance) for item in plan.assignments] == [(key("a"), "i-2")]


def test_an_adapter_that_its_version_holds_is_not_loaded_for_a_stream() -> None:
    engines = [make_engine("i-1", "a", software="v1"), make_engine("i-2", software="v2")]
    bound = msgspec.structs.replace(want("a"), software="v1")
    plan = make_planner().plan([bound], engines, used={}, now=monotonic())
    assert (plan.assignments, plan.ready_in_s[key("a")]) == ([], 0.0)


def test_an_assigned_adapter_is_not_assigned_again() -> None:
    engines = [make_engine("i-1"), make_engine("i-2")]
    planner = make_planner()
    planner.plan([want("a")], engines, used={}, now=monotonic())
    again = planner.plan([want("a", since_s=0.3)], engines, used={}, now=monotonic())
    assert again.assignments == []


def test_a_want_that_cannot_use_the_ready_copy_gets_a_second_one() -> None:
    engines = [make_engine("i-1", "a"), make_engine("i-2")]
    planner = make_planner()
    fresh = planner.plan([want("a")], engines, used={}, now=monotonic())
    assert fresh.assignments == []
    stuck = planner.plan([want("a", since_s=1.0)], engines, used={}, now=monotonic())
    assert [item.engine.instance for item in stuck.assignments] == ["i-2"]


def test_clients_expected_back_need_no_second_copy() -> None:
    engines = [make_engine("i-1", "a"), make_engine("i-2")]
    plan = make_planner().plan(
        [want("a", since_s=1.0, waiting=0)], engines, used={}, now=monotonic()
    )
    assert plan.assignments == []


def test_adapters_that_are_used_or_wanted_are_not_evicted() -> None:
    engine = make_engine("i-1", "x", "y")
    planner = make_planner()
    used = {("i-1", key("x")): 1, ("i-1", key("y")): 2}
    plan = planner.plan([want("a")], [engine], used=used, now=monotonic())
    assert plan.assignments == []
    assert plan.ready_in_s[key("a")] > 0, "a place will be freed sooner or later"
    planner.plan([want("a"), want("x")], [engine], used={}, now=monotonic())
    assert planner.victim(engine, used={}, now=monotonic()) == key("y")


def test_an_older_version_is_evicted_first() -> None:
    popularity = Popularity()
    popularity.record(key("x"), 50)
    planner = make_planner(popularity, x=2)
    engine = make_engine("i-1", "x", "y")
    assert planner.victim(engine, used={}, now=monotonic()) == key("x")


def test_the_most_valuable_want_is_assigned_first() -> None:
    engine = make_engine("i-1", slots=1)
    wants = [want("cheap", worth=1.0), want("dear", worth=4.0)]
    plan = make_planner().plan(wants, [engine], used={}, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("dear")]


def test_a_popular_adapter_is_loaded_before_a_request_waits() -> None:
    popularity = Popularity()
    popularity.record(key("often"), 10)
    popularity.record(key("once"), 1)
    plan = make_planner(popularity).plan([], [make_engine("i-1")], used={}, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("often")]


def test_an_engine_gets_no_more_adapters_than_it_can_give_places() -> None:
    engine = make_engine("i-1", "x", "y", "z", slots=3)
    used = {("i-1", key("x")): 1, ("i-1", key("y")): 1}
    planner = make_planner()
    wants = [want("a", worth=4.0), want("b", worth=2.0)]
    plan = planner.plan(wants, [engine], used=used, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("a")]
    assert plan.ready_in_s[key("b")] > plan.ready_in_s[key("a")]
    again = planner.plan(wants, [engine], used=used, now=monotonic())
    assert again.assignments == [], "the only place is reserved"
    engine.unload_executed(key("z"))
    assert engine.available_places == 0
    engine.unloaded(key("z"))
    assert engine.available_places == 0
    assert planner.plan(wants, [engine], used=used, now=monotonic()).assignments == []


def test_a_hot_adapter_on_a_crowded_engine_gets_a_second_copy() -> None:
    crowded, idle = make_engine("i-1", "hot", "cold"), make_engine("i-2", "x")
    popularity = Popularity()
    popularity.record(key("hot"), 20)
    popularity.record(key("cold"), 1)
    planner = make_planner(popularity)
    used = {("i-1", key("hot")): 20}
    waits = {"i-1": 0.6, "i-2": 0.0}

    def _plan(*keys: AdapterKey) -> list[tuple[AdapterKey, str]]:
        plan = planner.plan(
            [], [crowded, idle], used=used, now=monotonic(), waits=waits, crowded=keys
        )
        return [(item.key, item.engine.instance) for item in plan.assignments]

    assert _plan() == []
    assert _plan(key("cold")) == [], "a rarely requested adapter is not worth a load"
    assert _plan(key("hot"), key("cold")) == [(key("hot"), "i-2")]
    assert _plan(key("hot")) == [], "one copy at a time"


def test_no_copy_is_made_on_an_engine_with_a_long_wait() -> None:
    crowded, busy = make_engine("i-1", "hot"), make_engine("i-2", "x")
    popularity = Popularity()
    popularity.record(key("hot"), 20)
    plan = make_planner(popularity).plan(
        [],
        [crowded, busy],
        used={},
        now=monotonic(),
        waits={"i-1": 0.6, "i-2": 0.5},
        crowded=[key("hot")],
    )
    assert plan.assignments == []


def test_an_engine_with_the_adapter_in_its_cache_is_preferred() -> None:
    before, other = make_engine("i-1", "a"), make_engine("i-2", slots=3)
    before.unload_executed(key("a"))
    before.unloaded(key("a"))
    plan = make_planner().plan([want("a")], [other, before], used={}, now=monotonic())
    assert [item.engine.instance for item in plan.assignments] == ["i-1"]


def test_a_new_version_is_loaded_although_every_engine_holds_the_older_one() -> None:
    engines = [make_engine("i-1", "a", "x"), make_engine("i-2", "a", "y")]
    planner = make_planner(a=2)
    plan = planner.plan([want("a")], engines, used={("i-1", key("a")): 1}, now=monotonic())
    assert [(item.key, item.engine.instance) for item in plan.assignments] == [(key("a"), "i-2")]


def test_a_want_is_assigned_to_the_engine_with_the_fewest_requests() -> None:
    busy, idle = make_engine("i-1"), make_engine("i-2", "x")
    plan = make_planner().plan(
        [want("a")], [busy, idle], used={("i-1", key("z")): 9}, now=monotonic()
    )
    assert [item.engine.instance for item in plan.assignments] == ["i-2"]


def test_a_cached_adapter_goes_before_one_from_the_weight_store() -> None:
    engine = make_engine("i-1", "lately", slots=1)
    engine.unloaded(key("lately"))
    plan = make_planner().plan([want("cold"), want("lately")], [engine], used={}, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("lately")]
    valuable = want("cold", worth=3.0)
    engine.assigned.clear()
    plan = make_planner().plan([valuable, want("lately")], [engine], used={}, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("cold")]


def test_a_cached_adapter_gets_a_place_only_when_a_request_waits() -> None:
    engine = make_engine("i-1", "a", "x")
    engine.unload_executed(key("a"))
    engine.unloaded(key("a"))
    planner = make_planner()
    promised = want("a", waiting=0)
    plan = planner.plan([promised], [engine], used={}, now=monotonic())
    assert plan.assignments == []
    assert 0 <= plan.ready_in_s[key("a")] < 0.2
    plan = planner.plan([want("a")], [engine], used={}, now=monotonic())
    assert [item.key for item in plan.assignments] == [key("a")]


def test_a_near_copy_evicts_an_adapter_whose_popularity_is_below_its_savings() -> None:
    popularity = Popularity()
    popularity.record(key("x"), 2.0)
    engine = make_engine("i-1", "x", slots=1)

    def assigned(saves: float) -> list[AdapterKey]:
        plan = make_planner(popularity).plan(
            [], [engine], used={}, now=monotonic(), near_copies={key("a"): saves}
        )
        assert plan.ready_in_s.get(key("a")) != 0.0
        return [item.key for item in plan.assignments]

    assert assigned(2.3) == []
    assert assigned(3.0) == [key("a")]


def test_a_near_copy_is_made_once_and_only_if_no_engine_holds_the_adapter() -> None:
    planner = make_planner()
    engines = [make_engine("i-1", "a"), make_engine("i-2")]
    near_copies = {key("a"): 3.0, key("b"): 3.0}
    plan = planner.plan([], engines, used={}, now=monotonic(), near_copies=near_copies)
    assert [item.key for item in plan.assignments] == [key("b")]
    again = planner.plan([], engines, used={}, now=monotonic(), near_copies=near_copies)
    assert again.assignments == []


def test_a_near_copy_without_a_place_delays_no_other_adapter() -> None:
    popularity = Popularity()
    popularity.record(key("x"), 50)
    engine = make_engine("i-1", "x", slots=1)
    used = {("i-1", key("x")): 1}
    wants = [want("b")]
    alone = make_planner(popularity).plan(wants, [engine], used=used, now=monotonic())
    with_copy = make_planner(popularity).plan(
        wants, [engine], used=used, now=monotonic(), near_copies={key("a"): 9.0}
    )
    assert with_copy.ready_in_s == alone.ready_in_s


def test_the_pressure_of_an_engine_is_the_popularity_of_its_next_victim() -> None:
    popularity = Popularity()
    popularity.record(key("x"), 2.0)
    popularity.record(key("y"), 7.0)
    planner = make_planner(popularity)
    engine = make_engine("i-1", "x", "y")
    now = monotonic()
    assert 1.9 < planner.pressure(engine, used={}, now=now) <= 2.0
    assert 6.9 < planner.pressure(engine, used={("i-1", key("x")): 1}, now=now) <= 7.0
    both = {("i-1", key("x")): 1, ("i-1", key("y")): 1}
    assert planner.pressure(engine, used=both, now=now) == math.inf
    assert planner.pressure(make_engine("i-2", "x"), used={}, now=now) == 0.0


def test_an_adapter_held_only_by_an_engine_that_backs_off_is_loaded_elsewhere_at_once() -> None:
    engines = [make_engine("i-1", "a"), make_engine("i-2")]
    planner = make_planner()
    now = monotonic()
    plan = planner.plan([want("a")], engines, used={}, now=now, backing_off={"i-1"})
    assert [item.engine.instance for item in plan.assignments] == ["i-2"]
    assert planner.plan([want("a")], engines, used={}, now=now).ready_in_s[key("a")] == 0.0
