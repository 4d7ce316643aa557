"""Memory of so many names."""

from __future__ import annotations

from springrock.remembered import Remembered


def test_the_longest_unheard_is_forgotten_first() -> None:
    remembered: Remembered[int] = Remembered(at_most=2)
    remembered.record("a", 1)
    remembered.record("b", 2)
    remembered.record("a", 3)
    remembered.record("c", 4)
    assert dict(remembered) == {"a": 3, "c": 4}
