"""The report on why adapters were loaded from the weight store, as read from the placers' logs."""

from __future__ import annotations

import json
from typing import Any

from bench.loads import Cause, loads_in
from springrock.placement.residency import MAX_CACHED_ADAPTERS

ZONES = {"i-1": "zone-1", "i-2": "zone-1", "i-3": "zone-2"}


class PlacerLog:
    """Writes log lines of placers, one second apart."""

    def __init__(self) -> None:
        self.lines = ["not JSON {", "placer: Loaded an adapter. {broken"]

    def add_line(self, text: str, **fields: Any) -> None:
        line = {"text": f"placer: {text}", "timestamp": float(len(self.lines)), **fields}
        self.lines.append(f"  1.0 box-1 {json.dumps(line)}")

    def load(
        self, adapter: str, instance: str, *, is_copy: bool = False, cold: bool = True
    ) -> None:
        place = {"adapter": adapter, "instance": instance}
        self.add_line("Assigned an adapter.", zone=ZONES[instance], is_copy=is_copy, **place)
        self.add_line("Loaded an adapter.", cold=cold, **place)

    def unload(self, adapter: str, instance: str, *, answer: str = "done") -> None:
        self.add_line("Ordered: unload.", adapter=adapter, instance=instance, answer=answer)

    def causes(self) -> list[Cause]:
        return [load.cause for load in loads_in(self.lines)]


def test_a_first_load_and_a_copy_are_distinguished() -> None:
    log = PlacerLog()
    log.load("a", "i-1")
    log.load("a", "i-2", is_copy=True)
    assert log.causes() == [Cause.FIRST, Cause.COPY]


def test_a_load_of_an_adapter_loaded_elsewhere_is_classified_by_zone() -> None:
    log = PlacerLog()
    log.load("a", "i-1")
    log.load("a", "i-2")
    log.load("b", "i-1")
    log.load("b", "i-3")
    assert log.causes()[1::2] == [Cause.LOADED_IN_ZONE, Cause.LOADED_ELSEWHERE]


def test_an_unloaded_adapter_stays_cached_for_a_number_of_loads() -> None:
    log = PlacerLog()
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
    assert causes[1:3] == [Cause.CACHED_ELSEWHERE, Cause.CACHED_IN_ZONE]
    assert causes[-1] is Cause.NOT_CACHED


def test_a_load_from_the_cache_is_not_counted() -> None:
    log = PlacerLog()
    log.load("a", "i-1")
    log.unload("a", "i-1")
    log.load("a", "i-1", cold=False)
    assert log.causes() == [Cause.FIRST]
