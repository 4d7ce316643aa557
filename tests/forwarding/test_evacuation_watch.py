"""The metrics and log lines of an evacuation."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from springrock.forwarding import evacuation_watch as watch_module
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.evacuation_watch import EvacuationWatch
from springrock.forwarding.evacuations import Evacuations
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.topology import Topology


class RecordingLog(Log):
    """A log that keeps the sentence and the count of each line."""

    def __init__(self) -> None:
        super().__init__("test", "box-1")
        self.lines: list[tuple[str, object]] = []

    def info(self, sentence: str, **fields: object) -> None:
        self.lines.append((sentence, fields.get("count")))


def wait_for(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.005)


def test_an_evacuation_is_reported_until_no_request_runs_in_the_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch_module, "_COUNT_INTERVAL_S", 0.01)
    metrics, log = ForwardingMetrics(), RecordingLog()
    directory = Directory(Log("test", "box-1"))
    directory.update(ReplicaRecord(instance="i", service="s", address="127.0.0.1:1", zone="z-2"))
    evacuations = Evacuations(Topology(home="z-1", zones=("z-1", "z-2")), log=Log("test", "box-1"))
    EvacuationWatch(evacuations, directory=directory, metrics=metrics, log=log).add_metrics("z-2")
    replica = directory.find("i")
    assert replica is not None
    replica.running = 2

    def _metric(name: str) -> float | None:
        return metrics.registry.get_sample_value(f"springrock_evacuation_{name}", {"zone": "z-2"})

    assert (_metric("zone"), _metric("running_requests"), _metric("seconds")) == (0.0, 0.0, 0.0)
    evacuations.begin("z-2")
    assert (_metric("zone"), _metric("running_requests")) == (1.0, 2.0)
    wait_for(lambda: len(log.lines) == 1)
    replica.running = 1
    wait_for(lambda: len(log.lines) == 2)
    replica.running = 0
    wait_for(lambda: len(log.lines) == 4)
    still_running = "Requests still run in an evacuated zone."
    done = "An evacuation is done."
    assert log.lines == [(still_running, 2), (still_running, 1), (still_running, 0), (done, None)]
    evacuations.end("z-2")
    assert (_metric("zone"), _metric("seconds")) == (0.0, 0.0)


def test_an_evacuation_that_ended_is_no_longer_watched() -> None:
    log = RecordingLog()
    evacuations = Evacuations(
        Topology(home="z-1"),
        within_s=lambda: 0.5,
        staleness_s=lambda: 0.0,
        log=Log("test", "box-1"),
    )
    EvacuationWatch(
        evacuations,
        directory=Directory(Log("test", "box-1")),
        metrics=ForwardingMetrics(),
        log=log,
    )
    evacuations.begin("z-2")
    evacuations.end("z-2")
    gevent.sleep(0.4)
    assert log.lines == []
