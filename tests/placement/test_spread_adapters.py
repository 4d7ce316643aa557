"""Tests of the adapters that each zone serves itself."""

from __future__ import annotations

import pytest

from springrock.forwarding.message import AdapterKey
from springrock.placement import popularity as popularity_module
from springrock.placement import spread_adapters as spread_module
from springrock.placement.popularity import Popularity
from springrock.placement.spread_adapters import SpreadAdapters

HOT, COLD = AdapterKey("m", "hot"), AdapterKey("m", "cold")


class Clock:
    """A clock that tests move."""

    now = 1000.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (popularity_module, spread_module):
        monkeypatch.setattr(module, "monotonic", lambda: clock.now)
    return clock


@pytest.fixture
def popularity(clock: Clock) -> Popularity:
    popularity = Popularity()
    popularity.record(HOT, 40)
    popularity.record(COLD, 3)
    return popularity


def test_only_adapters_popular_in_each_zone_are_spread(popularity: Popularity) -> None:
    spread = SpreadAdapters(popularity)
    assert spread.evaluate({HOT: 2, COLD: 2}, zones=3) == ("m/hot",)
    assert SpreadAdapters(popularity).evaluate({HOT: 1}, zones=3) == (), (
        "one engine is enough for it"
    )
    assert SpreadAdapters(popularity).evaluate({HOT: 2}, zones=12) == (), (
        "a twelfth of the requests is not many"
    )


def test_an_adapter_stays_spread_when_each_zone_gets_its_share_of_the_requests(
    popularity: Popularity, clock: Clock
) -> None:
    spread = SpreadAdapters(popularity)
    spread.evaluate({HOT: 2}, zones=3)
    clock.now += 16.0
    assert 5 < popularity.of(HOT) < 15
    assert spread.evaluate({HOT: 2}, zones=3) == ("m/hot",)
    clock.now += 9.0
    assert spread.evaluate({HOT: 1}, zones=3) == ("m/hot",), "it does not change at each evaluation"
    clock.now += 2.0
    assert spread.evaluate({HOT: 1}, zones=3) == ()
