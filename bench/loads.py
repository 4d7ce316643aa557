"""Why adapters were brought from the weight store, from the structured logs of entry boxes.

The first load of an adapter is due to whoever asks for it; each later one is told apart by where
the adapter stood, or was at hand, when it came.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import defopt

from bench.lines import said_in
from springrock.placement.residency import MAX_CACHED_ADAPTERS

_ASSIGNED = "placer: Assigned an adapter."
_CAME = "placer: Loaded an adapter."
_UNLOADED = "placer: Ordered: unload."
_TEXTS = (_ASSIGNED, _CAME, _UNLOADED)
_GIVEN_UP = ("taken", "done")


class Cause(StrEnum):
    """Why an adapter was brought."""

    FIRST = "not brought before"
    COPY = "one more copy"
    STANDS_IN_ZONE = "stands ready in the zone"
    STANDS_ELSEWHERE = "stands ready in another zone"
    AT_HAND_IN_ZONE = "at hand at an engine of the zone"
    AT_HAND_ELSEWHERE = "at hand at an engine of another zone"
    GONE = "no engine has it any more"


class Load(NamedTuple):
    """A load from the weight store.

    Attributes:
        at_s: When it was done, in the log's own time.
    """

    at_s: float
    adapter: str
    instance: str
    cause: Cause


class _Engines:
    """What the engines hold and have at hand, as far as the placers' lines tell."""

    def __init__(self) -> None:
        self._zones: dict[str, str] = {}
        self._copies: set[tuple[str, str]] = set()
        self._stands: dict[str, set[str]] = defaultdict(set)
        self._came_as: dict[str, dict[str, int]] = defaultdict(dict)
        self._arrivals = Counter[str]()

    def record_assigned(self, said: dict[str, Any]) -> None:
        """Learn what a load that is to be ordered is for."""
        name = (said["instance"], said["adapter"])
        self._zones[said["instance"]] = said["zone"]
        self._copies.discard(name)
        if said["is_copy"]:
            self._copies.add(name)

    def record_arrival(self, said: dict[str, Any]) -> None:
        """Learn that an adapter came."""
        adapter, instance = said["adapter"], said["instance"]
        self._arrivals[instance] += 1
        self._stands[adapter].add(instance)
        self._came_as[adapter][instance] = self._arrivals[instance]

    def record_unloaded(self, said: dict[str, Any]) -> None:
        """Learn that an adapter gave up its place."""
        self._stands[said["adapter"]].discard(said["instance"])

    def cause_of(self, adapter: str, instance: str) -> Cause:
        """Return why an adapter is brought to an engine."""
        if not self._came_as[adapter]:
            return Cause.FIRST
        if (instance, adapter) in self._copies:
            return Cause.COPY
        zone = self._zones.get(instance)
        existing = self._zones_of(self._stands[adapter])
        if existing:
            return Cause.STANDS_IN_ZONE if zone in existing else Cause.STANDS_ELSEWHERE
        at_hand = self._zones_of(self._reconcilers(adapter))
        if at_hand:
            return Cause.AT_HAND_IN_ZONE if zone in at_hand else Cause.AT_HAND_ELSEWHERE
        return Cause.GONE

    def _reconcilers(self, adapter: str) -> Iterator[str]:
        for instance, number in self._came_as[adapter].items():
            if self._arrivals[instance] - number < MAX_CACHED_ADAPTERS:
                yield instance

    def _zones_of(self, instances: Iterable[str]) -> set[str]:
        return {self._zones.get(instance, "") for instance in instances}


def loads_in(lines: Iterable[str]) -> Iterator[Load]:
    """Yield the loads from the weight store that stand in a log; anything else is passed over.

    Engines that crash or leave say nothing here: what they held counts as standing there still.

    Args:
        lines: Lines that end in a JSON object each, after the time.
    """
    engines = _Engines()
    for said in sorted(said_in(lines, _TEXTS), key=lambda said: said["timestamp"]):
        match said["text"]:
            case str(text) if text == _ASSIGNED:
                engines.record_assigned(said)
            case str(text) if text == _CAME:
                if said["cold"]:
                    cause = engines.cause_of(said["adapter"], said["instance"])
                    yield Load(said["timestamp"], said["adapter"], said["instance"], cause)
                engines.record_arrival(said)
            case _ if said["answer"] in _GIVEN_UP:
                engines.record_unloaded(said)


def report(*logs: Path) -> None:
    """Print why adapters were brought from the weight store.

    Args:
        logs: Files with the structured logs of boxes, each a run of its own.
    """
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            causes = Counter(load.cause for load in loads_in(lines))
        print(f"{log.name}: {causes.total()} loads from the weight store")
        for cause, count in causes.most_common():
            print(f"  {count:6} {cause}")


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
