"""Event file of a replica stand-in, one event a line, which outlives a killed process."""

from __future__ import annotations

import os
from enum import StrEnum
from pathlib import Path

import msgspec
from msgspec import Struct


class ReplicaEventKind(StrEnum):
    """Kinds of events at a replica."""

    STARTED = "started"
    RAN = "ran"
    REFUSED = "refused"
    """The replica answered that it did not run the request."""
    MISDIRECTED = "misdirected"
    LEAVING_ACKNOWLEDGED = "leaving_acknowledged"
    VIOLATION = "violation"
    ENDED = "ended"
    """The replica ended its answer to a request; `detail` says how."""


class AnswerEnd(StrEnum):
    """How a replica's answer to a request that ran ended, unless the process ended before."""

    WHOLE = "whole"
    BROKEN_OFF = "broken_off"
    """The replica ended it early."""
    CLOSED = "closed"
    """Whoever had asked closed the connection."""
    ENDLESS = "endless"
    """It had none; this is recorded at its beginning."""


class ReplicaEvent(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event at a replica.

    Attributes:
        at: Time in seconds on the machine's monotonic clock, which all processes share.
        request_id: The id of the request; empty for events without one.
        path: The path of the request.
        team: The team that the request named.
        adapter: The adapter that the request ran on.
        version: The version of that adapter.
        first_event: The number of the first event of a stream; 1 unless it was resumed.
        detail: The name of the violation, or how an answer ended.
        asked_rest_s: The `Retry-After` time that the refusal named.
        named_per_s: The rate limit that the answer named; negative for none.
        age_s: How long the request had been running when its adapter was unloaded.
        software: The version of the replica's software as text; empty for none.
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
    software: str = ""


class ReplicaEventFile:
    """Appends events to a file, each by a single write, so a killed process leaves whole lines.

    Args:
        path: The file; if empty, no events are written.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o644) if path else None

    def record(self, event: ReplicaEvent) -> None:
        """Append an event."""
        if self._file is not None:
            os.write(self._file, msgspec.json.encode(event) + b"\n")


def read_replica_events(path: Path) -> list[ReplicaEvent]:
    """Return the events of a file; an empty list if it does not exist."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=ReplicaEvent) for line in lines]
