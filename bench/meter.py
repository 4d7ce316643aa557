"""Reads the processor time and memory of other processes from the kernel's accounting."""

from __future__ import annotations

import os
import statistics
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_UTIME_FIELD = 13
_STIME_FIELD = 14


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[_UTIME_FIELD - 2]) + int(fields[_STIME_FIELD - 2])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB of a million bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


def call_many(call: Callable[[], None], *, times: int, threads: int) -> None:
    """Make `times` calls on `threads` threads, and wait until all have returned."""
    with ThreadPoolExecutor(threads) as pool:
        for future in [pool.submit(call) for _ in range(times)]:
            future.result()


class Slope(NamedTuple):
    """A straight line through measured points.

    Attributes:
        per_unit: The increase for each unit.
        base: The value at zero units.
    """

    per_unit: float
    base: float

    @classmethod
    def from_points(cls, points: list[tuple[float, float]]) -> Slope:
        """Fit a line by least squares."""
        xs, ys = zip(*points, strict=True)
        fit = statistics.linear_regression(xs, ys)
        return cls(fit.slope, fit.intercept)
