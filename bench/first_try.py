"""What callers got at their first try, from the structured logs of entry boxes.

A refusal that is followed by a later success counts as a refusal, and time that a request waited
without being served is shown by how long it was. Requests that reached no box are not in any log.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from statistics import quantiles
from typing import NamedTuple

import defopt

from bench.lines import said_in

LATE_WORTH = 0.3
"""What an answer after its target counts, of one within it: about what the users state for every
kind of request (0.29 to 0.31 of the worth in time)."""

_ENDINGS = ("forwarder: Answered a request.", "forwarder: Refused a request.")
_OK = range(200, 300)


class Ending(NamedTuple):
    """How one try ended at a box.

    Attributes:
        served: Whether it got a success; of a stream its first event.
        age_s: Seconds until then.
        returning: Whether the client had tried before.
        reason: Why this box itself ended it; empty if a replica's answer was passed on.
    """

    served: bool
    age_s: float
    target_s: float
    returning: bool
    reason: str


class FirstTries(NamedTuple):
    """What callers got.

    Attributes:
        first: How many first tries there were.
        worth: The mean worth of first tries, one in time counting as 1.
        retries: How many tries were not the first.
        failed_retries: How many of those were not served.
        waited_s: How long each try waited that was not served.
        refusals: The times in seconds that refusals took, by reason.
    """

    first: int
    worth: float
    retries: int
    failed_retries: int
    waited_s: list[float]
    refusals: dict[str, list[float]]

    @classmethod
    def from_endings(cls, endings: Iterable[Ending]) -> FirstTries:
        """Sum up the endings of all boxes."""
        first: list[float] = []
        retries = failed_retries = 0
        waited_s: list[float] = []
        refusals: dict[str, list[float]] = defaultdict(list)
        for ending in endings:
            if ending.returning:
                retries += 1
                failed_retries += not ending.served
            else:
                first.append(_worth_of(ending))
            if not ending.served:
                waited_s.append(ending.age_s)
            if ending.reason:
                refusals[ending.reason].append(ending.age_s)
        worth = sum(first) / len(first) if first else 0.0
        return cls(len(first), worth, retries, failed_retries, waited_s, dict(refusals))

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        yield f"first tries {self.first}, worth {self.worth:.3f}"
        yield f"other tries {self.retries}, of them not served {self.failed_retries}"
        yield f"waited and not served: {_spread(self.waited_s)}"
        for reason, times in sorted(self.refusals.items(), key=lambda item: -len(item[1])):
            yield f"  {reason}: {_spread(times)}"


def endings_in(lines: Iterable[str]) -> Iterator[Ending]:
    """Yield the endings that stand in a log; anything else is passed over.

    Args:
        lines: Lines that end in a JSON object each, whatever stands before it.
    """
    for said in said_in(lines, _ENDINGS):
        if "target_ms" not in said:
            continue
        yield Ending(
            served=said["status"] in _OK,
            age_s=said["age_ms"] / 1000,
            target_s=said["target_ms"] / 1000,
            returning=said["returning"],
            reason=said["reason"] or "",
        )


def _worth_of(ending: Ending) -> float:
    if not ending.served:
        return 0.0
    return 1.0 if ending.age_s <= ending.target_s else LATE_WORTH


def _spread(times: list[float]) -> str:
    """Return how many there are, their sum and their percentiles, in seconds."""
    if len(times) < 2:
        return f"{len(times)}, {sum(times):.2f} s"
    at = quantiles(times, n=100, method="inclusive")
    return f"{len(times)}, {sum(times):.1f} s, p50 {at[49]:.3f} s, p99 {at[98]:.3f} s"


def report(*logs: Path) -> None:
    """Print what callers got at their first try.

    Args:
        logs: Files with the structured logs of boxes, each a run of its own.
    """
    for log in logs:
        print(log.name)
        with log.open(encoding="utf-8", errors="replace") as lines:
            for line in FirstTries.from_endings(endings_in(lines)).lines():
                print(line)


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
