"""The ledger never lets through more than a zone's share, and refunds requests that did not run."""

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
SHARE = limits_of_zone(TEAM, TERMS)
ONE_SECOND = SHARE.rate
"""The units that flow into the share in a second."""


class Setup:
    """A ledger with a configuration that tests change; its share is empty at the start."""

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


def test_the_shares_of_all_zones_stay_within_the_tolerance() -> None:
    limits = limits_of_zone(TEAM, TERMS)
    limit = TEAM.rate * 8 + TEAM.burst
    assert limit <= 2 * (limits.rate * 8 + limits.depth) <= limit * 1.1
    assert 2 * limits.rate >= TEAM.rate
    assert 2 * limits.depth >= TEAM.burst


def test_a_large_burst_is_available_in_every_window() -> None:
    lowered = msgspec.structs.replace(TEAM, burst=360.0)
    limits = limits_of_zone(lowered, TERMS)
    assert 2 * limits.rate * 8 >= 0.85 * (lowered.rate * 8 + lowered.burst)


def test_a_new_ledger_starts_empty() -> None:
    verdict = Setup(TEAM).charge(now=0.0, units=10)
    assert verdict == Verdict(False, pytest.approx(10 / SHARE.rate))


def test_a_refused_request_gets_the_time_until_the_share_holds_its_cost() -> None:
    setup = Setup(TEAM)
    assert setup.charge(now=1.0, units=ONE_SECOND) == Verdict(True)
    assert setup.charge(now=1.0, units=25) == Verdict(False, pytest.approx(25 / SHARE.rate))


def test_what_flows_in_before_the_first_charge_counts() -> None:
    ledger = Ledger(
        configuration=lambda: Configuration(version=1, teams=(TEAM,)),
        terms=lambda: TERMS,
        now=0.0,
    )
    assert ledger.charge("box", 1, team="one", units=50, now=1.0).charged


def test_a_team_that_is_configured_again_gets_no_second_burst() -> None:
    setup = Setup(TEAM)
    assert setup.charge(now=100.0, units=SHARE.depth).charged
    setup.configure()
    setup.charge(now=100.0, units=1)
    setup.configure(TEAM)
    assert not setup.charge(now=100.0, units=1).charged


def test_refused_requests_get_successive_retry_slots() -> None:
    setup = Setup(TEAM)
    setup.charge(now=1.0, units=ONE_SECOND)
    delays = [setup.charge(now=1.0, units=25).retry_after_s for _ in range(3)]
    assert delays == [pytest.approx(turn * 25 / SHARE.rate) for turn in (1, 2, 3)]


def test_a_request_that_exceeds_the_depth_gets_no_retry_delay() -> None:
    assert Setup(TEAM).charge(now=50.0, units=10**12) == Verdict(False, None)


def test_a_charge_can_be_refunded_only_once() -> None:
    setup = Setup(TEAM)
    setup.charge(now=1.0, units=ONE_SECOND)
    number = setup.numbers
    setup.ledger.refund("box", number, now=1.0)
    setup.ledger.refund("box", number, now=1.0)
    assert setup.charge(now=1.0, units=ONE_SECOND).charged
    assert not setup.charge(now=1.0, units=1).charged


def test_charges_of_a_box_cannot_be_refunded_after_its_process_changed() -> None:
    setup = Setup(TEAM)
    setup.charge(now=1.0, units=ONE_SECOND)
    setup.ledger.forget_box("box")
    setup.ledger.refund("box", setup.numbers, now=1.0)
    assert not setup.charge(now=1.0, units=1).charged


def test_a_lowered_limit_applies_at_once_and_a_raised_one_grants_no_burst() -> None:
    setup = Setup(TEAM)
    setup.configure(Team(name="one", unit=QuotaUnit.TOKENS, rate=2.0, burst=2.0))
    setup.charge(now=100.0, units=1)
    assert not setup.charge(now=100.0, units=2).charged
    setup.configure(TEAM)
    assert not setup.charge(now=100.0, units=10).charged
    assert setup.charge(now=101.0, units=10).charged


def test_a_team_without_a_limit_is_never_refused_and_an_unknown_one_always() -> None:
    setup = Setup(TEAM, FREE)
    assert setup.charge(now=0.0, units=10**9, team="free").charged
    assert not setup.charge(now=50.0, units=1, team="stranger").charged
    setup.configure(FREE)
    assert not setup.charge(now=50.0, units=1).charged, "the team was removed"
