"""The account of a zone's part: never beyond it, and nothing that did not run is counted."""

from __future__ import annotations

import msgspec
import pytest

from springrock.forwarding.configuration import Configuration, QuotaUnit, Team
from springrock.quotas.ledger import Ledger
from springrock.quotas.messages import Verdict
from springrock.quotas.shares import QuotaTerms, limits_of_zone

TERMS = QuotaTerms(window_s=8.0, overage=0.1, slack=0.0, zones=2)
TEAM = Team(name="one", unit=QuotaUnit.TOKENS, rate=100.0, burst=100.0, plain_units=5)
FREE = Team(name="free")
PART = limits_of_zone(TEAM, TERMS)
A_SECOND = PART.rate
"""What flows into the part in a second."""


class Account:
    """A ledger whose configuration may be changed."""

    def __init__(self, *teams: Team, terms: QuotaTerms = TERMS) -> None:
        self.configuration = Configuration(version=1, teams=teams)
        self.ledger = Ledger(configuration=lambda: self.configuration, terms=lambda: terms, now=0.0)
        self.numbers = 0
        self.charge(now=0.0, units=10**9)

    def charge(self, *, now: float, units: float, team: str = "one") -> Verdict:
        self.numbers += 1
        return self.ledger.charge("box", self.numbers, team=team, units=units, now=now)

    def configure(self, *teams: Team) -> None:
        self.configuration = Configuration(version=self.configuration.version + 1, teams=teams)


def test_the_parts_of_all_zones_stay_within_what_is_tolerated() -> None:
    limits = limits_of_zone(TEAM, TERMS)
    limit = TEAM.rate * 8 + TEAM.burst
    assert limit <= 2 * (limits.rate * 8 + limits.depth) <= limit * 1.1
    assert 2 * limits.rate >= TEAM.rate
    assert 2 * limits.depth >= TEAM.burst


def test_a_large_burst_is_had_in_every_window_and_not_only_once() -> None:
    lowered = msgspec.structs.replace(TEAM, burst=360.0)
    limits = limits_of_zone(lowered, TERMS)
    assert 2 * limits.rate * 8 >= 0.85 * (lowered.rate * 8 + lowered.burst)


def test_a_new_ledger_has_nothing_to_give() -> None:
    verdict = Account(TEAM).charge(now=0.0, units=10)
    assert verdict == Verdict(False, pytest.approx(10 / PART.rate))


def test_a_request_beyond_the_part_is_told_when_there_is_room() -> None:
    account = Account(TEAM)
    assert account.charge(now=1.0, units=A_SECOND) == Verdict(True)
    assert account.charge(now=1.0, units=25) == Verdict(False, pytest.approx(25 / PART.rate))


def test_what_flows_in_before_the_first_charge_counts() -> None:
    ledger = Ledger(
        configuration=lambda: Configuration(version=1, teams=(TEAM,)),
        terms=lambda: TERMS,
        now=0.0,
    )
    assert ledger.charge("box", 1, team="one", units=50, now=1.0).charged


def test_a_team_that_comes_back_is_not_handed_its_burst_again() -> None:
    account = Account(TEAM)
    assert account.charge(now=100.0, units=PART.depth).charged
    account.configure()
    account.charge(now=100.0, units=1)
    account.configure(TEAM)
    assert not account.charge(now=100.0, units=1).charged


def test_those_who_are_told_to_come_back_come_one_after_the_other() -> None:
    account = Account(TEAM)
    account.charge(now=1.0, units=A_SECOND)
    returns = [account.charge(now=1.0, units=25).retry_after_s for _ in range(3)]
    assert returns == [pytest.approx(turn * 25 / PART.rate) for turn in (1, 2, 3)]


def test_a_request_that_no_part_ever_holds_is_not_told_to_come_back() -> None:
    assert Account(TEAM).charge(now=50.0, units=10**12) == Verdict(False, None)


def test_what_did_not_run_is_free_again_and_only_once() -> None:
    account = Account(TEAM)
    account.charge(now=1.0, units=A_SECOND)
    number = account.numbers
    account.ledger.refund("box", number, now=1.0)
    account.ledger.refund("box", number, now=1.0)
    assert account.charge(now=1.0, units=A_SECOND).charged
    assert not account.charge(now=1.0, units=1).charged


def test_a_new_process_of_a_box_gives_nothing_of_the_old_one_back() -> None:
    account = Account(TEAM)
    account.charge(now=1.0, units=A_SECOND)
    account.ledger.forget_box("box")
    account.ledger.refund("box", account.numbers, now=1.0)
    assert not account.charge(now=1.0, units=1).charged


def test_a_lowered_limit_binds_at_once_and_a_raised_one_hands_out_no_burst() -> None:
    account = Account(TEAM)
    account.configure(Team(name="one", unit=QuotaUnit.TOKENS, rate=2.0, burst=2.0))
    account.charge(now=100.0, units=1)
    assert not account.charge(now=100.0, units=2).charged
    account.configure(TEAM)
    assert not account.charge(now=100.0, units=10).charged
    assert account.charge(now=101.0, units=10).charged


def test_a_team_without_a_limit_is_never_refused_and_an_unknown_one_has_no_part() -> None:
    account = Account(TEAM, FREE)
    assert account.charge(now=0.0, units=10**9, team="free").charged
    assert not account.charge(now=50.0, units=1, team="stranger").charged
    account.configure(FREE)
    assert not account.charge(now=50.0, units=1).charged, "a team that is gone"
