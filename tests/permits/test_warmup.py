"""Replicas that are not known to be warm, and only these, are treated as cold."""

from __future__ import annotations

import msgspec
import pytest

from springrock.forwarding.configuration import Configuration, Service, SlowStart
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits import warmup as module
from springrock.permits.warmup import ROW_DELAY_S, WarmupTracker

LASTS_S = 8.0
RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")


class Setup:
    """A tracker with a clock, rows and evacuations set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        self.rows_age_s = 0.0
        self.ended_at: float | None = None
        self.reported: list[tuple[str, bool]] = []
        monkeypatch.setattr(module, "monotonic", lambda: self.now)
        slow = Service(name="s", slow_start=SlowStart(lasts_s=LASTS_S, per_s=4.0))
        services = {"s": slow, "plain": Service(name="plain")}
        self.warmup = WarmupTracker(
            configuration=lambda: Configuration(version=1, services=services),
            rows_as_of=lambda: self.now - self.rows_age_s,
            ended_at=lambda zone: self.ended_at if zone == "zone-1" else None,
            log=Log("slow_start", "box-1"),
        )
        self.warmup.on_observation.append(
            lambda record, answered: self.reported.append((record.instance, answered))
        )
        self.read()

    def read(self, **more: object) -> None:
        self.record = msgspec.structs.replace(RECORD, **more)
        self.warmup.apply_record(self.record, "i-1")

    @property
    def cold(self) -> bool:
        return self.warmup.is_cold(self.record)

    def fail(self, *, refused: bool = True) -> None:
        self.warmup.record_failed(self.record, refused=refused)

    def fall_silent(self, *, for_s: float = 1.5) -> None:
        self.warmup.record_silent(self.record, since=self.now - for_s)

    def go_on(self, *, sent_s_ago: float = 20.0) -> None:
        self.warmup.record_went_on(self.record, sent_at=self.now - sent_s_ago)

    def succeed(self, *, sent_at: float | None = None) -> None:
        sent_at = self.now if sent_at is None else sent_at
        self.warmup.record_answered(self.record, sent_at=sent_at)


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> Setup:
    return Setup(monkeypatch)


def test_a_replica_without_failures_is_warm_however_old_the_rows_are(setup: Setup) -> None:
    setup.rows_age_s = 60.0
    assert not setup.cold
    setup.succeed()
    assert not setup.cold
    assert setup.reported == []


def test_a_replica_is_cold_for_as_long_as_its_row_said_when_it_was_read(setup: Setup) -> None:
    setup.read(cold_s=3.0, sequence=1)
    assert setup.cold
    setup.now += 2.0
    setup.read(cold_s=3.0, sequence=1, leaving=True)
    assert setup.cold, "the cold time is unchanged and runs since it was first read"
    setup.now += 1.0
    assert not setup.cold


def test_a_later_row_replaces_an_earlier_one(setup: Setup) -> None:
    setup.read(cold_s=3.0, sequence=1)
    setup.read(cold_s=0.0, sequence=2)
    assert not setup.cold
    setup.read(cold_s=5.0, sequence=3)
    assert setup.cold
    assert setup.warmup.cold_count == 1


def test_a_replica_whose_row_was_not_applied_is_as_cold_as_its_record_says(setup: Setup) -> None:
    other = msgspec.structs.replace(RECORD, instance="i-2", cold_s=1.0)
    assert setup.warmup.is_cold(other)


def test_a_service_without_slow_start_is_never_cold(setup: Setup) -> None:
    setup.read(service="plain", cold_s=3.0)
    setup.fail()
    assert not setup.cold
    assert setup.reported == []


def test_a_failed_replica_is_suspected_until_rows_reflect_the_time_of_its_answer(
    setup: Setup,
) -> None:
    setup.fail(refused=False)
    setup.now += 5.0
    assert setup.cold, "it may come back at any moment"
    setup.succeed()
    setup.now += ROW_DELAY_S
    setup.rows_age_s = 0.5
    assert setup.cold, "the rows are older than that"
    setup.rows_age_s = 0.0
    assert not setup.cold
    assert setup.reported == [], "the failure may be that of this box's link"


def test_a_silent_replica_that_goes_on_has_not_restarted(setup: Setup) -> None:
    """Else all replicas of a service that were paused at once take few requests after it."""
    setup.fall_silent()
    assert setup.cold, "it may have restarted"
    setup.now += 0.1
    setup.fall_silent()
    setup.go_on()
    assert not setup.cold
    setup.go_on()
    assert not setup.cold
    assert setup.reported == []


def test_a_silent_replica_is_cold_until_it_goes_on_or_rows_show_that_it_is_warm(
    setup: Setup,
) -> None:
    setup.fall_silent()
    setup.now += 5.0
    assert setup.cold
    setup.succeed()
    assert setup.cold, "the answer may be that of another process"
    setup.now += ROW_DELAY_S
    assert not setup.cold


def test_an_exchange_refutes_no_restart_before_it_began(setup: Setup) -> None:
    """The replica of the other exchange is gone, without a sign on its connection."""
    setup.fall_silent(for_s=3.0)
    setup.fall_silent(for_s=1.5)
    setup.go_on(sent_s_ago=2.0)
    assert setup.cold
    setup.go_on(sent_s_ago=3.5)
    assert not setup.cold


@pytest.mark.parametrize("refused", [True, False])
@pytest.mark.parametrize("silent_first", [True, False])
def test_an_exchange_that_goes_on_refutes_no_failure(
    setup: Setup, refused: bool, silent_first: bool
) -> None:
    if silent_first:
        setup.fall_silent()
    setup.fail(refused=refused)
    setup.now += 0.1
    setup.fall_silent()
    setup.go_on()
    assert setup.cold
    setup.succeed()
    setup.fall_silent()
    setup.go_on()
    assert setup.cold, "the rows do not show yet whether it is warm"


def test_a_failure_that_rows_have_refuted_does_not_count_with_a_later_silence(
    setup: Setup,
) -> None:
    setup.fail(refused=False)
    setup.succeed()
    setup.now += ROW_DELAY_S
    assert not setup.cold
    setup.fall_silent()
    assert setup.cold
    setup.go_on()
    assert not setup.cold


def test_an_exchange_that_goes_on_leaves_the_cold_time_of_the_row(setup: Setup) -> None:
    setup.fall_silent()
    setup.read(cold_s=3.0, sequence=1)
    setup.go_on()
    assert setup.cold


def test_an_answer_to_a_request_sent_before_the_failure_is_ignored(setup: Setup) -> None:
    sent_at = setup.now
    setup.now += 0.5
    setup.fail()
    setup.now += 0.1
    setup.succeed(sent_at=sent_at)
    setup.now += ROW_DELAY_S
    assert setup.cold


def test_a_row_that_reports_a_cold_start_counts_after_the_suspicion_has_ended(setup: Setup) -> None:
    setup.fail()
    setup.succeed()
    setup.now += 2.0
    setup.read(cold_s=6.0, sequence=1)
    setup.now += 4.0
    assert setup.cold


def test_a_suspicion_expires_once_the_replica_has_answered(setup: Setup) -> None:
    setup.rows_age_s = 1000.0
    setup.fail()
    setup.now += 100.0
    assert setup.cold, "it may still be down"
    setup.succeed()
    setup.now += LASTS_S
    assert setup.cold
    setup.now += 0.6
    assert not setup.cold


def test_the_suspicion_after_an_evacuation_expires(setup: Setup) -> None:
    setup.rows_age_s = 1000.0
    setup.ended_at = setup.now
    setup.now += LASTS_S
    assert setup.cold
    setup.now += 0.6
    assert not setup.cold


def test_replicas_of_an_evacuated_zone_are_suspected_until_newer_rows_are_read(
    setup: Setup,
) -> None:
    setup.ended_at = setup.now
    assert setup.cold
    setup.now += ROW_DELAY_S
    setup.rows_age_s = 0.1
    assert setup.cold
    setup.rows_age_s = 0.0
    assert not setup.cold


def test_a_refused_connection_and_the_next_answer_are_reported(setup: Setup) -> None:
    setup.fail()
    assert setup.warmup.suspected("zone-1") == ("i-1",)
    assert setup.warmup.suspected("zone-2") == ()
    setup.succeed()
    setup.succeed()
    assert setup.reported == [("i-1", False), ("i-1", True)]
    setup.now += ROW_DELAY_S
    assert setup.warmup.suspected("zone-1") == ()


def test_a_placer_suspects_a_replica_that_another_box_reports_as_failed(setup: Setup) -> None:
    setup.warmup.apply_observation("i-1", answered=False)
    assert setup.cold
    assert setup.warmup.suspected("zone-1") == ("i-1",)
    setup.warmup.apply_observation("i-1", answered=True)
    setup.now += ROW_DELAY_S
    assert not setup.cold
    assert setup.reported == []


def test_a_replica_suspected_by_the_placer_is_cold_until_the_report_ends_or_expires(
    setup: Setup,
) -> None:
    setup.warmup.apply_suspected("zone-1", ("i-1",))
    assert setup.cold
    setup.now += 0.2
    setup.succeed()
    assert setup.reported == [("i-1", True)]
    setup.warmup.apply_suspected("zone-1", ())
    assert not setup.cold
    setup.warmup.apply_suspected("zone-1", ("i-1",))
    setup.now += 2.0
    assert not setup.cold


def test_a_removed_replica_is_dropped(setup: Setup) -> None:
    setup.fail()
    setup.warmup.apply_record(None, "i-1")
    assert setup.warmup.suspected("zone-1") == ()
    assert setup.warmup.cold_count == 0
