from __future__ import annotations

from springrock.kernel import load_plugins
from springrock.policies import Candidate, Resident, Want, evictions, load_orders, routings

load_plugins()


def candidate(replica: str, **changes: object) -> Candidate:
    base = Candidate(
        replica=replica,
        owned_here=False,
        same_zone=True,
        ready=False,
        expected=False,
        free_slots=1,
        running=0,
        waiting=0,
        running_limit=16,
        load_s=0.5,
        service_s=0.5,
        affinity=0.5,
    )
    return base._replace(**changes)  # type: ignore[arg-type]


def best(*candidates: Candidate) -> str:
    return routings.get("residency").rank(candidates)[0].candidate.replica


def test_routing_prefers_where_the_adapter_is_loaded() -> None:
    assert best(candidate("cold"), candidate("loaded", ready=True)) == "loaded"


def test_routing_prefers_a_load_under_way_to_another_load() -> None:
    assert best(candidate("cold"), candidate("expected", expected=True)) == "expected"


def test_routing_leaves_a_loaded_replica_whose_queue_costs_more_than_a_load() -> None:
    full = candidate("full", ready=True, running=16, waiting=64)
    assert best(full, candidate("cold")) == "cold"


def test_routing_sends_a_cold_adapter_to_one_home_from_everywhere() -> None:
    there = candidate("home", affinity=0.9, same_zone=False)
    assert best(there, candidate("near", affinity=0.1)) == "home"


def test_routing_takes_the_replica_that_needs_no_message_among_equals() -> None:
    assert best(candidate("a", ready=True), candidate("b", ready=True, owned_here=True)) == "b"


def resident(adapter: str, **changes: float) -> Resident:
    return Resident(adapter, 0.0, 50.0, 1.0, 3)._replace(**changes)  # type: ignore[arg-type]


def test_eviction_takes_the_rarest() -> None:
    rare, busy = resident("rare", rate=0.1), resident("busy", rate=9.0)
    assert evictions.get("value").victim([busy, rare], now=100.0) is rare


def test_eviction_spares_what_has_not_paid_for_itself() -> None:
    fresh = resident("fresh", rate=0.0, loaded_at=99.0, uses=0)
    used = resident("used", rate=0.5)
    assert evictions.get("value").victim([fresh, used], now=100.0) is used


def test_lru_takes_the_longest_unused() -> None:
    old, young = resident("old", used_at=1.0), resident("young", used_at=2.0)
    assert evictions.get("lru").victim([young, old], now=100.0) is old


def want(adapter: str, **changes: float) -> Want:
    return Want(adapter, 1, 1.0, 99.0, 110.0, 1)._replace(**changes)  # type: ignore[arg-type]


def test_load_order_takes_the_most_worth_in_time() -> None:
    much = want("much", worth_in_time=5.0, order=2)
    assert load_orders.get("worth").next([want("little"), much], now=100.0) is much


def test_load_order_does_not_starve_the_rare() -> None:
    waited_long = want("rare", oldest_at=90.0)
    much = want("much", worth_in_time=50.0)
    assert load_orders.get("worth").next([much, waited_long], now=100.0) is waited_long


def test_load_order_gives_no_turn_to_what_is_too_late() -> None:
    too_late = want("late", oldest_at=90.0, worth_in_time=0.0)
    assert load_orders.get("worth").next([too_late, want("fresh")], now=100.0).adapter == "fresh"
