"""A process tells how late its loop runs, so that its own stalls are told from those of others."""

from __future__ import annotations

import time

import gevent
import pytest

from springrock import loop_watch
from springrock.log import Log
from springrock.loop_watch import LoopWatch


class Lines(Log):
    """Keeps what is said."""

    def __init__(self) -> None:
        super().__init__("loop", "test")
        self.said: list[dict[str, object]] = []

    def say(self, sentence: str, **fields: object) -> None:
        self.said.append(fields)


def test_a_loop_that_is_late_is_seen_and_said_once_in_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(loop_watch, "_LOOK_S", 0.05)
    log, seen = Lines(), list[float]()
    watch = LoopWatch(log, observe=seen.append)
    watch.start()
    gevent.sleep(0)
    for _ in range(3):
        time.sleep(0.4)
        gevent.sleep(0.06)
    watch.stop()
    assert sum(late_s >= 0.25 for late_s in seen) == 3
    assert len(log.said) == 1
    late_ms = log.said[0]["late_ms"]
    assert isinstance(late_ms, int)
    assert late_ms >= 250


def test_a_loop_that_runs_says_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_watch, "_LOOK_S", 0.01)
    log, seen = Lines(), list[float]()
    watch = LoopWatch(log, observe=seen.append)
    watch.start()
    with gevent.Timeout(10):
        while len(seen) < 5:
            gevent.sleep(0.01)
    watch.stop()
    assert all(late_s >= 0.0 for late_s in seen)
