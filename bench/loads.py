"""Causes of adapter loads from the weight store, from the structured logs of entry boxes.

The first load of an adapter is unavoidable. Later loads are classified by where the adapter was
loaded, or in an engine's cache, when the load completed.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import defopt

from bench.lines import log_records
from springrock.placement.residency import MAX_CACHED_ADAPTERS

_ASSIGNED = "placer: Assigned an adapter."
_LOADED = "placer: Loaded an adapter."
_UNLOADED = "placer: Ordered: unload."
_TEXTS = (_ASSIGNED, _LOADED, _UNLOADED)
_UNLOADED_ANSWERS = ("taken", "done")


class Cause(StrEnum):
    """Why an adapter was loaded from the weight store."""

    FIRST = "not loaded before"
    COPY = "one more copy"
    LOADED_IN_ZONE = "already loaded in the zone"
    LOADED_ELSEWHERE = "already loaded in another zone"
    CACHED_IN_ZONE = "cached by an engine of the zone"
    CACHED_ELSEWHERE = "cached by an engine of another zone"
    NOT_CACHED = "no longer cached by any engine"


class Load(NamedTuple):
    """A load from the weight store.

    Attributes:
        at_s: When it completed, as a timestamp of the log.
        cause: Why the adapter was loaded.
    """

    at_s: float
    adapter: str
    instance: str
    cause: Cause


class _Engines:
    """The adapters that each engine has loaded or cached, according to the placers' log lines."""

    def __init__(self) -> None:
        self._zones: dict[str, str] = {}
        self._copies: set[tuple[str, str]] = set()
        self._loaded_on: dict[str, set[str]] = defaultdict(set)
        self._load_numbers: dict[str, dict[str, int]] = defaultdict(dict)
        self._load_counts = Counter[str]()

    def record_assigned(self, record: dict[str, Any]) -> None:
        """Record an assignment: the zone of the engine, and whether the load adds a copy."""
        pair = (record["instance"], record["adapter"])
        self._zones[record["instance"]] = record["zone"]
        self._copies.discard(pair)
        if record["is_copy"]:
            self._copies.add(pair)

    def record_loaded(self, record: dict[str, Any]) -> None:
        """Record that an engine loaded an adapter."""
        adapter, instance = record["adapter"], record["instance"]
        self._load_counts[instance] += 1
        self._loaded_on[adapter].add(instance)
        self._load_numbers[adapter][instance] = self._load_counts[instance]

    def record_unloaded(self, record: dict[str, Any]) -> None:
        """Record that an engine unloaded an adapter."""
        self._loaded_on[record["adapter"]].discard(record["instance"])

    def cause_of(self, adapter: str, instance: str) -> Cause:
        """Return the cause of a load of an adapter to an engine."""
        if not self._load_numbers[adapter]:
            return Cause.FIRST
        if (instance, adapter) in self._copies:
            return Cause.COPY
        zone = self._zones.get(instance)
        holding = self._zones_of(self._loaded_on[adapter])
        if holding:
            return Cause.LOADED_IN_ZONE if zone in holding else Cause.LOADED_ELSEWHERE
        caching = self._zones_of(self._cache_holders(adapter))
        if caching:
            return Cause.CACHED_IN_ZONE if zone in caching else Cause.CACHED_ELSEWHERE
        return Cause.NOT_CACHED

    def _cache_holders(self, adapter: str) -> Iterator[str]:
        for instance, number in self._load_numbers[adapter].items():
            if self._load_counts[instance] - number < MAX_CACHED_ADAPTERS:
                yield instance

    def _zones_of(self, instances: Iterable[str]) -> set[str]:
        return {self._zones.get(instance, "") for instance in instances}


def loads_in(lines: Iterable[str]) -> Iterator[Load]:
    """Yield the loads from the weight store that a log records; skip all other lines.

    The logs do not show when an engine crashes or leaves: its adapters still count as loaded.

    Args:
        lines: Log lines; a JSON object ends each structured line, after the time.
    """
    engines = _Engines()
    for record in sorted(log_records(lines, _TEXTS), key=lambda record: record["timestamp"]):
        match record["text"]:
            case str(text) if text == _ASSIGNED:
                engines.record_assigned(record)
            case str(text) if text == _LOADED:
                if record["cold"]:
                    cause = engines.cause_of(record["adapter"], record["instance"])
                    yield Load(record["timestamp"], record["adapter"], record["instance"], cause)
                engines.record_loaded(record)
            case _ if record["answer"] in _UNLOADED_ANSWERS:
                engines.record_unloaded(record)


def report(*logs: Path) -> None:
    """Print the causes of adapter loads from the weight store.

    Args:
        logs: Files with the structured logs of boxes, one for each run.
    """
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            causes = Counter(load.cause for load in loads_in(lines))
        print(f"{log.name}: {causes.total()} loads from the weight store")
        for cause, count in causes.most_common():
            print(f"  {count:6} {cause}")


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
