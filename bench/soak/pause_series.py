"""Pauses replicas several times in a row while the configuration changes."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterator
from typing import NamedTuple

PAUSE_RANGE_S = (1.0, 1.9)
"""The length of a pause."""

_GAP_RANGE_S = (0.4, 0.9)
"""The time in which the replicas run between two pauses, in which new streams begin."""

_CHANGE_GAP_RANGE_S = (0.3, 0.8)
"""The time between two changes of the configuration."""

CHANGED_FIELDS = ("hurried", "impatient", "withdrawn")
"""The fields of the configuration that change, each back and forth."""


class Step(NamedTuple):
    """A part of a series.

    Attributes:
        paused: Whether the replicas are paused.
        lasts_s: How long it lasts.
    """

    paused: bool
    lasts_s: float


def draw_steps(seed: str) -> Iterator[Step]:
    """Yield pauses and gaps in turn, without an end."""
    rng = random.Random(f"{seed}/pauses")
    while True:
        yield Step(True, rng.uniform(*PAUSE_RANGE_S))
        yield Step(False, rng.uniform(*_GAP_RANGE_S))


def draw_changes(seed: str) -> Iterator[tuple[float, str]]:
    """Yield waits in seconds, each with the field that changes after it, without an end."""
    rng = random.Random(f"{seed}/changes")
    while True:
        yield rng.uniform(*_CHANGE_GAP_RANGE_S), rng.choice(CHANGED_FIELDS)


class PauseSeries:
    """A series of pauses, and the changes beside it, until it is stopped.

    Args:
        seed: The seed of the draws.
        pause: Pauses the replicas.
        resume: Resumes them.
        change: Sets fields of the configuration.
    """

    def __init__(
        self,
        seed: str,
        *,
        pause: Callable[[], None],
        resume: Callable[[], None],
        change: Callable[..., None],
    ) -> None:
        self._seed = seed
        self._pause = pause
        self._resume = resume
        self._change = change
        self._stop_requested = threading.Event()
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._run_pauses, self._run_changes)
        ]

    def start(self) -> None:
        """Start with a pause."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Resume the replicas and revert all changes."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join()

    def _run_pauses(self) -> None:
        try:
            for step in draw_steps(self._seed):
                if step.paused:
                    self._pause()
                else:
                    self._resume()
                if self._stop_requested.wait(step.lasts_s):
                    return
        finally:
            self._resume()

    def _run_changes(self) -> None:
        changed: set[str] = set()
        try:
            for wait_s, field in draw_changes(self._seed):
                if self._stop_requested.wait(wait_s):
                    return
                changed ^= {field}
                self._change(**{field: field in changed})
        finally:
            if changed:
                self._change(**dict.fromkeys(changed, False))
