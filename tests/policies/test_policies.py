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


def test_routing_prefers_an_expected_load_to_another_load() -> None:
    assert best(candidate("cold"), candidate("expected", expected=True)) == "expected"


def test_routing_avoids_a_loaded_replica_if_its_queue_takes_longer_than_a_load() -> None:
    full = candidate("full", ready=True, running=16, waiting=64)
    assert best(full, candidate("cold")) == "cold"


def test_routing_prefers_the_highest_affinity_for_an_unloaded_adapter_across_zones() -> None:
    far = candidate("home", affinity=0.9, same_zone=False)
    assert best(far, candidate("near", affinity=0.1)) == "home"


def test_routing_prefers_an_owned_replica_among_equal_ones() -> None:
    assert best(candidate("a", ready=True), candidate("b", ready=True, owned_here=True)) == "b"


def resident(adapter: str, **changes: float) -> Resident:
    return Resident(adapter, 0.0, 50.0, 1.0, 3)._replace(**changes)  # type: ignore[arg-type]


def test_value_eviction_chooses_the_lowest_request_rate() -> None:
    rare, busy = resident("rare", rate=0.1), resident("busy", rate=9.0)
    assert evictions.get("value").victim([busy, rare], now=100.0) is rare


def test_value_eviction_spares_a_fresh_load_without_requests() -> None:
    fresh = resident("fresh", rate=0.0, loaded_at=99.0, uses=0)
    used = resident("used", rate=0.5)
    assert evictions.get("value").victim([fresh, used], now=100.0) is used


def test_lru_eviction_chooses_the_least_recently_used() -> None:
    old, young = resident("old", used_at=1.0), resident("young", used_at=2.0)
    assert evictions.get("lru").victim([young, old], now=100.0) is old


def want(adapter: str, **changes: float) -> Want:
    return Want(adapter, 1, 1.0, 99.0, 110.0, 1)._replace(**changes)  # type: ignore[arg-type]


def test_load_order_prefers_the_most_worth_in_time() -> None:
    most_worth = want("much", worth_in_time=5.0, order=2)
    assert load_orders.get("worth").next([want("little"), most_worth], now=100.0) is most_worth


def test_load_order_does_not_starve_rare_adapters() -> None:
    rare_adapter = want("rare", oldest_at=90.0)
    most_worth = want("much", worth_in_time=50.0)
    assert load_orders.get("worth").next([most_worth, rare_adapter], now=100.0) is rare_adapter


def test_load_order_ignores_a_long_wait_without_worth_in_time() -> None:
    too_late = want("late", oldest_at=90.0, worth_in_time=0.0)
    assert load_orders.get("worth").next([too_late, want("fresh")], now=100.0).adapter == "fresh"
