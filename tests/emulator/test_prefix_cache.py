from __future__ import annotations

from springrock.emulator.prefix_cache import PrefixCache


def test_least_recently_used_prefixes_are_evicted() -> None:
    cache = PrefixCache(limit=2, lag_s=0.0, lose_every=0)
    assert not cache.record_use("m", "a")
    assert cache.record_use("m", "a")
    assert not cache.record_use("m", "b")
    assert not cache.record_use("m", "c")
    assert len(cache) == 2
    assert not cache.record_use("m", "a")
    assert [event.kind for event in cache.events(0)] == [
        "stored",
        "stored",
        "stored",
        "removed",
        "stored",
        "removed",
    ]


def test_events_become_visible_after_the_lag() -> None:
    cache = PrefixCache(limit=2, lag_s=60.0, lose_every=0)
    cache.record_use("m", "a")
    assert cache.events(0) == []


def test_events_have_gaps() -> None:
    cache = PrefixCache(limit=9, lag_s=0.0, lose_every=2)
    for prompt in "abcd":
        cache.record_use("m", prompt)
    assert [event.number for event in cache.events(0)] == [1, 3]
    assert [event.number for event in cache.events(1)] == [3]
