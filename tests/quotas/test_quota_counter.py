"""Charges to a zone's share are accepted only under its lease, from an empty share."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, Team
from springrock.log import Log
from springrock.quotas import quota_counter as module
from springrock.quotas.messages import Charge, Charged, Refund
from springrock.quotas.quota_counter import QuotaCounter
from springrock.quotas.shares import QuotaTerms

TEAM = Team(name="one", rate=10.0, burst=10.0)
TERMS = QuotaTerms(window_s=8.0, overage=0.0, slack=0.0, zones=1)


class Setup:
    """A counter with a lease and a clock set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.lease_left_s = 3.0
        self.answers: list[tuple[str, Charged]] = []
        self.counted: list[tuple[str, bool]] = []
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        self.counter = QuotaCounter(
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
        self.counter.answer("box-2", charges, [Refund(refunded) for refunded in refunds])
        box, charged = self.answers[-1]
        assert box == "box-2"
        return charged


def test_a_charge_is_answered_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    setup = Setup(monkeypatch)
    assert not setup.charge(1, units=5).taken
    setup.now += 2.0
    assert setup.charge(2, units=10) == Charged(2, counts=True, taken=True)
    assert setup.counted == [("one", False), ("one", True)]


def test_without_a_valid_lease_nothing_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    setup = Setup(monkeypatch)
    setup.now += 2.0
    setup.lease_left_s = 0.0
    assert setup.charge(1) == Charged(1, counts=False)
    assert setup.counted == []


def test_a_charge_that_arrives_with_its_refund_is_refunded(monkeypatch: pytest.MonkeyPatch) -> None:
    setup = Setup(monkeypatch)
    setup.now += 2.0
    assert setup.charge(1, units=10, refunds=(1,)).taken
    assert setup.charge(2, units=10).taken


def test_after_taking_the_lease_the_share_is_empty(monkeypatch: pytest.MonkeyPatch) -> None:
    setup = Setup(monkeypatch)
    setup.now += 2.0
    setup.counter.reset()
    assert not setup.charge(1).taken
