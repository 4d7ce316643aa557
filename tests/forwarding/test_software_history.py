"""The software versions that a box vouches for."""

from __future__ import annotations

import pytest

from springrock.forwarding import software_history
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.software_history import STREAM_LIFE_S, SoftwareHistory


class World:
    """A history whose clock and age of rows are set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        self.age_s = 0.0
        monkeypatch.setattr(software_history, "monotonic", lambda: self.now)
        self.history = SoftwareHistory(age_s=lambda: self.age_s)
        self.history.update()

    def add(self, instance: str, software: str, service: str = "s") -> None:
        record = ReplicaRecord(
            instance=instance, service=service, address="h:1", zone="z", software=software
        )
        self.history.apply_record(record, instance)

    def remove(self, instance: str) -> None:
        self.history.apply_record(None, instance)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.history.update()


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> World:
    return World(monkeypatch)


def test_nothing_is_certain_before_the_life_of_a_stream_has_passed(world: World) -> None:
    world.add("i-1", "v1")
    world.wait(STREAM_LIFE_S - 1)
    assert world.history.only_version("s") is None
    world.wait(1)
    assert world.history.only_version("s") == "v1"


def test_a_version_that_is_gone_counts_for_the_life_of_a_stream(world: World) -> None:
    world.add("i-1", "v1")
    world.add("i-2", "v2")
    world.add("i-3", "v3", service="other")
    world.wait(STREAM_LIFE_S)
    world.remove("i-1")
    world.wait(STREAM_LIFE_S - 1)
    assert world.history.only_version("s") is None
    world.wait(1)
    assert world.history.only_version("s") == "v2"


def test_a_version_that_changes_under_one_incarnation_counts_before_and_after(world: World) -> None:
    world.add("i-1", "v1")
    world.wait(STREAM_LIFE_S)
    world.add("i-1", "v2")
    assert world.history.versions("s") == {"v1", "v2"}
    world.wait(STREAM_LIFE_S)
    assert world.history.only_version("s") == "v2"


def test_a_break_of_the_readings_starts_the_life_of_a_stream_anew(world: World) -> None:
    world.add("i-1", "v1")
    world.wait(STREAM_LIFE_S)
    world.age_s = 4.0
    assert world.history.only_version("s") is None
    world.age_s = 0.0
    world.wait(STREAM_LIFE_S - 1)
    assert world.history.only_version("s") is None
    world.wait(1.0)
    assert world.history.only_version("s") is None, "the life begins when the break is over"
    world.wait(STREAM_LIFE_S)
    assert world.history.only_version("s") == "v1"


def test_replicas_without_a_version_have_one_in_common(world: World) -> None:
    world.add("i-1", "")
    world.wait(STREAM_LIFE_S)
    assert world.history.only_version("s") == ""


def test_at_the_first_start_of_a_deployment_nothing_can_have_served_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now, age_s = 1000.0, 0.0
    monkeypatch.setattr(software_history, "monotonic", lambda: now)
    history = SoftwareHistory(age_s=lambda: age_s, first_start=True)
    record = ReplicaRecord(instance="i", service="s", address="h:1", zone="z", software="v1")
    history.apply_record(record, "i")
    assert history.only_version("s") == "v1"
    age_s = 4.0
    history.update()
    age_s = 0.0
    history.update()
    assert history.only_version("s") is None, "a break counts as in any deployment"
