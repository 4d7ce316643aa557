"""A dictionary of bounded size."""

from __future__ import annotations

from springrock.bounded_dict import BoundedDict


def test_the_entry_recorded_longest_ago_is_dropped_first() -> None:
    remembered: BoundedDict[int] = BoundedDict(at_most=2)
    remembered.record("a", 1)
    remembered.record("b", 2)
    remembered.record("a", 3)
    remembered.record("c", 4)
    assert dict(remembered) == {"a": 3, "c": 4}
