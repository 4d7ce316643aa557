"""Whether a box is cut off from all replicas, from what requests and probes see."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springrock.forwarding import replica_reach as reach_module
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.reach_probe import ReachProbe
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


def probe_with(reach: BoxReach, reached: set[str]) -> list[str]:
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

    ReachProbe(reach, directory, connect=_connect).probe("s")
    return probed


def test_a_box_is_cut_off_if_no_probed_replica_accepts_a_connection() -> None:
    reach = make_reach("s")
    assert len(probe_with(reach, reached=set())) == 4
    assert reach.cut_off
    assert reach.services_to_probe()


def test_one_failed_replica_does_not_cut_a_box_off() -> None:
    for number in range(REPLICAS):
        reach = make_reach("s")
        probe_with(reach, reached={f"host:{other}" for other in range(REPLICAS) if other != number})
        assert not reach.cut_off


def test_whatever_is_heard_of_a_replica_ends_the_cut() -> None:
    reach = make_reach("s")
    probe_with(reach, reached=set())
    reach.of("s").record_heard()
    assert not reach.cut_off
    assert not reach.services_to_probe()


def test_an_engine_that_answers_its_placer_does_not_end_the_cut() -> None:
    reach = make_reach("s")
    probe_with(reach, reached=set())
    reach.record_control_call(True)
    assert reach.cut_off
    assert reach.services_to_probe()


def test_an_engine_that_does_not_answer_its_placer_is_a_reason_to_probe() -> None:
    reach = make_reach("s")
    reach.record_control_call(True)
    assert not reach.services_to_probe()
    reach.record_control_call(False)
    assert reach.services_to_probe()


def test_replicas_are_probed_only_with_a_reason(clock: Clock) -> None:
    reach = make_reach("s")
    clock.now += 60.0
    assert not reach.services_to_probe(), "nothing waits"
    reach.of("s").begin_wait()
    clock.now += 0.9
    assert not reach.services_to_probe()
    reach.of("s").record_heard()
    clock.now += 0.9
    assert not reach.services_to_probe(), "a replica was heard meanwhile"
    clock.now += 0.2
    assert reach.services_to_probe()
    reach.of("s").end_wait()
    assert not reach.services_to_probe()
    reach.of("s").record_unreachable()
    assert reach.services_to_probe()


def test_a_box_cut_off_from_one_service_still_reaches_the_others() -> None:
    reach = make_reach("s", "other")
    probe_with(reach, reached=set())
    assert reach.of("s").cut_off
    assert not reach.of("other").cut_off
    assert not reach.cut_off
    assert reach.services_to_probe() == ["s", "other"], "the others may be cut off as well"
    reach.of("other").record_probes(reached=4, probed=4)
    assert reach.services_to_probe() == ["s"]
    assert reach.of("s").cut_off, "another service was heard"


def test_a_box_cut_off_from_all_services_is_told_so_once() -> None:
    told: list[bool] = []
    reach = BoxReach(
        lambda: ("s", "other"),
        Log("reach", "box-1"),
        on_change=lambda: told.append(reach.cut_off),
    )
    for service in ("s", "other"):
        reach.of(service).record_probes(reached=0, probed=4)
    assert told == [True]
    reach.of("other").record_heard()
    assert told == [True, False]


def test_a_service_without_replicas_is_not_one_that_a_box_is_cut_off_from() -> None:
    services = {"s"}
    reach = BoxReach(lambda: services, Log("reach", "box-1"))
    reach.of("s").record_probes(reached=0, probed=4)
    services.clear()
    assert reach.services_to_probe() == []
    assert not reach.of("s").cut_off
    assert not reach.cut_off


def test_a_box_that_reaches_few_replicas_is_cut_off_until_it_reaches_half_of_them() -> None:
    reach = make_reach("s")
    reach.of("s").record_heard("i-0")
    assert len(probe_with(reach, reached={"host:0"})) == REPLICAS
    assert reach.of("s").cut_off
    reach.of("s").record_heard("i-0")
    assert reach.of("s").cut_off, "the others are still out of reach"
    probe_with(reach, reached=set())
    reach.of("s").record_heard("i-0")
    assert reach.of("s").cut_off
    probe_with(reach, reached={f"host:{number}" for number in range(REPLICAS)})
    assert not reach.of("s").cut_off
    assert reach.services_to_probe() == []


def test_the_replica_that_was_heard_last_is_among_those_that_are_probed() -> None:
    for number in range(REPLICAS):
        reach = make_reach("s")
        reach.of("s").record_heard(f"i-{number}")
        probed = probe_with(reach, reached=set())
        assert len(probed) == 4
        assert f"host:{number}" in probed


def test_what_one_replica_sends_does_not_put_off_the_probes_of_the_others() -> None:
    reach = make_reach("s")
    reach.of("s").record_unreachable()
    reach.of("s").record_heard("i-0")
    assert reach.services_to_probe() == ["s"]
    probe_with(reach, reached={"host:0"})
    assert reach.of("s").cut_off


def test_a_silent_replica_is_probed_although_others_are_heard(clock: Clock) -> None:
    reach = make_reach("s")
    reach.of("s").begin_wait("i-1")
    clock.now += 0.9
    reach.of("s").record_heard("i-0")
    clock.now += 0.2
    assert reach.services_to_probe() == ["s"]
    assert probe_with(reach, reached={"host:1"}) == ["host:1"], "it accepts a connection"
    assert not reach.of("s").cut_off
    assert reach.services_to_probe() == []
    clock.now += 1.1
    probe_with(reach, reached={"host:0"})
    assert reach.of("s").cut_off


def test_a_box_that_reaches_half_of_the_replicas_is_not_cut_off() -> None:
    for _ in range(20):
        reach = make_reach("s")
        reach.of("s").record_heard("i-0")
        probe_with(reach, reached={"host:0", "host:1", "host:2"})
        assert not reach.of("s").cut_off


def test_a_box_cut_off_from_all_engines_counts_as_cut_off() -> None:
    reach = BoxReach(
        lambda: ("s", "engines", "other_engines"),
        Log("reach", "box-1"),
        engine_services=lambda: ("engines", "other_engines"),
    )
    reach.of("engines").record_probes(reached=0, probed=4)
    assert not reach.cut_off
    reach.of("other_engines").record_probes(reached=0, probed=4)
    assert reach.cut_off
    assert not reach.of("s").cut_off
    reach.of("engines").record_heard()
    assert not reach.cut_off
