"""Which zone is asked for an adapter."""

from __future__ import annotations

from collections import Counter

from springrock.forwarding.message import AdapterKey
from springrock.placement.zone_choice import ZoneView, choose_zone

KEY = AdapterKey("m", "a")


def view(
    name: str,
    *,
    engines: int = 2,
    can_load: bool = True,
    reachable: bool = True,
    room: int = 1,
) -> ZoneView:
    return ZoneView(name, engines, can_load, reachable, room)


def test_every_order_of_zones_gives_the_same_choice() -> None:
    zones = [view("one"), view("two"), view("three")]
    assert choose_zone(KEY, zones) == choose_zone(KEY, reversed(zones))


def test_zones_bring_adapters_in_the_share_of_their_engines() -> None:
    zones = [view("small", engines=1), view("large", engines=3)]
    chosen = Counter(choose_zone(AdapterKey("m", f"a{number}"), zones) for number in range(2000))
    assert 1400 < chosen["large"] < 1600


def test_a_zone_without_room_or_out_of_reach_is_passed_over() -> None:
    assert choose_zone(KEY, [view("one", room=0), view("two")]) == "two"
    assert choose_zone(KEY, [view("one", reachable=False), view("two", room=0)]) == "two"


def test_a_zone_whose_engines_hold_no_model_is_passed_over_unless_all_are_so() -> None:
    assert choose_zone(KEY, [view("one", can_load=False), view("two", room=0)]) == "two"
    assert choose_zone(KEY, [view("one", can_load=False)]) == "one"


def test_a_zone_to_avoid_is_better_than_none_but_a_silent_one_is_not() -> None:
    zones = [view("one"), view("two")]
    assert choose_zone(KEY, zones, avoid={"one"}) == "two"
    assert choose_zone(KEY, zones, avoid={"one", "two"}, never={"one"}) == "two"
    assert choose_zone(KEY, zones, never={"one", "two"}) is None
    assert choose_zone(KEY, []) is None


def test_a_zone_that_has_the_adapter_at_hand_comes_first_if_it_has_room() -> None:
    for name in ("one", "two"):
        assert choose_zone(KEY, [view("one"), view("two")], at_hand={name}) == name
    full = [view("one", room=0), view("two")]
    assert choose_zone(KEY, full, at_hand={"one"}) == "two"
    assert choose_zone(KEY, [view("one"), view("two")], at_hand={"one"}, prefer={"two"}) == "two"
