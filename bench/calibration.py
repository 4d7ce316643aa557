"""Accuracy of the placers' time estimates, from the structured logs of entry boxes.

A grant states when the first event is expected, and the load of an assigned adapter is expected to
take a fixed time. Later log lines show the actual times. A ratio above 1 means that the actual time
was longer than the estimate.
"""

from __future__ import annotations

import re
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from statistics import quantiles
from typing import Any, NamedTuple

import defopt

from bench.lines import log_records
from springrock.placement.planner import COLD_LOAD_S, WARM_LOAD_S

_GRANTED = "placer: Granted an engine."
_ASSIGNED = "placer: Assigned an adapter."
_LOADED = "placer: Loaded an adapter."
_ANSWERED = "forwarder: Answered a request."

_TEXTS = (_GRANTED, _ASSIGNED, _LOADED, _ANSWERED)

_ATTEMPT = re.compile(r"^(?P<instance>\S+) answered at (?P<began_s>[\d.]+) s")

_MIN_TIME_S = 0.005
"""Shorter times are due to the transport of the request, which the placer does not estimate."""

_PERCENTILES = 100


class Outcome(NamedTuple):
    """An estimated time and the actual one, in seconds."""

    kind: str
    estimated_s: float
    actual_s: float

    @property
    def ratio(self) -> float:
        """The actual time divided by the estimate."""
        return max(self.actual_s, _MIN_TIME_S) / max(self.estimated_s, _MIN_TIME_S)


class _PendingEstimates:
    """Estimates whose actual times have not been found yet."""

    def __init__(self) -> None:
        self._grants: dict[tuple[str, str], float] = {}
        self._assigned_at: dict[tuple[str, str], float] = {}

    def outcome(self, record: dict[str, Any]) -> Outcome | None:
        """Read a log record; return the outcome of the estimate that it completes, if any."""
        match record["text"]:
            case str(text) if text == _GRANTED:
                pair = (record["request"], record["instance"])
                self._grants[pair] = record["first_event_in_ms"] / 1000
            case str(text) if text == _ASSIGNED:
                self._assigned_at[(record["instance"], record["adapter"])] = record["timestamp"]
            case str(text) if text == _LOADED:
                return self._load_outcome(record)
            case str(text) if text == _ANSWERED:
                return self._first_event_outcome(record)
        return None

    def _load_outcome(self, record: dict[str, Any]) -> Outcome | None:
        at = self._assigned_at.pop((record["instance"], record["adapter"]), None)
        if at is None:
            return None
        kind, estimated_s = (
            ("cold load", COLD_LOAD_S) if record["cold"] else ("warm load", WARM_LOAD_S)
        )
        return Outcome(kind, estimated_s, record["timestamp"] - at)

    def _first_event_outcome(self, record: dict[str, Any]) -> Outcome | None:
        answered = _ATTEMPT.match(record["attempts"][-1]) if record["attempts"] else None
        if answered is None:
            return None
        estimated_s = self._grants.pop((record["request"], answered["instance"]), None)
        if estimated_s is None:
            return None
        target_s = record["target_ms"] / 1000
        kind = (
            "first event, expected in time"
            if estimated_s <= target_s
            else "first event, expected late"
        )
        return Outcome(kind, estimated_s, record["age_ms"] / 1000 - float(answered["began_s"]))


def outcomes_in(lines: Iterable[str]) -> Iterator[Outcome]:
    """Yield the outcomes of grants and assignments; skip all other lines.

    Args:
        lines: Log lines; a JSON object ends each structured line, after any prefix.
    """
    pending = _PendingEstimates()
    for record in sorted(log_records(lines, _TEXTS), key=lambda record: record["timestamp"]):
        outcome = pending.outcome(record)
        if outcome is not None:
            yield outcome


def report(*logs: Path) -> None:
    """Print the accuracy of the placers' estimates, by kind.

    Args:
        logs: Files with the structured logs of boxes, one for each run.
    """
    for log in logs:
        ratios: dict[str, list[float]] = defaultdict(list)
        with log.open(encoding="utf-8", errors="replace") as lines:
            for outcome in outcomes_in(lines):
                ratios[outcome.kind].append(outcome.ratio)
        print(log.name)
        for kind, values in sorted(ratios.items()):
            print(f"  {kind}: {_summary_of(values)}")


def _summary_of(ratios: list[float]) -> str:
    if len(ratios) < 2:
        return f"{len(ratios)}"
    cuts = quantiles(ratios, n=_PERCENTILES, method="inclusive")
    return f"{len(ratios)}, p10 {cuts[9]:.2f}, p50 {cuts[49]:.2f}, p90 {cuts[89]:.2f}"


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
