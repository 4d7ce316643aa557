"""Which limit of a replica is in force, when reports about it arrive in any order."""

from __future__ import annotations

import pytest

from springrock.permits import named_limits as module
from springrock.permits.messages import LimitReport, NamedLimit
from springrock.permits.named_limits import NamedLimits
from tests.factories import make_limits


class Box:
    """The `NamedLimits` of one box for the replica `i-1`, with a clock set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        self.limits: NamedLimits = make_limits()
        self.reported: list[LimitReport] = []
        self.limits.on_limit_report.append(self.reported.append)

    def answer_naming(self, per_s: float, *, sent_ago_s: float = 0.1) -> None:
        self.limits.record_limit_named("i-1", per_s, sent_at=self.now - sent_ago_s)

    def answer_without_limit(self, *, sent_ago_s: float = 0.1) -> None:
        self.limits.record_limit_absent("i-1", sent_at=self.now - sent_ago_s)

    @property
    def per_s(self) -> float | None:
        return self.limits.per_s("i-1")


@pytest.fixture
def box(monkeypatch: pytest.MonkeyPatch) -> Box:
    return Box(monkeypatch)


def test_an_answer_names_a_limit_and_a_later_one_without_a_limit_ends_it(box: Box) -> None:
    box.answer_without_limit()
    assert (box.per_s, box.reported) == (None, [])
    box.answer_naming(1.5)
    assert box.per_s == 1.5
    box.now += 1.0
    box.answer_without_limit()
    assert box.per_s is None
    assert box.reported == [LimitReport("i-1", 1.5), LimitReport("i-1", None, 100)]
    assert box.limits.count == 0


def test_an_answer_to_a_request_sent_before_the_limit_was_named_does_not_end_it(box: Box) -> None:
    box.answer_naming(1.5)
    box.now += 2.0
    box.answer_without_limit(sent_ago_s=2.1)
    assert box.per_s == 1.5


def test_of_concurrent_answers_the_stricter_limit_is_kept(box: Box) -> None:
    box.answer_naming(3.0)
    box.answer_naming(1.0)
    box.answer_naming(3.0)
    assert box.per_s == 1.0
    box.now += 0.2
    box.answer_naming(3.0, sent_ago_s=0.3)
    assert box.per_s == 1.0
    box.answer_naming(3.0)
    assert box.per_s == 3.0, "its request was sent after the stricter limit arrived"


def test_a_limit_that_is_still_named_is_reported_periodically(box: Box) -> None:
    for _ in range(20):
        box.answer_naming(1.5)
        box.now += 0.1
    assert 3 <= len(box.reported) <= 5


def test_a_placer_applies_the_reports_of_boxes_by_their_age(box: Box) -> None:
    box.limits.apply_limit_report(LimitReport("i-1", None, 0))
    assert not box.limits.has_report("i-1")
    box.limits.apply_limit_report(LimitReport("i-1", 1.5, 10))
    assert box.limits.in_force(["i-1", "i-2"]) == (NamedLimit("i-1", 1.5),)
    box.limits.apply_limit_report(LimitReport("i-1", None, 5))
    assert box.per_s == 1.5, "its request may have been sent before the limit was named"
    box.now += 1.0
    box.limits.apply_limit_report(LimitReport("i-1", None, 5))
    assert box.per_s is None
    box.limits.apply_limit_report(LimitReport("i-1", 1.5, 1000))
    assert box.per_s is None, "an old report does not restore it"
    assert box.limits.has_report("i-1")


def test_a_limit_from_the_placer_holds_until_the_placer_or_an_answer_ends_it(box: Box) -> None:
    box.limits.apply_placer_limits("zone-1", [NamedLimit("i-1", 2.0)])
    assert (box.per_s, box.limits.count) == (2.0, 1)
    assert box.limits.in_force(["i-1"]) == (), "a limit known from a placer only is not reported on"
    box.answer_naming(5.0)
    assert box.per_s == 2.0, "the stricter of both applies"
    box.now += 0.3
    box.limits.apply_placer_limits("zone-1", [NamedLimit("i-1", 2.0)])
    box.answer_without_limit()
    assert box.per_s is None, "the placer has reported it since before that answer's request"
    box.limits.apply_placer_limits("zone-1", [])
    box.limits.apply_placer_limits("zone-1", [NamedLimit("i-1", 2.0)])
    assert box.per_s == 2.0, "reported again after a pause"


def test_the_limits_of_a_lost_placer_remain_valid_for_a_while(box: Box) -> None:
    box.limits.apply_placer_limits("zone-1", [NamedLimit("i-1", 2.0)])
    box.now += 5.0
    assert box.per_s == 2.0
    box.now += 6.0
    assert box.per_s is None


def test_a_new_placer_is_sent_the_limits_read_in_answers(box: Box) -> None:
    box.answer_naming(1.5)
    box.limits.apply_placer_limits("zone-1", [NamedLimit("i-2", 2.0)])
    box.now += 0.5
    assert box.limits.reports_for(["i-1", "i-2"]) == [LimitReport("i-1", 1.5, 500)]
