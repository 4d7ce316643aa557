"""Which word on a replica's limit stands, whoever heard it and in whatever order it comes."""

from __future__ import annotations

import pytest

from springrock.permits import named_limits as module
from springrock.permits.messages import LimitReport, NamedLimit
from springrock.permits.named_limits import NamedLimits
from tests.worlds import make_limits


class Box:
    """What one box knows of the limit of `i-1`, with a clock set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        self.limits: NamedLimits = make_limits()
        self.reported: list[LimitReport] = []
        self.limits.on_limit_report.append(self.reported.append)

    def named(self, per_s: float, *, sent_ago_s: float = 0.1) -> None:
        self.limits.record_limit_named("i-1", per_s, sent_at=self.now - sent_ago_s)

    def silent(self, *, sent_ago_s: float = 0.1) -> None:
        self.limits.record_silent("i-1", sent_at=self.now - sent_ago_s)

    @property
    def per_s(self) -> float | None:
        return self.limits.per_s("i-1")


@pytest.fixture
def box(monkeypatch: pytest.MonkeyPatch) -> Box:
    return Box(monkeypatch)


def test_an_answer_names_a_limit_and_a_later_one_without_it_ends_it(box: Box) -> None:
    box.silent()
    assert (box.per_s, box.reported) == (None, [])
    box.named(1.5)
    assert box.per_s == 1.5
    box.now += 1.0
    box.silent()
    assert box.per_s is None
    assert box.reported == [LimitReport("i-1", 1.5), LimitReport("i-1", None, 100)]
    assert box.limits.count == 0


def test_an_answer_that_crossed_the_limit_on_its_way_does_not_end_it(box: Box) -> None:
    box.named(1.5)
    box.now += 2.0
    box.silent(sent_ago_s=2.1)
    assert box.per_s == 1.5


def test_of_answers_that_were_under_way_at_once_the_stricter_stands(box: Box) -> None:
    box.named(3.0)
    box.named(1.0)
    box.named(3.0)
    assert box.per_s == 1.0
    box.now += 0.2
    box.named(3.0, sent_ago_s=0.3)
    assert box.per_s == 1.0
    box.named(3.0)
    assert box.per_s == 3.0, "it was sent after the stricter one had come"


def test_a_limit_that_is_named_on_is_told_now_and_then(box: Box) -> None:
    for _ in range(20):
        box.named(1.5)
        box.now += 0.1
    assert 3 <= len(box.reported) <= 5


def test_a_placer_takes_the_words_of_boxes_by_their_age(box: Box) -> None:
    box.limits.apply_limit_report(LimitReport("i-1", None, 0))
    assert not box.limits.knows("i-1")
    box.limits.apply_limit_report(LimitReport("i-1", 1.5, 10))
    assert box.limits.named(["i-1", "i-2"]) == (NamedLimit("i-1", 1.5),)
    box.limits.apply_limit_report(LimitReport("i-1", None, 5))
    assert box.per_s == 1.5, "it may have crossed the limit on its way to another box"
    box.now += 1.0
    box.limits.apply_limit_report(LimitReport("i-1", None, 5))
    assert box.per_s is None
    box.limits.apply_limit_report(LimitReport("i-1", 1.5, 1000))
    assert box.per_s is None, "an old word does not bring it back"
    assert box.limits.knows("i-1")


def test_what_a_placer_tells_binds_until_it_ends_or_an_answer_says_otherwise(box: Box) -> None:
    box.limits.apply_reported("zone-1", [NamedLimit("i-1", 2.0)])
    assert (box.per_s, box.limits.count) == (2.0, 1)
    assert box.limits.named(["i-1"]) == (), "what was only told is not told on"
    box.named(5.0)
    assert box.per_s == 2.0, "the stricter of both"
    box.now += 0.3
    box.limits.apply_reported("zone-1", [NamedLimit("i-1", 2.0)])
    box.silent()
    assert box.per_s is None, "told without a pause since before that answer's request"
    box.limits.apply_reported("zone-1", [])
    box.limits.apply_reported("zone-1", [NamedLimit("i-1", 2.0)])
    assert box.per_s == 2.0, "told anew"


def test_a_placer_that_is_lost_is_believed_for_a_while(box: Box) -> None:
    box.limits.apply_reported("zone-1", [NamedLimit("i-1", 2.0)])
    box.now += 5.0
    assert box.per_s == 2.0
    box.now += 6.0
    assert box.per_s is None


def test_a_new_placer_is_told_what_answers_said(box: Box) -> None:
    box.named(1.5)
    box.limits.apply_reported("zone-1", [NamedLimit("i-2", 2.0)])
    box.now += 0.5
    assert box.limits.arguments(["i-1", "i-2"]) == [LimitReport("i-1", 1.5, 500)]
