from __future__ import annotations

from springrock.emulator.prefix_cache import PrefixCache


def test_it_keeps_the_newest_in_limited_memory() -> None:
    cache = PrefixCache(limit=2, lag_s=0.0, lose_every=0)
    assert not cache.use("m", "a")
    assert cache.use("m", "a")
    assert not cache.use("m", "b")
    assert not cache.use("m", "c")
    assert len(cache) == 2
    assert not cache.use("m", "a")
    assert [event.kind for event in cache.events(0)] == [
        "stored",
        "stored",
        "stored",
        "removed",
        "stored",
        "removed",
    ]


def test_events_come_late() -> None:
    cache = PrefixCache(limit=2, lag_s=60.0, lose_every=0)
    cache.use("m", "a")
    assert cache.events(0) == []


def test_events_have_gaps() -> None:
    cache = PrefixCache(limit=9, lag_s=0.0, lose_every=2)
    for prompt in "abcd":
        cache.use("m", prompt)
    assert [event.number for event in cache.events(0)] == [1, 3]
    assert [event.number for event in cache.events(1)] == [3]
