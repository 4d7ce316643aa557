"""The number of boxes that common budgets are divided by."""

from __future__ import annotations

import pytest

from springrock.placement import box_count as box_count_module
from springrock.placement.box_count import BoxCount


def test_the_number_of_boxes_never_falls() -> None:
    count = BoxCount(3)
    assert count.most == 1
    count.record(3, home=0)
    assert count.most == 3
    count.record(7, home=2)
    assert count.most == 7
    count.record(1, home=1)
    assert (count.most, count.sharing(heard_for_s=0.0)) == (7, 7)


def test_the_number_is_unknown_until_it_has_been_heard_for_long_enough(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 100.0
    monkeypatch.setattr(box_count_module, "monotonic", lambda: now)
    count = BoxCount(3)
    assert count.sharing(heard_for_s=0.0) is None
    count.record(1, home=0)
    now += 9.0
    count.record(75, home=25)
    assert count.sharing(heard_for_s=10.0) is None
    now += 1.0
    assert count.sharing(heard_for_s=10.0) == 75


def test_a_box_that_sees_only_its_zone_counts_as_many_boxes_in_each_zone() -> None:
    count = BoxCount(3)
    count.record(25, home=25)
    assert count.sharing(heard_for_s=0.0) == 75
