"""Which boxes get changes of engines' adapters, and when."""

from __future__ import annotations

import pytest

from springrock.forwarding.directory import HeldAdapter
from springrock.placement import residents_publisher as residents_publisher_module
from springrock.placement.messages import EngineHolds, Message, Residents
from springrock.placement.residents_publisher import ResidentsPublisher, is_far
from springrock.topology import Topology


class Clock:
    """A clock that tests advance."""

    now = 1000.0


class Links:
    """Records the messages to the own region (`False`) and to other regions (`True`)."""

    def __init__(self) -> None:
        self.sent: dict[bool, list[Message]] = {False: [], True: []}

    def send_to_zones(self, message: Message, *, far: bool) -> None:
        self.sent[far].append(message)


def holds(instance: str, *adapters: str) -> EngineHolds:
    return EngineHolds(instance, [HeldAdapter("m", name, 1) for name in adapters])


def test_boxes_of_another_region_get_the_latest_of_each_engine_every_two_seconds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    monkeypatch.setattr(residents_publisher_module, "monotonic", lambda: clock.now)
    links = Links()
    publisher = ResidentsPublisher(links)
    changes = [
        Residents([holds("i-1", "a"), holds("i-2", "b")]),
        Residents([holds("i-1", "a", "c")]),
        None,
    ]
    for changed in changes:
        clock.now += 0.5
        publisher.notify(changed)
    assert links.sent[False] == changes[:2]
    assert links.sent[True] == []
    clock.now += 0.5
    publisher.notify(None)
    assert links.sent[True] == [Residents([holds("i-1", "a", "c"), holds("i-2", "b")])]
    clock.now += 9.0
    publisher.notify(None)
    assert len(links.sent[True]) == 1, "nothing is new"
    publisher.notify(changes[1])
    assert links.sent[True][1:] == [changes[1]]


@pytest.mark.parametrize(
    ("home_zone", "far"), [("a-1", False), ("a-2", False), ("b-1", True), ("", False)]
)
def test_a_box_is_far_from_a_zone_of_another_region(home_zone: str, far: bool) -> None:
    regions = {"a-1": "a", "a-2": "a", "b-1": "b"}
    topology = Topology(home="b-1", zones=tuple(regions), regions=regions)
    assert is_far(topology, "a-1", home_zone) is far
