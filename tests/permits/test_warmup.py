"""Who is not known to be warm is cold, and nobody else."""

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


class Knowing:
    """What a box knows whose clock, rows and evacuations are set by hand."""

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

    def succeed(self, *, sent_at: float | None = None) -> None:
        sent_at = self.now if sent_at is None else sent_at
        self.warmup.record_answered(self.record, sent_at=sent_at)


@pytest.fixture
def knowing(monkeypatch: pytest.MonkeyPatch) -> Knowing:
    return Knowing(monkeypatch)


def test_a_steady_replica_is_warm_however_old_the_rows_are(knowing: Knowing) -> None:
    knowing.rows_age_s = 60.0
    assert not knowing.cold
    knowing.succeed()
    assert not knowing.cold
    assert knowing.reported == []


def test_a_replica_is_cold_for_as_long_as_its_row_said_when_it_was_read(knowing: Knowing) -> None:
    knowing.read(cold_s=3.0, sequence=1)
    assert knowing.cold
    knowing.now += 2.0
    knowing.read(cold_s=3.0, sequence=1, leaving=True)
    assert knowing.cold, "the same word, told again"
    knowing.now += 1.0
    assert not knowing.cold


def test_a_later_row_counts(knowing: Knowing) -> None:
    knowing.read(cold_s=3.0, sequence=1)
    knowing.read(cold_s=0.0, sequence=2)
    assert not knowing.cold
    knowing.read(cold_s=5.0, sequence=3)
    assert knowing.cold
    assert knowing.warmup.cold_count == 1


def test_a_replica_that_was_never_read_is_what_its_record_says(knowing: Knowing) -> None:
    other = msgspec.structs.replace(RECORD, instance="i-2", cold_s=1.0)
    assert knowing.warmup.is_cold(other)


def test_a_service_without_slow_start_is_never_cold(knowing: Knowing) -> None:
    knowing.read(service="plain", cold_s=3.0)
    knowing.fail()
    assert not knowing.cold
    assert knowing.reported == []


def test_a_failed_replica_is_in_doubt_until_rows_tell_of_the_time_after_it_answered(
    knowing: Knowing,
) -> None:
    knowing.fail(refused=False)
    knowing.now += 5.0
    assert knowing.cold, "it may come back any moment"
    knowing.succeed()
    knowing.now += ROW_DELAY_S
    knowing.rows_age_s = 0.5
    assert knowing.cold, "rows are not known as of then"
    knowing.rows_age_s = 0.0
    assert not knowing.cold
    assert knowing.reported == [], "it may be the trouble of this box's link"


def test_an_answer_to_what_was_sent_before_the_failure_says_nothing(knowing: Knowing) -> None:
    sent_at = knowing.now
    knowing.now += 0.5
    knowing.fail()
    knowing.now += 0.1
    knowing.succeed(sent_at=sent_at)
    knowing.now += ROW_DELAY_S
    assert knowing.cold


def test_a_row_that_tells_of_a_return_is_believed_though_doubt_has_ended(knowing: Knowing) -> None:
    knowing.fail()
    knowing.succeed()
    knowing.now += 2.0
    knowing.read(cold_s=6.0, sequence=1)
    knowing.now += 4.0
    assert knowing.cold


def test_time_alone_ends_a_doubt_once_the_replica_has_answered(knowing: Knowing) -> None:
    knowing.rows_age_s = 1000.0
    knowing.fail()
    knowing.now += 100.0
    assert knowing.cold, "it may be down yet"
    knowing.succeed()
    knowing.now += LASTS_S
    assert knowing.cold
    knowing.now += 0.6
    assert not knowing.cold


def test_time_alone_ends_the_doubt_after_an_evacuation(knowing: Knowing) -> None:
    knowing.rows_age_s = 1000.0
    knowing.ended_at = knowing.now
    knowing.now += LASTS_S
    assert knowing.cold
    knowing.now += 0.6
    assert not knowing.cold


def test_an_evacuated_zone_that_is_taken_back_is_in_doubt_until_its_rows_are_known(
    knowing: Knowing,
) -> None:
    knowing.ended_at = knowing.now
    assert knowing.cold
    knowing.now += ROW_DELAY_S
    knowing.rows_age_s = 0.1
    assert knowing.cold
    knowing.rows_age_s = 0.0
    assert not knowing.cold


def test_a_refused_connection_is_told_and_so_is_the_answer_after_it(knowing: Knowing) -> None:
    knowing.fail()
    assert knowing.warmup.suspected("zone-1") == ("i-1",)
    assert knowing.warmup.suspected("zone-2") == ()
    knowing.succeed()
    knowing.succeed()
    assert knowing.reported == [("i-1", False), ("i-1", True)]
    knowing.now += ROW_DELAY_S
    assert knowing.warmup.suspected("zone-1") == ()


def test_a_placer_learns_of_another_box_s_failure_and_tells_all(knowing: Knowing) -> None:
    knowing.warmup.apply_observation("i-1", answered=False)
    assert knowing.cold
    assert knowing.warmup.suspected("zone-1") == ("i-1",)
    knowing.warmup.apply_observation("i-1", answered=True)
    knowing.now += ROW_DELAY_S
    assert not knowing.cold
    assert knowing.reported == []


def test_what_the_placer_doubts_is_cold_until_it_tells_otherwise_or_falls_silent(
    knowing: Knowing,
) -> None:
    knowing.warmup.apply_suspected("zone-1", ("i-1",))
    assert knowing.cold
    knowing.now += 0.2
    knowing.succeed()
    assert knowing.reported == [("i-1", True)]
    knowing.warmup.apply_suspected("zone-1", ())
    assert not knowing.cold
    knowing.warmup.apply_suspected("zone-1", ("i-1",))
    knowing.now += 2.0
    assert not knowing.cold


def test_a_replica_that_is_gone_is_forgotten(knowing: Knowing) -> None:
    knowing.fail()
    knowing.warmup.apply_record(None, "i-1")
    assert knowing.warmup.suspected("zone-1") == ()
    assert knowing.warmup.cold_count == 0
