"""The judges of a soak. The classes register themselves when their module is imported below."""

from __future__ import annotations

from bench.soak.judges import (
    answers,
    crashes,
    endless,
    partitions,
    placement,
    runs,
    service,
    silences,
    software,
    teams,
    words,
)
from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict

__all__ = [
    "JUDGES",
    "Finding",
    "Judge",
    "Verdict",
    "answers",
    "crashes",
    "endless",
    "partitions",
    "placement",
    "runs",
    "service",
    "silences",
    "software",
    "teams",
    "words",
]
