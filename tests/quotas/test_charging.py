"""Which zone a box charges a request to, and what it does without an answer."""

from __future__ import annotations

import gevent
import pytest

from springrock.forwarding.configuration import Team
from springrock.forwarding.errors import OverQuota, QuotaUnheard
from springrock.quotas.charge_book import ChargeBook, CounterSilent
from springrock.quotas.charging import QuotaCharger, Receipt
from springrock.quotas.messages import Charge, Charged, Refund, Verdict

TEAM = Team(name="one", rate=5.0, burst=5.0)


class ScriptedCounter:
    """Gives one answer to all charges, and records them."""

    def __init__(self, answer: Verdict | None) -> None:
        self.answer = answer
        self.asked: list[tuple[str, int]] = []
        self.refunds: list[int] = []

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        self.asked.append((team, units))
        if self.answer is None:
            raise CounterSilent()
        return self.answer, len(self.asked)

    def refund(self, number: int) -> None:
        self.refunds.append(number)


def charge(**counters: ScriptedCounter) -> Receipt:
    charging = QuotaCharger(zones=lambda: list(counters), counter=counters.__getitem__)
    return charging.charge(TEAM, tokens=7, request="r")


def test_only_the_own_zone_is_charged_if_it_has_room() -> None:
    own, other = ScriptedCounter(Verdict(True)), ScriptedCounter(Verdict(True))
    charge(own=own, other=other).refund()
    assert (own.asked, own.refunds, other.asked) == ([("one", 1)], [1], [])


def test_another_zone_is_charged_if_the_own_has_no_room() -> None:
    own, other = ScriptedCounter(Verdict(False, 1.0)), ScriptedCounter(Verdict(True))
    charge(own=own, other=other).refund()
    assert other.refunds == [1]


def test_after_a_missing_answer_another_zone_is_charged_and_the_silent_one_skipped() -> None:
    own, other = ScriptedCounter(None), ScriptedCounter(Verdict(True))
    counters = {"own": own, "other": other}
    charging = QuotaCharger(zones=lambda: list(counters), counter=counters.__getitem__)
    for _ in range(3):
        charging.charge(TEAM, tokens=None, request="r")
    assert (len(own.asked), len(other.asked)) == (1, 3)


def test_a_team_over_its_quota_gets_the_shortest_retry_delay() -> None:
    with pytest.raises(OverQuota) as rejection:
        charge(a=ScriptedCounter(Verdict(False, 2.0)), b=ScriptedCounter(Verdict(False, 1.0)))
    assert (rejection.value.status, rejection.value.retry_after_s) == (429, 1.0)
    with pytest.raises(OverQuota) as rejection:
        charge(a=ScriptedCounter(Verdict(False)), b=ScriptedCounter(None))
    assert rejection.value.retry_after_s is None


def test_without_an_answer_of_any_zone_nothing_runs() -> None:
    with pytest.raises(QuotaUnheard):
        charge(a=ScriptedCounter(None), b=ScriptedCounter(None))
    with pytest.raises(QuotaUnheard):
        charge()


def test_teams_without_a_limit_are_not_charged() -> None:
    counter = ScriptedCounter(None)
    charging = QuotaCharger(zones=lambda: ["a"], counter=lambda zone: counter)
    for team in (None, Team(name="free")):
        charging.charge(team, tokens=None, request="r").refund()
    assert counter.asked == counter.refunds == []


# The book of one zone's pending charges.


def start_charge(book: ChargeBook) -> gevent.Greenlet[..., tuple[Verdict, int]]:
    task = gevent.spawn(book.charge, "one", 7, request="r")
    gevent.sleep(0)
    return task


def test_an_answer_ends_the_wait() -> None:
    urgent: list[bool] = []
    book = ChargeBook(on_update=urgent.append)
    task = start_charge(book)
    assert book.drain_updates() == ([Charge(1, "r", "one", 7)], [])
    book.record_charged(Charged(1, counts=True, taken=False, retry_after_ms=250))
    assert task.get(timeout=10) == (Verdict(False, 0.25), 1)
    book.refund(1)
    assert book.drain_updates() == ([], [Refund(1)])
    assert urgent == [True, False]


def test_a_sent_charge_without_an_answer_is_refunded() -> None:
    book = ChargeBook(on_update=lambda urgent: None)
    task = start_charge(book)
    book.drain_updates()
    with pytest.raises(CounterSilent):
        task.get(timeout=10)
    assert book.drain_updates() == ([], [Refund(1)])
    book.record_charged(Charged(1, counts=True, taken=True))


def test_an_unsent_charge_is_withdrawn() -> None:
    book = ChargeBook(on_update=lambda urgent: None)
    with pytest.raises(CounterSilent):
        start_charge(book).get(timeout=10)
    assert book.drain_updates() == ([], [])


def test_the_charge_of_a_client_that_disconnects_is_refunded() -> None:
    book = ChargeBook(on_update=lambda urgent: None)
    task = start_charge(book)
    book.drain_updates()
    task.kill()
    assert book.drain_updates() == ([], [Refund(1)])


def test_a_lost_or_unauthorized_placer_ends_the_wait_at_once() -> None:
    for end in (
        lambda book: book.forget_placer(),
        lambda book: book.record_charged(Charged(1, counts=False)),
    ):
        book = ChargeBook(on_update=lambda urgent: None)
        task = start_charge(book)
        end(book)
        with pytest.raises(CounterSilent):
            task.get(timeout=0.1)
