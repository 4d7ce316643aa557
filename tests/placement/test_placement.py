"""Which zone a request waits at, when placers fall silent or engines are crowded."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from springrock.forwarding.adapters import WaitTerms
from springrock.forwarding.configuration import BaseModel, Configuration, Engine, Service
from springrock.forwarding.directory import Directory, HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement import placement as placement_module
from springrock.placement.errors import PlacerSilent
from springrock.placement.placement import Placement
from springrock.placement.residency import Versions
from springrock.placement.zone import PlacementSettings, Surroundings
from tests.placement.test_lease import Store
from tests.placement.test_placer import SlowEngine

KEY = AdapterKey("m", "a")
TERMS = WaitTerms(worth=1.0, target_at=0.0, until=0.0, returns_within_s=0.0)
ZONES = ("zone-1", "zone-2", "zone-3")


class ScriptedZone:
    """A zone whose placer answers, is silent or cannot be reached; also its own demand book."""

    def __init__(self, name: str, settings: PlacementSettings, around: Surroundings) -> None:
        self.demand = self
        self.reachable = True
        self.silent = False
        self.room = 1
        self.boxes = 3
        self.crowded: frozenset[str] = frozenset()
        self.waits = 0
        self.hits = 0

    def start(self) -> None:
        """Nothing to start."""

    def wait_for(self, key: AdapterKey, terms: WaitTerms, *, there: Callable[[], bool]) -> None:
        self.waits += 1
        if self.silent:
            raise PlacerSilent(1.0)

    def note_hit(self, key: AdapterKey) -> None:
        self.hits += 1

    def notify(self, key: AdapterKey) -> None:
        """Nobody waits."""


class Deployment:
    """A placement among three scripted zones with one engine each."""

    def __init__(self) -> None:
        engine = Engine(
            running_limit=8, adapter_slots=2, loads_per_s=5.0, models=(BaseModel(name="m"),)
        )
        configuration = Configuration(version=1, services={"s": Service(name="s", engine=engine)})
        self.directory = Directory(Log("test", "box-1"))
        self.placement = Placement(
            PlacementSettings("box-1", "zone-1", "127.0.0.1:0", 3.0, True, 1.0, 2.0),
            store=Store(),
            configuration=lambda: configuration,
            directory=self.directory,
            versions=Versions(),
            control=SlowEngine("m"),
            log_of=lambda part: Log(part, "box-1"),
            metrics=ForwardingMetrics(),
        )
        for zone in ZONES:
            self.record(zone)
        self.placement.note_hit(KEY)

    def record(self, zone: str, *adapters: str) -> None:
        """Let the engine of a zone say what it holds."""
        held = tuple(HeldAdapter("m", adapter, 1) for adapter in adapters)
        self.directory.update(
            ReplicaRecord(
                instance=f"i-{zone}",
                service="s",
                address="127.0.0.1:1",
                zone=zone,
                models=frozenset({"m"}),
                adapters=held,
            )
        )

    @property
    def zones(self) -> dict[str, ScriptedZone]:
        return self.placement._zones  # type: ignore[return-value]

    def first_choice(self) -> str:
        """Return the zone that a hash gives the adapter."""
        return next(name for name, zone in self.zones.items() if zone.hits)

    def wait(self) -> None:
        self.placement.wait_for(KEY, TERMS, there=lambda: False)


@pytest.fixture
def deployment(monkeypatch: pytest.MonkeyPatch) -> Deployment:
    monkeypatch.setattr(placement_module, "ZonePlacement", ScriptedZone)
    return Deployment()


def test_a_request_waits_at_the_zone_that_a_hash_gives(deployment: Deployment) -> None:
    deployment.wait()
    assert [name for name, zone in deployment.zones.items() if zone.waits] == [
        deployment.first_choice()
    ]


def test_a_silent_zone_is_left_for_the_next(deployment: Deployment) -> None:
    first = deployment.first_choice()
    deployment.zones[first].silent = True
    deployment.wait()
    assert deployment.zones[first].waits == 1
    assert sum(zone.waits for zone in deployment.zones.values()) == 2


def test_each_silent_zone_is_asked_once(deployment: Deployment) -> None:
    for zone in deployment.zones.values():
        zone.silent = True
    deployment.record("zone-1", KEY.adapter)
    with pytest.raises(PlacerSilent):
        deployment.wait()
    assert [zone.waits for zone in deployment.zones.values()] == [1, 1, 1]


def test_without_a_placer_in_reach_the_request_comes_back_later(deployment: Deployment) -> None:
    for zone in deployment.zones.values():
        zone.reachable = False
    with pytest.raises(PlacerSilent):
        deployment.wait()
    assert sum(zone.waits for zone in deployment.zones.values()) == 0


def test_hits_of_what_stands_on_crowded_engines_only_go_to_another_zone(
    deployment: Deployment,
) -> None:
    first = deployment.first_choice()
    deployment.record(first, KEY.adapter)
    deployment.placement.note_hit(KEY)
    assert deployment.zones[first].hits == 2
    deployment.zones[first].crowded = frozenset({f"i-{first}"})
    deployment.placement.note_hit(KEY)
    assert deployment.zones[first].hits == 2
    assert sum(zone.hits for zone in deployment.zones.values()) == 3


def test_as_many_boxes_as_were_ever_seen_share_what_is_shared(deployment: Deployment) -> None:
    assert deployment.placement.boxes == 3
    deployment.zones["zone-2"].boxes = 7
    assert deployment.placement.boxes == 7
    deployment.zones["zone-2"].boxes = 1
    assert deployment.placement.boxes == 7
