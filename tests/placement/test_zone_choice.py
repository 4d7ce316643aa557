"""The choice of the zone that loads an adapter."""

from __future__ import annotations

from collections import Counter

import pytest

from springrock.forwarding.message import AdapterKey
from springrock.placement.zone_choice import ZoneView, choose_zone
from springrock.topology import Distance

KEY = AdapterKey("m", "a")


def view(
    name: str,
    *,
    engines: int = 2,
    can_load: bool = True,
    reachable: bool = True,
    room: int = 1,
    distance: Distance = Distance.OWN_REGION,
    pressure: float = 0.0,
    wait_s: float = 0.0,
) -> ZoneView:
    return ZoneView(name, engines, can_load, reachable, room, distance, pressure, wait_s)


OWN_ZONE, OTHER_REGION = Distance.OWN_ZONE, Distance.OTHER_REGION


def test_the_order_of_zones_does_not_change_the_choice() -> None:
    zones = [view("one"), view("two"), view("three")]
    assert choose_zone(KEY, zones) == choose_zone(KEY, reversed(zones))


def test_adapters_are_divided_in_proportion_to_the_zones_engines() -> None:
    zones = [view("small", engines=1), view("large", engines=3)]
    chosen = Counter(choose_zone(AdapterKey("m", f"a{number}"), zones) for number in range(2000))
    assert 1400 < chosen["large"] < 1600


def test_a_zone_without_room_or_that_is_unreachable_is_skipped() -> None:
    assert choose_zone(KEY, [view("one", room=0), view("two")]) == "two"
    assert choose_zone(KEY, [view("one", reachable=False), view("two", room=0)]) == "two"


def test_a_zone_whose_engines_hold_no_model_is_chosen_only_if_none_do() -> None:
    assert choose_zone(KEY, [view("one", can_load=False), view("two", room=0)]) == "two"
    assert choose_zone(KEY, [view("one", can_load=False)]) == "one"


def test_a_zone_to_avoid_is_chosen_if_there_is_no_other_and_one_of_never_is_not() -> None:
    zones = [view("one"), view("two")]
    assert choose_zone(KEY, zones, avoid={"one"}) == "two"
    assert choose_zone(KEY, zones, avoid={"one", "two"}, never={"one"}) == "two"
    assert choose_zone(KEY, zones, never={"one", "two"}) is None
    assert choose_zone(KEY, []) is None


def test_a_zone_that_keeps_the_adapter_s_weights_is_preferred_if_it_has_room() -> None:
    for name in ("one", "two"):
        assert choose_zone(KEY, [view("one"), view("two")], cached_in={name}) == name
    full = [view("one", room=0), view("two")]
    assert choose_zone(KEY, full, cached_in={"one"}) == "two"
    assert choose_zone(KEY, [view("one"), view("two")], cached_in={"one"}, prefer={"two"}) == "two"


def test_the_own_zone_is_preferred_while_its_pressure_is_little_higher() -> None:
    for name in ("one", "two"):
        others = [view(other, pressure=1.0) for other in ("one", "two") if other != name]
        home_zone = view(name, distance=OWN_ZONE, pressure=1.2)
        assert choose_zone(KEY, [home_zone, *others], home_advantage=0.25) == name
        pressed = home_zone._replace(pressure=1.3)
        assert choose_zone(KEY, [pressed, *others], home_advantage=0.25) != name


def test_without_engines_in_the_own_zone_a_hash_within_the_region_decides() -> None:
    near = [view("one"), view("two")]
    far = [view(f"far-{number}", distance=OTHER_REGION, engines=9) for number in range(3)]
    keys = [AdapterKey("m", f"a{number}") for number in range(50)]
    assert {choose_zone(key, near + far) for key in keys} == {"one", "two"}


def test_another_region_is_chosen_only_if_no_zone_of_the_own_region_can_load() -> None:
    far = view("far", distance=OTHER_REGION)
    for own in (
        view("one", distance=OWN_ZONE, reachable=False),
        view("one", distance=OWN_ZONE, can_load=False),
        view("one", distance=OWN_ZONE, room=0),
    ):
        assert choose_zone(KEY, [own, view("two", reachable=False), far]) == "far"
        assert choose_zone(KEY, [own, view("two"), far]) == "two"
    full = [view("one", distance=OWN_ZONE, room=0), view("far", distance=OTHER_REGION, room=0)]
    assert choose_zone(KEY, full) == "one"
    assert choose_zone(KEY, [view("one", distance=OWN_ZONE, pressure=9.0), far]) == "one"


def test_the_nearest_of_the_zones_that_hold_the_adapter_is_chosen() -> None:
    zones = [view("one", distance=OWN_ZONE), view("two"), view("far", distance=OTHER_REGION)]
    assert choose_zone(KEY, zones, prefer={"one", "two", "far"}) == "one"
    assert choose_zone(KEY, zones, prefer={"two", "far"}) == "two"
    assert choose_zone(KEY, zones, prefer={"far"}) == "far"


def test_a_crowded_zone_is_avoided_within_the_region_but_not_for_another_region() -> None:
    crowded = view("one", distance=OWN_ZONE, wait_s=0.5)
    assert choose_zone(KEY, [crowded, view("two")]) == "two"
    assert choose_zone(KEY, [crowded, view("two")], prefer={"one", "two"}) == "two"
    assert choose_zone(KEY, [crowded, view("two")], prefer={"one"}) == "one"
    far = view("far", distance=OTHER_REGION)
    assert choose_zone(KEY, [crowded, far]) == "one"
    assert choose_zone(KEY, [crowded, far], prefer={"one", "far"}) == "one"
    barely = crowded._replace(wait_s=0.1)
    assert choose_zone(KEY, [barely, view("two")]) == "one"


@pytest.mark.parametrize(
    ("engines", "elsewhere", "share"), [(1, 16, 1 / 17), (7, 14, 1.0), (3, 14, 3 / 17)]
)
def test_a_zone_with_few_engines_loads_only_its_share(
    engines: int, elsewhere: int, share: float
) -> None:
    zones = [view("one", distance=OWN_ZONE, engines=engines), view("two", engines=elsewhere)]
    keys = [AdapterKey("m", f"a{number}") for number in range(2000)]
    chosen = Counter(choose_zone(key, zones, home_advantage=0.2) for key in keys)
    assert abs(chosen["one"] / len(keys) - share) < 0.03
