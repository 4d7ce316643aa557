"""How long the machine let this process stand still, as others on it want the processor, too."""

from __future__ import annotations

import threading

from bench.soak.observations import Pause
from springrock.clock import monotonic

_SAMPLE_S = 0.02
_USUAL_LATENESS_S = 0.1
"""The soak's own callers share the interpreter with the meter: such lateness tells nothing."""


class PauseMeter:
    """Samples the steady clock; a sample that is late by more than usual is a pause."""

    def __init__(self) -> None:
        self.pauses: list[Pause] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to sample."""
        self._thread.start()

    def stop(self) -> None:
        """End sampling."""
        self._stop.set()
        self._thread.join()

    @property
    def total_s(self) -> float:
        """The length of all pauses."""
        return sum(pause.lasted_s for pause in self.pauses)

    def _run(self) -> None:
        before = monotonic()
        while not self._stop.wait(_SAMPLE_S):
            now = monotonic()
            late_s = now - before - _SAMPLE_S
            if late_s > _USUAL_LATENESS_S:
                self.pauses.append(Pause(before, late_s))
            before = now
