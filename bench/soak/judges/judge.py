"""The interface of judges, and their registry."""

from __future__ import annotations

from abc import ABC, abstractmethod

from msgspec import Struct

from bench.soak.observations import Observations
from bench.soak.registry import Registry


class Finding(Struct, frozen=True, kw_only=True):
    """One breach of a promise.

    Attributes:
        at: When it happened, on the machine's monotonic clock.
        text: What was observed and, where it helps, what was expected.
        request_id: The request; empty if no single request is concerned.
    """

    at: float
    text: str
    request_id: str = ""


class Verdict(Struct, frozen=True, kw_only=True):
    """The result of one judge.

    Attributes:
        checked: Number of checked items, such as requests, runs or windows.
        findings: Breaches of the promise.
    """

    checked: int
    findings: list[Finding]


class Judge(ABC):
    """Checks one promise by what callers and replicas observed, never by what boxes report.

    Attributes:
        name: The name in reports.
        promise: The promise, in a sentence.
    """

    name = ""
    promise = ""

    @abstractmethod
    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""


JUDGES: Registry[Judge] = Registry()
