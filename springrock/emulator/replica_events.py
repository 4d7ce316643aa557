"""What a stand-in replica saw, written line by line so that it outlives the process."""

from __future__ import annotations

import os
from enum import StrEnum
from pathlib import Path

import msgspec
from msgspec import Struct


class ReplicaEventKind(StrEnum):
    """What happened at a replica."""

    STARTED = "started"
    RAN = "ran"
    REFUSED = "refused"
    """The replica said that it did not run the request."""
    MISDIRECTED = "misdirected"
    LEAVING_ACKNOWLEDGED = "leaving_acknowledged"
    VIOLATION = "violation"


class ReplicaEvent(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One thing that happened at one replica.

    Attributes:
        at: When, in seconds of the machine's steady clock, which all processes share.
        request_id: The request; empty where there is none.
        path: The path of the request.
        team: The team that the replica was told.
        adapter: The adapter that the request ran on.
        version: The version of that adapter.
        first_event: The number of the first event of a stream; 1 unless it was resumed.
        detail: The name of a violation.
        asked_rest_s: For how long the refusal asked its sender for rest.
        named_per_s: The limit that the answer named; negative for none.
        age_s: How long the run of the request had gone on that an unload came under.
    """

    kind: ReplicaEventKind
    at: float
    instance: str
    service: str
    request_id: str = ""
    path: str = ""
    team: str = ""
    adapter: str = ""
    version: int = 0
    first_event: int = 1
    detail: str = ""
    age_s: float = 0.0
    asked_rest_s: float = 0.0
    named_per_s: float = -1.0


class ReplicaEventFile:
    """Appends events to a file, each with one write, so that a killed process leaves whole lines.

    Args:
        path: The file; without one nothing is written.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def record(self, event: ReplicaEvent) -> None:
        """Append an event."""
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(event) + b"\n")


def read_replica_events(path: Path) -> list[ReplicaEvent]:
    """Return the events of a file; none if it does not exist."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=ReplicaEvent) for line in lines]
