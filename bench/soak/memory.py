"""Samples how much memory the boxes hold."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from pathlib import Path

from bench.soak.observations import BoxMemory
from springrock.clock import monotonic
from tests.processes import Processes

_SAMPLE_S = 0.5
_PEAK = "VmHWM:"


class MemoryMeter:
    """Samples the most memory that each box's process has held since it started.

    Args:
        processes: The processes.
        boxes: The names of the boxes among them.
    """

    def __init__(self, processes: Processes, boxes: Iterable[str]) -> None:
        self.samples: list[BoxMemory] = []
        self._processes = processes
        self._boxes = tuple(boxes)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sampling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sampling and wait until the thread has ended."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(_SAMPLE_S):
            for box in self._boxes:
                peak_mb = _peak_mb_of(self._processes[box].pid)
                if peak_mb is not None:
                    self.samples.append(BoxMemory(box=box, at=monotonic(), peak_mb=peak_mb))


def _peak_mb_of(pid: int) -> float | None:
    """Return the most memory that a process has held; None if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return None
    kilobytes = [line.split()[1] for line in lines if line.startswith(_PEAK)]
    return int(kilobytes[0]) / 1024 if kilobytes else None
