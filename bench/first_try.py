"""Outcomes of callers' first attempts, from the structured logs of entry boxes.

A refusal counts as a refusal even if a retry succeeds later. The report includes how long requests
waited that were not served. Requests that reached no box are in no log and are not counted.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from statistics import quantiles
from typing import NamedTuple

import defopt

from bench.lines import log_records

LATE_WORTH = 0.3
"""Worth of an answer after its latency target, where one within the target is worth 1. The users
state 0.29 to 0.31 for the different kinds of requests."""

_ENDINGS = ("forwarder: Answered a request.", "forwarder: Refused a request.")
_OK = range(200, 300)


class Ending(NamedTuple):
    """How one attempt ended at a box.

    Attributes:
        served: Whether it succeeded; for a stream, whether its first event was sent.
        age_s: Seconds from the arrival of the request to this ending.
        target_s: The latency target in seconds.
        is_retry: Whether the attempt is a retry by the client.
        reason: Why the box itself refused the request; empty if it forwarded a replica's answer.
    """

    served: bool
    age_s: float
    target_s: float
    is_retry: bool
    reason: str


class FirstTries(NamedTuple):
    """Statistics of first attempts and retries.

    Attributes:
        first: Number of first attempts.
        worth: Mean worth of the first attempts; one answered within its target is worth 1.
        retries: Number of retries.
        failed_retries: Number of retries that were not served.
        waited_s: How long each attempt waited that was not served, in seconds.
        refusals: How long each refusal took in seconds, by reason.
    """

    first: int
    worth: float
    retries: int
    failed_retries: int
    waited_s: list[float]
    refusals: dict[str, list[float]]

    @classmethod
    def from_endings(cls, endings: Iterable[Ending]) -> FirstTries:
        """Compute the statistics of the endings of all boxes."""
        worths: list[float] = []
        retries = failed_retries = 0
        waited_s: list[float] = []
        refusals: dict[str, list[float]] = defaultdict(list)
        for ending in endings:
            if ending.is_retry:
                retries += 1
                failed_retries += not ending.served
            else:
                worths.append(_worth_of(ending))
            if not ending.served:
                waited_s.append(ending.age_s)
            if ending.reason:
                refusals[ending.reason].append(ending.age_s)
        worth = sum(worths) / len(worths) if worths else 0.0
        return cls(len(worths), worth, retries, failed_retries, waited_s, dict(refusals))

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        yield f"first tries {self.first}, worth {self.worth:.3f}"
        yield f"other tries {self.retries}, of them not served {self.failed_retries}"
        yield f"waited and not served: {_summary_of(self.waited_s)}"
        for reason, times in sorted(self.refusals.items(), key=lambda item: -len(item[1])):
            yield f"  {reason}: {_summary_of(times)}"


def endings_in(lines: Iterable[str]) -> Iterator[Ending]:
    """Yield the endings recorded in a log; skip all other lines.

    Args:
        lines: Log lines; a JSON object ends each structured line, after any prefix.
    """
    for record in log_records(lines, _ENDINGS):
        if "target_ms" not in record:
            continue
        yield Ending(
            served=record["status"] in _OK,
            age_s=record["age_ms"] / 1000,
            target_s=record["target_ms"] / 1000,
            is_retry=record["returning"],
            reason=record["reason"] or "",
        )


def _worth_of(ending: Ending) -> float:
    if not ending.served:
        return 0.0
    return 1.0 if ending.age_s <= ending.target_s else LATE_WORTH


def _summary_of(times: list[float]) -> str:
    """Return the count of the times, and their sum and percentiles in seconds."""
    if len(times) < 2:
        return f"{len(times)}, {sum(times):.2f} s"
    cuts = quantiles(times, n=100, method="inclusive")
    return f"{len(times)}, {sum(times):.1f} s, p50 {cuts[49]:.3f} s, p99 {cuts[98]:.3f} s"


def report(*logs: Path) -> None:
    """Print the outcomes of callers' first attempts.

    Args:
        logs: Files with the structured logs of boxes, one for each run.
    """
    for log in logs:
        print(log.name)
        with log.open(encoding="utf-8", errors="replace") as lines:
            for line in FirstTries.from_endings(endings_in(lines)).lines():
                print(line)


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
