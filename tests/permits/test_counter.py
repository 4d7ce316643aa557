"""Permits are counted out only under the lease, from nothing, and callers get turns."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import counter as module
from springrock.permits import named_limits
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import LimitReport, PermitAsk, Permitted
from springrock.permits.terms import SlowStartTerms
from tests.worlds import make_limits

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
PLAIN = ReplicaRecord(instance="i-9", service="plain", address="127.0.0.1:1", zone="zone-1")


class Counting:
    """A counter whose lease and clock are set by hand: 4 a second, one at once."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.lease_left_s = 3.0
        self.answers: list[Permitted] = []
        self.counted: list[bool] = []
        self.limits = make_limits()
        self.goes_on = False
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        monkeypatch.setattr(named_limits, "monotonic", lambda: self.now)
        slow = Service(name="s", slow_start=SlowStart(lasts_s=5.0, per_s=4.0))
        services = {"s": slow, "plain": Service(name="plain")}
        self.counter = PermitCounter(
            "zone-1",
            configuration=lambda: Configuration(version=1, services=services),
            terms=lambda: SlowStartTerms(2.0, 0.0),
            limits=self.limits,
            lease_left_s=lambda: self.lease_left_s,
            goes_on=lambda: self.goes_on,
            answer=lambda box, permitted: self.answers.append(permitted),
            on_counted=self.counted.append,
            log=Log("slow_start", "box-1"),
        )

    def ask(self, *, instance: str = "i-1", service: str = "s", returns: bool = False) -> Permitted:
        self.counter.answer("box-2", [PermitAsk(7, "r", service, instance, returns)])
        return self.answers[-1]


@pytest.fixture
def counting(monkeypatch: pytest.MonkeyPatch) -> Counting:
    return Counting(monkeypatch)


def test_a_new_placer_grants_nothing_before_its_bucket_has_filled(counting: Counting) -> None:
    assert counting.ask() == Permitted(7, counts=True, room_in_ms=250, retry_after_ms=250)
    counting.now += 0.25
    assert counting.ask() == Permitted(7, counts=True, granted=True)
    assert counting.counted == [False, True]


def test_each_incarnation_has_its_own_permits(counting: Counting) -> None:
    counting.now += 0.25
    assert counting.ask().granted
    assert not counting.ask().granted
    assert counting.ask(instance="i-2").granted


def test_without_a_sure_lease_or_a_slow_start_nothing_is_counted(counting: Counting) -> None:
    counting.now += 2.0
    assert counting.ask(service="plain") == Permitted(7, counts=False)
    counting.lease_left_s = 0.0
    assert counting.ask() == Permitted(7, counts=False)
    assert counting.counter.room_in_s(RECORD, cold=True)
    assert not counting.counter.grant("box-2", 5, "r", RECORD, cold=True)
    assert counting.counted == []


def test_a_lease_that_is_taken_anew_begins_with_nothing(counting: Counting) -> None:
    counting.now += 2.0
    counting.counter.begin()
    assert not counting.ask().granted


def test_those_who_come_back_get_turns_and_others_take_none(counting: Counting) -> None:
    back = [counting.ask(returns=True).retry_after_ms for _ in range(3)]
    assert back == [250, 500, 750]
    assert counting.ask().retry_after_ms == 250
    assert counting.ask(returns=True).retry_after_ms == 1000


def test_a_grant_takes_a_permit_and_there_is_room_only_as_it_fills(counting: Counting) -> None:
    assert counting.counter.room_in_s(RECORD, cold=True)
    counting.now += 0.25
    assert not counting.counter.room_in_s(RECORD, cold=True)
    assert counting.counter.grant("box-2", 5, "r", RECORD, cold=True)
    assert counting.counter.room_in_s(RECORD, cold=True)
    assert counting.counter.room_in_s(PLAIN, cold=True)


def test_a_permit_taken_with_a_grant_that_was_waited_for_is_taken_anew(counting: Counting) -> None:
    counting.now += 0.25
    assert counting.counter.grant("box-2", 5, "r", RECORD, cold=True)
    counting.now += 0.05
    anew = PermitAsk(7, "r", "s", "i-1", grant=5)
    counting.counter.answer("box-2", [anew, anew])
    assert [permitted.granted for permitted in counting.answers] == [True, False]
    counting.now += 0.2
    assert not counting.ask().granted
    counting.now += 0.05
    assert counting.ask().granted


def test_boxes_that_have_other_replicas_ask_again_one_after_the_other(counting: Counting) -> None:
    assert [counting.ask().room_in_ms for _ in range(4)] == [250, 500, 500, 500]
    counting.now += 0.25
    assert counting.ask().granted
    assert counting.ask().room_in_ms == 250


# Limits that replicas name.


def test_a_limit_is_counted_out_where_nothing_is_cold(counting: Counting) -> None:
    counting.limits.apply_limit_report(LimitReport("i-9", 2.0))
    ask = PermitAsk(7, "r", "plain", "i-9", cold=False, limit_per_s=2.0)
    counting.counter.answer("box-2", [ask])
    assert counting.answers[-1] == Permitted(
        7, counts=True, room_in_ms=500, retry_after_ms=500, limited=True
    )
    counting.now += 9.0
    counting.counter.answer("box-2", [ask] * 4)
    assert [answer.granted for answer in counting.answers[1:]] == [True, True, False, False]
    assert counting.counter.room_in_s(PLAIN, cold=False) == pytest.approx(0.5)


def test_a_placer_that_goes_on_without_a_lease_counts_limits_and_no_cold_start(
    counting: Counting,
) -> None:
    counting.limits.apply_limit_report(LimitReport("i-1", 2.0))
    counting.lease_left_s = 0.0
    counting.now += 9.0
    assert counting.counter.room_in_s(RECORD, cold=False) == float("inf")
    counting.goes_on = True
    assert counting.counter.room_in_s(RECORD, cold=False) < float("inf")
    assert counting.counter.room_in_s(RECORD, cold=True) == float("inf")


def test_a_cold_replica_with_a_limit_gets_the_stricter_of_both(counting: Counting) -> None:
    counting.limits.apply_limit_report(LimitReport("i-1", 0.5))
    counting.now += 9.0
    assert counting.ask() == Permitted(
        7, counts=True, room_in_ms=2000, retry_after_ms=2000, limited=True
    )
    counting.limits.apply_limit_report(LimitReport("i-2", 50.0))
    counting.ask(instance="i-2")
    assert counting.answers[-1].room_in_ms == 250


def test_a_limit_that_only_the_asker_knows_is_taken_from_the_ask(counting: Counting) -> None:
    ask = PermitAsk(7, "r", "plain", "i-9", cold=False, limit_per_s=2.0)
    counting.counter.answer("box-2", [ask])
    assert not counting.answers[-1].granted
    counting.limits.apply_limit_report(LimitReport("i-9", 2.0))
    counting.now += 1.0
    counting.limits.apply_limit_report(LimitReport("i-9", None))
    counting.counter.answer("box-2", [ask])
    assert counting.answers[-1] == Permitted(7, counts=True, granted=True, limited=True)
