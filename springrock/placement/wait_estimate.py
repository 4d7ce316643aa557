"""What awaits one more adapter, and one more request, at the engines of a zone."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

_MAX_PRESSURE = 1_000.0
"""Told where no adapter can give up its place: nothing is asked for as often."""

_MAX_WAIT_S = 60.0


class WaitEstimate(NamedTuple):
    """What awaits them at a usual engine, the middle one of all: one alone may be in trouble.

    Attributes:
        pressure: How often what would next give up its place is asked for, decayed.
        wait_s: How long a first event would wait, without its own prompt.
    """

    pressure: float = 0.0
    wait_s: float = 0.0

    @classmethod
    def from_engines(cls, *, pressures: Iterable[float], waits_s: Iterable[float]) -> WaitEstimate:
        """Build from what awaits them at each engine."""
        return cls(min(_MAX_PRESSURE, _median(pressures)), min(_MAX_WAIT_S, _median(waits_s)))


def _median(values: Iterable[float]) -> float:
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
