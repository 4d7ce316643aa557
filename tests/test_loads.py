"""Why adapters were brought from the weight store, as the placers' lines tell."""

from __future__ import annotations

import json
from typing import Any

from bench.loads import Cause, loads_in
from springrock.placement.residency import MAX_CACHED_ADAPTERS

ZONES = {"i-1": "zone-1", "i-2": "zone-1", "i-3": "zone-2"}


class Log:
    """The placers' lines, a second apart."""

    def __init__(self) -> None:
        self.lines = ["not JSON {", "placer: Loaded an adapter. {broken"]

    def say(self, text: str, **fields: Any) -> None:
        said = {"text": f"placer: {text}", "timestamp": float(len(self.lines)), **fields}
        self.lines.append(f"  1.0 box-1 {json.dumps(said)}")

    def load(
        self, adapter: str, instance: str, *, is_copy: bool = False, cold: bool = True
    ) -> None:
        where = {"adapter": adapter, "instance": instance}
        self.say("Assigned an adapter.", zone=ZONES[instance], is_copy=is_copy, **where)
        self.say("Loaded an adapter.", cold=cold, **where)

    def unload(self, adapter: str, instance: str, *, answer: str = "done") -> None:
        self.say("Ordered: unload.", adapter=adapter, instance=instance, answer=answer)

    def causes(self) -> list[Cause]:
        return [load.cause for load in loads_in(self.lines)]


def test_a_first_load_and_a_copy_are_told_apart() -> None:
    log = Log()
    log.load("a", "i-1")
    log.load("a", "i-2", is_copy=True)
    assert log.causes() == [Cause.FIRST, Cause.COPY]


def test_a_load_of_what_stands_elsewhere_is_told_with_its_zone() -> None:
    log = Log()
    log.load("a", "i-1")
    log.load("a", "i-2")
    log.load("b", "i-1")
    log.load("b", "i-3")
    assert log.causes()[1::2] == [Cause.STANDS_IN_ZONE, Cause.STANDS_ELSEWHERE]


def test_what_gave_up_its_place_is_at_hand_for_some_arrivals() -> None:
    log = Log()
    log.load("a", "i-1")
    log.unload("a", "i-1", answer="conflict")
    log.unload("a", "i-1")
    log.load("a", "i-3")
    log.unload("a", "i-3")
    log.load("a", "i-2")
    log.unload("a", "i-2")
    for engine in ("i-1", "i-2", "i-3"):
        for number in range(MAX_CACHED_ADAPTERS + 1):
            log.load(f"{engine}-{number}", engine)
    log.load("a", "i-1")
    causes = log.causes()
    assert causes[1:3] == [Cause.AT_HAND_ELSEWHERE, Cause.AT_HAND_IN_ZONE]
    assert causes[-1] is Cause.GONE


def test_a_load_of_weights_at_hand_is_none_of_the_store() -> None:
    log = Log()
    log.load("a", "i-1")
    log.unload("a", "i-1")
    log.load("a", "i-1", cold=False)
    assert log.causes() == [Cause.FIRST]
