from __future__ import annotations

from pathlib import Path

from springrock.emulator.replica_events import (
    ReplicaEvent,
    ReplicaEventFile,
    ReplicaEventKind,
    read_replica_events,
)


def make_event(request_id: str) -> ReplicaEvent:
    return ReplicaEvent(
        kind=ReplicaEventKind.RAN, at=1.5, instance="i-1", service="s", request_id=request_id
    )


def test_events_of_successive_processes_are_read_in_order(tmp_path: Path) -> None:
    path = tmp_path / "events"
    for request_id in ("r1", "r2"):
        ReplicaEventFile(str(path)).record(make_event(request_id))
    assert read_replica_events(path) == [make_event("r1"), make_event("r2")]


def test_no_events_without_a_file(tmp_path: Path) -> None:
    ReplicaEventFile("").record(make_event("r1"))
    assert read_replica_events(tmp_path / "events") == []
