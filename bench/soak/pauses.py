"""Measures pauses of this process while the machine runs other processes."""

from __future__ import annotations

import threading

from bench.soak.observations import Pause
from springrock.clock import monotonic

_SAMPLE_S = 0.02
_LATENESS_TOLERANCE_S = 0.1
"""Lateness up to this is ignored, as the soak's callers share the interpreter with the meter."""


class PauseMeter:
    """Samples the monotonic clock; a sample that is later than the tolerance is a pause."""

    def __init__(self) -> None:
        self.pauses: list[Pause] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling and wait until the thread has ended."""
        self._stop.set()
        self._thread.join()

    @property
    def total_s(self) -> float:
        """The total length of all pauses in seconds."""
        return sum(pause.lasted_s for pause in self.pauses)

    def _run(self) -> None:
        before = monotonic()
        while not self._stop.wait(_SAMPLE_S):
            now = monotonic()
            late_s = now - before - _SAMPLE_S
            if late_s > _LATENESS_TOLERANCE_S:
                self.pauses.append(Pause(before, late_s))
            before = now
