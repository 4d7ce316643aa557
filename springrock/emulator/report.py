"""Report of a load run: stalls, worth in time, refusals, batch fill, adapter loads."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec

from springrock.emulator.load import Outcome

_RARE_FRACTION = 0.1


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one load run.

    Attributes:
        worth_in_time: The share of all stated worth whose complete answers arrived in time.
        stall_mean_s: Mean time that answered completions waited for an adapter load.
        rare_share: The in-time share of the tenth of requests with the least popular adapters,
            relative to that of the other requests.
        batch_fill: The share of batch slots in engine steps that produced a token.
        wasted_loads: The share of unloaded adapters that no request had used.
    """

    name: str
    requests: int
    answered: int
    in_time: float
    worth_in_time: float
    stall_mean_s: float
    stall_p95_s: float
    first_token_p50_s: float
    first_token_p95_s: float
    gap_p95_s: float
    refused_at_once_p95_s: float
    rare_share: float
    refusals: dict[str, int]
    wrong: int
    loads: int
    wasted_loads: float
    batch_fill: float

    @classmethod
    def from_outcomes(
        cls, name: str, outcomes: Sequence[Outcome], counters: Sequence[dict[str, Any]]
    ) -> Report:
        """Calculate the figures.

        Args:
            name: The name of the run.
            outcomes: The outcomes of its requests.
            counters: The counters of each engine stand-in for the run.
        """
        completions = [item for item in outcomes if item.run_state == "answered" and item.tokens]
        stalls = [item.stall_s for item in completions]
        refused = [item for item in outcomes if item.run_state == "not_run"]
        worth = sum(item.worth for item in outcomes)
        loads = sum(item["loads"] for item in counters)
        tokens = sum(item["tokens"] for item in counters)
        batch_slots = sum(
            item["tokens"] / item["batch_fill"] for item in counters if item["tokens"]
        )
        return cls(
            name=name,
            requests=len(outcomes),
            answered=sum(item.run_state == "answered" for item in outcomes),
            in_time=_in_time_share(outcomes),
            worth_in_time=sum(item.worth for item in outcomes if item.in_time) / max(worth, 1e-9),
            stall_mean_s=sum(stalls) / max(1, len(stalls)),
            stall_p95_s=quantile(stalls, 0.95),
            first_token_p50_s=quantile([item.first_token_s for item in completions], 0.5),
            first_token_p95_s=quantile([item.first_token_s for item in completions], 0.95),
            gap_p95_s=quantile([item.gap_s for item in completions], 0.95),
            refused_at_once_p95_s=quantile([item.total_s for item in refused], 0.95),
            rare_share=_rare_share(outcomes),
            refusals=dict(Counter(item.cause for item in outcomes if item.cause)),
            wrong=sum(item.wrong for item in outcomes),
            loads=loads,
            wasted_loads=sum(item["wasted_loads"] for item in counters) / max(1, loads),
            batch_fill=tokens / batch_slots if batch_slots else 0.0,
        )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which the given share of the values lies; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _in_time_share(outcomes: Sequence[Outcome]) -> float:
    return sum(item.in_time for item in outcomes) / max(1, len(outcomes))


def _rare_share(outcomes: Sequence[Outcome]) -> float:
    """Return the in-time share of the rarest `_RARE_FRACTION` of requests over that of the rest."""
    ordered = sorted(outcomes, key=lambda item: item.rank)
    common_count = int(len(ordered) * (1 - _RARE_FRACTION))
    common, rare = ordered[:common_count], ordered[common_count:]
    return _in_time_share(rare) / max(_in_time_share(common), 1e-9)


COLUMNS = [
    "name",
    "worth_in_time",
    "stall_mean_s",
    "stall_p95_s",
    "first_token_p95_s",
    "batch_fill",
    "rare_share",
    "wasted_loads",
    "loads",
]


def as_table(reports: Sequence[Report]) -> str:
    """Return reports formatted as a Markdown table."""
    lines = ["| " + " | ".join(COLUMNS) + " |", "|" + "---|" * len(COLUMNS)]
    for report in reports:
        cells = [_cell(getattr(report, column)) for column in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)
