"""A process measures the delays of its event loop, to tell its own stalls from those of others."""

from __future__ import annotations

import time

import gevent
import pytest

from springrock import loop_watch
from springrock.log import Log
from springrock.loop_watch import LoopWatch


class Lines(Log):
    """Keeps the fields of log lines."""

    def __init__(self) -> None:
        super().__init__("loop", "test")
        self.lines: list[dict[str, object]] = []

    def info(self, sentence: str, **fields: object) -> None:
        self.lines.append(fields)


def test_delays_of_the_loop_are_observed_and_logged_at_most_once_per_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(loop_watch, "_CHECK_INTERVAL_S", 0.05)
    log, seen = Lines(), list[float]()
    watch = LoopWatch(log, observe=seen.append)
    watch.start()
    gevent.sleep(0)
    for _ in range(3):
        time.sleep(0.4)
        gevent.sleep(0.06)
    watch.stop()
    assert sum(late_s >= 0.25 for late_s in seen) == 3
    assert len(log.lines) == 1
    late_ms = log.lines[0]["late_ms"]
    assert isinstance(late_ms, int)
    assert late_ms >= 250


def test_a_loop_without_delays_logs_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_watch, "_CHECK_INTERVAL_S", 0.01)
    log, seen = Lines(), list[float]()
    watch = LoopWatch(log, observe=seen.append)
    watch.start()
    with gevent.Timeout(10):
        while len(seen) < 5:
            gevent.sleep(0.01)
    watch.stop()
    assert all(late_s >= 0.0 for late_s in seen)
