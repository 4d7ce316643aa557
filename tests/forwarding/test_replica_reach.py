"""Whether a box is cut off from all replicas, from what requests and probes see."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springrock.forwarding import replica_reach as reach_module
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.reach_probe import ReachProbe
from springrock.forwarding.replica_reach import ReplicaReach
from springrock.log import Log
from tests.factories import make_reach

REPLICAS = 6


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 100.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(reach_module, "monotonic", lambda: clock.now)
    yield clock


def probe_with(reach: ReplicaReach, reached: set[str]) -> list[str]:
    """Probe a directory of replicas of which some are reached; return the probed addresses."""
    directory = Directory(Log("test", "box-1"))
    probed: list[str] = []
    for number in range(REPLICAS):
        directory.update(
            ReplicaRecord(
                instance=f"i-{number}", service="s", address=f"host:{number}", zone="zone-1"
            )
        )

    def _connect(address: str) -> bool:
        probed.append(address)
        return address in reached

    ReachProbe(reach, directory, connect=_connect).probe()
    return probed


def test_a_box_is_cut_off_if_no_probed_replica_accepts_a_connection() -> None:
    reach = make_reach()
    assert len(probe_with(reach, reached=set())) == 4
    assert reach.cut_off
    assert reach.needs_probe


def test_one_failed_replica_does_not_cut_a_box_off() -> None:
    for number in range(REPLICAS):
        reach = make_reach()
        probe_with(reach, reached={f"host:{other}" for other in range(REPLICAS) if other != number})
        assert not reach.cut_off


def test_whatever_is_heard_of_a_replica_ends_the_cut() -> None:
    reach = make_reach()
    probe_with(reach, reached=set())
    reach.record_heard()
    assert not reach.cut_off
    assert not reach.needs_probe


def test_an_engine_that_answers_its_placer_does_not_end_the_cut() -> None:
    reach = make_reach()
    probe_with(reach, reached=set())
    reach.record_control_call(True)
    assert reach.cut_off
    assert reach.needs_probe


def test_an_engine_that_does_not_answer_its_placer_is_a_reason_to_probe() -> None:
    reach = make_reach()
    reach.record_control_call(True)
    assert not reach.needs_probe
    reach.record_control_call(False)
    assert reach.needs_probe


def test_replicas_are_probed_only_with_a_reason(clock: Clock) -> None:
    reach = make_reach()
    clock.now += 60.0
    assert not reach.needs_probe, "nothing waits"
    reach.begin_wait()
    clock.now += 0.9
    assert not reach.needs_probe
    reach.record_heard()
    clock.now += 0.9
    assert not reach.needs_probe, "a replica was heard meanwhile"
    clock.now += 0.2
    assert reach.needs_probe
    reach.end_wait()
    assert not reach.needs_probe
    reach.record_unreachable()
    assert reach.needs_probe
