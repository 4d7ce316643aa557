"""Permits are issued only under the lease, from an empty bucket, and retries are spread out."""

from __future__ import annotations

import pytest

from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import counter as module
from springrock.permits import named_limits
from springrock.permits.counter import PermitCounter
from springrock.permits.messages import LimitReport, PermitAsk, PermitStage, Permitted, PermitUse
from springrock.permits.refusals import HELD_S
from springrock.permits.terms import SlowStartTerms
from tests.factories import make_limits

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
PLAIN = ReplicaRecord(instance="i-9", service="plain", address="127.0.0.1:1", zone="zone-1")


class Setup:
    """A counter with a lease and a clock set by hand, and a bucket of rate 4 and depth 1."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.lease_left_s = 3.0
        self.answers: list[Permitted] = []
        self.counted: list[bool] = []
        self.limits = make_limits()
        self.brittle_per_s: float | None = None
        self.continues_without_lease = False
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
            continues_without_lease=lambda: self.continues_without_lease,
            answer=lambda box, permitted: self.answers.append(permitted),
            on_counted=self.counted.append,
            log=Log("slow_start", "box-1"),
            brittle=lambda service, instance: self.brittle_per_s,
        )

    def ask(
        self, *, instance: str = "i-1", service: str = "s", reserve_retry: bool = False
    ) -> Permitted:
        self.counter.answer("box-2", [PermitAsk(7, "r", service, instance, reserve_retry)])
        return self.answers[-1]


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> Setup:
    return Setup(monkeypatch)


def test_a_new_placer_grants_nothing_until_its_bucket_has_filled(setup: Setup) -> None:
    assert setup.ask() == Permitted(7, counts=True, room_in_ms=250, retry_after_ms=250)
    setup.now += 0.25
    assert setup.ask() == Permitted(7, counts=True, granted=True)
    assert setup.counted == [False, True]


def test_each_incarnation_has_its_own_permits(setup: Setup) -> None:
    setup.now += 0.25
    assert setup.ask().granted
    assert not setup.ask().granted
    assert setup.ask(instance="i-2").granted


def test_without_a_valid_lease_or_a_slow_start_nothing_is_counted(setup: Setup) -> None:
    setup.now += 2.0
    assert setup.ask(service="plain") == Permitted(7, counts=False)
    setup.lease_left_s = 0.0
    assert setup.ask() == Permitted(7, counts=False)
    assert setup.counter.room_in_s(RECORD, cold=True)
    assert not setup.counter.grant("box-2", 5, "r", RECORD, cold=True)
    assert setup.counted == []


def test_after_taking_the_lease_the_buckets_are_empty(setup: Setup) -> None:
    setup.now += 2.0
    setup.counter.reset()
    assert not setup.ask().granted


def test_callers_get_successive_retry_slots_and_boxes_with_other_replicas_none(
    setup: Setup,
) -> None:
    back = [setup.ask(reserve_retry=True).retry_after_ms for _ in range(3)]
    assert back == [250, 500, 750]
    assert setup.ask().retry_after_ms == 250
    assert setup.ask(reserve_retry=True).retry_after_ms == 1000


def test_a_grant_takes_a_permit_and_the_next_is_available_after_a_refill(setup: Setup) -> None:
    assert setup.counter.room_in_s(RECORD, cold=True)
    setup.now += 0.25
    assert not setup.counter.room_in_s(RECORD, cold=True)
    assert setup.counter.grant("box-2", 5, "r", RECORD, cold=True)
    assert setup.counter.room_in_s(RECORD, cold=True)
    assert setup.counter.room_in_s(PLAIN, cold=True)


def test_the_expired_permit_of_a_grant_is_refunded_when_a_new_one_is_asked(setup: Setup) -> None:
    setup.now += 0.25
    assert setup.counter.grant("box-2", 5, "r", RECORD, cold=True)
    setup.now += 0.05
    ask = PermitAsk(7, "r", "s", "i-1", grant=5)
    setup.counter.answer("box-2", [ask, ask])
    assert [permitted.granted for permitted in setup.answers] == [True, False]
    setup.now += 0.2
    assert not setup.ask().granted
    setup.now += 0.05
    assert setup.ask().granted


def test_boxes_that_have_other_replicas_get_staggered_retry_delays(setup: Setup) -> None:
    assert [setup.ask().room_in_ms for _ in range(4)] == [250, 500, 500, 500]
    setup.now += 0.25
    assert setup.ask().granted
    assert setup.ask().room_in_ms == 250


# Limits that replicas name.


def test_a_named_limit_is_enforced_for_a_warm_replica(setup: Setup) -> None:
    setup.limits.apply_limit_report(LimitReport("i-9", 2.0))
    ask = PermitAsk(7, "r", "plain", "i-9", cold=False, limit_per_s=2.0)
    setup.counter.answer("box-2", [ask])
    assert setup.answers[-1] == Permitted(
        7, counts=True, room_in_ms=500, retry_after_ms=500, limited=True
    )
    setup.now += 9.0
    setup.counter.answer("box-2", [ask] * 4)
    assert [answer.granted for answer in setup.answers[1:]] == [True, True, False, False]
    assert setup.counter.room_in_s(PLAIN, cold=False) == pytest.approx(0.5)


def test_a_placer_that_continues_without_a_lease_counts_limits_but_no_cold_starts(
    setup: Setup,
) -> None:
    setup.limits.apply_limit_report(LimitReport("i-1", 2.0))
    setup.lease_left_s = 0.0
    setup.now += 9.0
    assert setup.counter.room_in_s(RECORD, cold=False) == float("inf")
    setup.continues_without_lease = True
    assert setup.counter.room_in_s(RECORD, cold=False) < float("inf")
    assert setup.counter.room_in_s(RECORD, cold=True) == float("inf")


def test_for_a_cold_replica_with_a_limit_the_stricter_bound_applies(setup: Setup) -> None:
    setup.limits.apply_limit_report(LimitReport("i-1", 0.5))
    setup.now += 9.0
    assert setup.ask() == Permitted(
        7, counts=True, room_in_ms=2000, retry_after_ms=2000, limited=True
    )
    setup.limits.apply_limit_report(LimitReport("i-2", 50.0))
    setup.ask(instance="i-2")
    assert setup.answers[-1].room_in_ms == 250


def test_a_limit_that_only_the_asking_box_knows_is_read_from_the_ask(setup: Setup) -> None:
    ask = PermitAsk(7, "r", "plain", "i-9", cold=False, limit_per_s=2.0)
    setup.counter.answer("box-2", [ask])
    assert not setup.answers[-1].granted
    setup.limits.apply_limit_report(LimitReport("i-9", 2.0))
    setup.now += 1.0
    setup.limits.apply_limit_report(LimitReport("i-9", None))
    setup.counter.answer("box-2", [ask])
    assert setup.answers[-1] == Permitted(7, counts=True, granted=True, limited=True)


# Brittle replicas.

WARM_ASK = PermitAsk(7, "r", "plain", "i-9", cold=False)


def test_a_brittle_replica_gets_as_many_requests_as_it_may_turn_away(setup: Setup) -> None:
    setup.brittle_per_s = 4.0
    setup.counter.answer("box-2", [WARM_ASK] * 4)
    assert [answer.granted for answer in setup.answers] == [True, True, True, False]
    assert all(answer.brittle for answer in setup.answers)
    assert setup.counter.room_in_s(PLAIN, cold=False) > 0
    setup.now += HELD_S
    assert setup.counter.room_in_s(PLAIN, cold=False) == 0


def test_the_place_of_an_admitted_request_is_free_again(setup: Setup) -> None:
    setup.brittle_per_s = 1.0
    setup.counter.answer("box-2", [WARM_ASK])
    for stage, has_room in ((PermitStage.REFUSED, False), (PermitStage.ADMITTED, False)):
        setup.counter.record_uses("box-2", [PermitUse("i-9", "r", stage)])
        assert (setup.counter.room_in_s(PLAIN, cold=False) == 0) is has_room
    setup.now += HELD_S
    setup.counter.answer("box-2", [WARM_ASK])
    setup.counter.record_uses("box-3", [PermitUse("i-9", "r", PermitStage.ADMITTED)])
    assert setup.counter.room_in_s(PLAIN, cold=False) > 0, "that was a request of another box"
    setup.counter.record_uses("box-2", [PermitUse("i-9", "r", PermitStage.ADMITTED)])
    setup.counter.record_uses("box-2", [PermitUse("i-9", "r", PermitStage.ENDED)])
    assert setup.counter.room_in_s(PLAIN, cold=False) == 0


def test_a_refusal_shows_how_many_a_brittle_replica_runs_at_once(setup: Setup) -> None:
    setup.brittle_per_s = 40.0
    asks = [PermitAsk(7, f"r-{n}", "plain", "i-9", cold=False) for n in range(3)]
    setup.counter.answer("box-2", asks)
    stages = [PermitStage.ADMITTED, PermitStage.ADMITTED, PermitStage.REFUSED]
    uses = [PermitUse("i-9", f"r-{n}", stage) for n, stage in enumerate(stages)]
    setup.counter.record_uses("box-2", uses)
    assert setup.counter.room_in_s(PLAIN, cold=False) > 0
    setup.counter.record_uses("box-2", [PermitUse("i-9", "r-0", PermitStage.ENDED)])
    assert setup.counter.room_in_s(PLAIN, cold=False) == 0


def test_for_a_cold_brittle_replica_with_a_limit_the_strictest_bound_applies(
    setup: Setup,
) -> None:
    setup.now += 9.0
    setup.brittle_per_s = 40.0
    setup.limits.apply_limit_report(LimitReport("i-1", 0.5))
    setup.ask()
    assert (setup.answers[-1].granted, setup.answers[-1].room_in_ms) == (False, 2000)
    setup.now += 9.0
    setup.brittle_per_s = 1.0
    assert setup.ask().granted
    setup.now += HELD_S - 0.1
    assert not setup.ask().granted
    setup.limits.apply_limit_report(LimitReport("i-2", 50.0))
    setup.ask(instance="i-2")
    setup.now += 9.0
    assert [setup.ask(instance="i-2").granted for _ in range(2)] == [True, False]


def test_a_new_placer_gives_no_place_at_a_brittle_replica_until_earlier_ones_ended(
    setup: Setup,
) -> None:
    setup.brittle_per_s = 8.0
    setup.counter.reset()
    setup.now += HELD_S - 0.01
    assert setup.counter.room_in_s(PLAIN, cold=False) > 0
    setup.now += 0.02
    assert setup.counter.room_in_s(PLAIN, cold=False) == 0


def test_how_brittle_a_replica_is_may_be_known_to_the_asking_box_only(setup: Setup) -> None:
    ask = PermitAsk(7, "r", "plain", "i-9", cold=False, brittle_per_s=2.0)
    setup.counter.answer("box-2", [ask] * 2)
    assert [answer.granted for answer in setup.answers] == [True, False]
