"""How well the placers reckoned, from the structured logs of entry boxes.

A grant says when the first event should come, an assignment is reckoned to take a fixed time; what
came of each stands in later lines. A ratio above 1 says that it took longer than was reckoned.
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

from bench.lines import said_in
from springrock.placement.planner import COLD_LOAD_S, WARM_LOAD_S

_GRANTED = "placer: Granted an engine."
_ASSIGNED = "placer: Assigned an adapter."
_CAME = "placer: Loaded an adapter."
_ANSWERED = "forwarder: Answered a request."

_TEXTS = (_GRANTED, _ASSIGNED, _CAME, _ANSWERED)

_ATTEMPT = re.compile(r"^(?P<instance>\S+) answered at (?P<began_s>[\d.]+) s")

_SHORTEST_S = 0.005
"""Less than this is a request's way to the engine, and no matter of what was reckoned."""

_PERCENTILES = 100


class Outcome(NamedTuple):
    """What was reckoned, and what came of it, in seconds."""

    kind: str
    reckoned_s: float
    actual_s: float

    @property
    def ratio(self) -> float:
        """How many times as long as reckoned it took."""
        return max(self.actual_s, _SHORTEST_S) / max(self.reckoned_s, _SHORTEST_S)


class _Reckoned:
    """What was reckoned and has not come yet."""

    def __init__(self) -> None:
        self._grants: dict[tuple[str, str], float] = {}
        self._assigned: dict[tuple[str, str], float] = {}

    def outcome(self, said: dict[str, Any]) -> Outcome | None:
        """Take a line; return what came of an earlier one, if it tells."""
        match said["text"]:
            case str(text) if text == _GRANTED:
                name = (said["request"], said["instance"])
                self._grants[name] = said["first_event_in_ms"] / 1000
            case str(text) if text == _ASSIGNED:
                self._assigned[(said["instance"], said["adapter"])] = said["timestamp"]
            case str(text) if text == _CAME:
                return self._load(said)
            case str(text) if text == _ANSWERED:
                return self._first_event(said)
        return None

    def _load(self, said: dict[str, Any]) -> Outcome | None:
        at = self._assigned.pop((said["instance"], said["adapter"]), None)
        if at is None:
            return None
        kind, reckoned_s = (
            ("cold load", COLD_LOAD_S) if said["cold"] else ("warm load", WARM_LOAD_S)
        )
        return Outcome(kind, reckoned_s, said["timestamp"] - at)

    def _first_event(self, said: dict[str, Any]) -> Outcome | None:
        answered = _ATTEMPT.match(said["attempts"][-1]) if said["attempts"] else None
        if answered is None:
            return None
        reckoned_s = self._grants.pop((said["request"], answered["instance"]), None)
        if reckoned_s is None:
            return None
        target_s = said["target_ms"] / 1000
        kind = "first event, reckoned in time" if reckoned_s <= target_s else "first event, late"
        return Outcome(kind, reckoned_s, said["age_ms"] / 1000 - float(answered["began_s"]))


def outcomes_in(lines: Iterable[str]) -> Iterator[Outcome]:
    """Yield what came of grants and assignments; anything else is passed over.

    Args:
        lines: Lines that end in a JSON object each, whatever stands before it.
    """
    reckoned = _Reckoned()
    for said in sorted(said_in(lines, _TEXTS), key=lambda said: said["timestamp"]):
        outcome = reckoned.outcome(said)
        if outcome is not None:
            yield outcome


def report(*logs: Path) -> None:
    """Print how well the placers reckoned, by kind.

    Args:
        logs: Files with the structured logs of boxes, each a run of its own.
    """
    for log in logs:
        ratios: dict[str, list[float]] = defaultdict(list)
        with log.open(encoding="utf-8", errors="replace") as lines:
            for outcome in outcomes_in(lines):
                ratios[outcome.kind].append(outcome.ratio)
        print(log.name)
        for kind, values in sorted(ratios.items()):
            print(f"  {kind}: {_spread(values)}")


def _spread(ratios: list[float]) -> str:
    if len(ratios) < 2:
        return f"{len(ratios)}"
    at = quantiles(ratios, n=_PERCENTILES, method="inclusive")
    return f"{len(ratios)}, p10 {at[9]:.2f}, p50 {at[49]:.2f}, p90 {at[89]:.2f}"


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
