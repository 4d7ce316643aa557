"""What counts against a replica that was silent, and what remains once it is heard again."""

from __future__ import annotations

import random

import pytest

from springrock.forwarding import directory as directory_module
from springrock.forwarding import health as health_module
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.health import Health
from tests.factories import make_routing_state

STREAMS = 8
STALL_S = 1.5


class Clock:
    """The clock of the health of replicas, advanced by hand."""

    def __init__(self) -> None:
        self.now = 1000.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(health_module, "monotonic", lambda: clock.now)
    monkeypatch.setattr(directory_module, "monotonic", lambda: clock.now)
    return clock


def fall_silent(health: Health, clock: Clock) -> None:
    """Let all streams at a replica count as stalled at once."""
    clock.now += STALL_S
    for _ in range(STREAMS):
        health.record_silence(for_s=STALL_S)


def make_replica(name: str, *, running: int) -> Replica:
    record = ReplicaRecord(
        instance=name, service="s", address="127.0.0.1:1", zone="zone-1", running_limit=8
    )
    replica = Replica(record)
    replica.running = running
    return replica


def test_a_silent_replica_rests_once_however_many_streams_it_keeps_waiting(clock: Clock) -> None:
    health = Health()
    health.record_heard()
    fall_silent(health, clock)
    assert health.resting
    first_rest_s = health.rest_left_s
    clock.now += first_rest_s
    assert not health.resting, "a request must show whether it still is silent"
    health.record_silence(for_s=STALL_S)
    assert health.rest_left_s == pytest.approx(2 * first_rest_s)


def test_a_replica_is_as_sound_as_before_once_it_is_heard_again(clock: Clock) -> None:
    health = Health()
    health.record_failure()
    before = health.failure_rate
    for _ in range(3):
        fall_silent(health, clock)
        rest_s = health.rest_left_s
        assert health.failure_rate > before
        health.record_heard()
        assert not health.resting
        assert health.failure_rate == before
        clock.now += 5.0
        fall_silent(health, clock)
        assert health.rest_left_s == pytest.approx(rest_s), "the rest periods begin anew"
        health.record_heard()


def test_hearing_a_replica_does_not_end_the_rest_after_failures(clock: Clock) -> None:
    health = Health()
    fall_silent(health, clock)
    health.record_failure()
    health.record_failure()
    rate = 1 - 0.85**2
    health.record_heard()
    assert health.resting
    assert health.failure_rate == pytest.approx(rate)
    unreachable = Health()
    fall_silent(unreachable, clock)
    unreachable.record_unreachable()
    unreachable.record_heard()
    assert unreachable.resting


def test_a_replica_that_leaves_some_requests_hanging_while_it_answers_others_fails(
    clock: Clock,
) -> None:
    health = Health()
    for _ in range(2):
        clock.now += STALL_S
        health.record_heard()
        health.record_silence(for_s=STALL_S)
    health.record_heard()
    assert health.resting
    assert health.failure_rate == pytest.approx(1 - 0.85**2)


def test_an_answer_shortly_before_a_silence_does_not_make_it_a_failure(clock: Clock) -> None:
    """A stream whose last event came earlier than those of others stalls earlier, too."""
    health = Health()
    clock.now += 0.4
    health.record_heard()
    clock.now += STALL_S - 0.4
    health.record_silence(for_s=STALL_S)
    health.record_heard()
    assert health.failure_rate == 0.0


def test_a_replica_that_hangs_for_good_is_tried_ever_less(clock: Clock) -> None:
    health = Health()
    fall_silent(health, clock)
    tries = 0
    until = clock.now + 30.0
    while clock.now < until:
        clock.now += max(0.1, health.rest_left_s)
        health.record_silence(for_s=STALL_S)
        tries += 1
    assert tries <= 12
    assert health.failure_rate > 0.8


@pytest.mark.parametrize("heard", [True, False])
def test_callers_get_a_replica_that_was_paused_soon_after_it_runs_again(
    clock: Clock, heard: bool
) -> None:
    """Else the others carry its share, for half a minute after a pause of two seconds.

    The replica may not be heard: its streams went on elsewhere, so that nobody waits for it.
    """
    balancer = Balancer(routing_state=make_routing_state, rng=random.Random(1))
    paused, other = make_replica("paused", running=0), make_replica("other", running=4)
    for _ in range(3):
        fall_silent(paused.health, clock)
        assert balancer.choose([paused, other]) is other
        clock.now += 0.2
        if heard:
            paused.health.record_heard()
        began_at = clock.now
        while balancer.choose([paused, other]) is not paused:
            clock.now += 0.1
        assert clock.now - began_at <= (0.0 if heard else 5.0)
        paused.health.record_heard()
        clock.now += 10.0
