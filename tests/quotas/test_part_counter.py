"""A zone's part is counted out only under its lease, and each time from nothing."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, Team
from springrock.log import Log
from springrock.quotas import part_counter as module
from springrock.quotas.messages import Charge, Charged, GiveBack
from springrock.quotas.part_counter import PartCounter
from springrock.quotas.shares import QuotaTerms

TEAM = Team(name="one", rate=10.0, burst=10.0)
TERMS = QuotaTerms(window_s=8.0, overage=0.0, slack=0.0, zones=1)


class Counting:
    """A counter whose lease and clock are set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.lease_left_s = 3.0
        self.answers: list[tuple[str, Charged]] = []
        self.counted: list[tuple[str, bool]] = []
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        self.counter = PartCounter(
            "zone-1",
            configuration=lambda: Configuration(version=1, teams=(TEAM,)),
            terms=lambda: TERMS,
            lease_left_s=lambda: self.lease_left_s,
            answer=lambda box, charged: self.answers.append((box, charged)),
            on_counted=lambda team, taken: self.counted.append((team, taken)),
            log=Log("quotas", "box-1"),
        )

    def charge(self, number: int, *, units: int = 1, refunds: tuple[int, ...] = ()) -> Charged:
        charges = [Charge(number, "r", "one", units)]
        self.counter.answer("box-2", charges, [GiveBack(refunded) for refunded in refunds])
        box, charged = self.answers[-1]
        assert box == "box-2"
        return charged


def test_a_charge_is_answered_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    counting = Counting(monkeypatch)
    assert not counting.charge(1, units=5).taken
    counting.now += 2.0
    assert counting.charge(2, units=10) == Charged(2, counts=True, taken=True)
    assert counting.counted == [("one", False), ("one", True)]


def test_without_a_sure_lease_nothing_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    counting = Counting(monkeypatch)
    counting.now += 2.0
    counting.lease_left_s = 0.0
    assert counting.charge(1) == Charged(1, counts=False)
    assert counting.counted == []


def test_a_charge_that_is_told_with_its_undoing_is_undone(monkeypatch: pytest.MonkeyPatch) -> None:
    counting = Counting(monkeypatch)
    counting.now += 2.0
    assert counting.charge(1, units=10, refunds=(1,)).taken
    assert counting.charge(2, units=10).taken


def test_a_lease_that_is_taken_anew_begins_with_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    counting = Counting(monkeypatch)
    counting.now += 2.0
    counting.counter.begin()
    assert not counting.charge(1).taken
