"""Builders of observations for tests of judges."""

from __future__ import annotations

from typing import Any

from bench.soak.judges import JUDGES, Finding
from bench.soak.observations import (
    Attempt,
    Call,
    ConfigurationChange,
    FaultSpan,
    Framing,
    Observations,
)
from bench.soak.shape import SERVICE_OF_ROUTE, STREAM_EVENTS, SoakConfiguration
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

INITIAL_CONFIGURATION = ConfigurationChange(
    began_at=0.0, acknowledged_at=0.0, configured=SoakConfiguration()
)


def attempt(request_id: str = "r1", **more: Any) -> Attempt:
    """Return an attempt that was answered; `more` overrides its fields."""
    route = more.setdefault("route", "lookup")
    sent_at = more.setdefault("sent_at", 10.0)
    body = f"POST /{route}/{request_id} 5".encode()
    if route in ("items", "minutes"):
        more.setdefault("adapter", "a1")
        body = events(range(1, STREAM_EVENTS + 1))
    defaults = {
        "call": request_id,
        "box": "box-1",
        "key": "one",
        "adapter": "",
        "ended_at": sent_at + 0.1,
        "status": 200,
        "seal": f"seal-of-{request_id}",
        "echoed_id": request_id,
        "body": body,
        "is_complete": True,
        "framing": Framing.LENGTH,
    }
    return Attempt(request_id=request_id, **{**defaults, **more})


def refused(request_id: str = "r1", status: int = 503, **more: Any) -> Attempt:
    """Return an attempt that a box refused itself."""
    more = {"seal": "", "echoed_id": "", "body": b"{}", **more}
    return attempt(request_id, status=status, **more)


def events(numbers: range | list[int], *, software: str = "") -> bytes:
    """Return the body of a stream with these events, written by this software version."""
    by = f" by {software}" if software else ""
    return "".join(f"id: {number}\ndata: token {number}{by}\n\n" for number in numbers).encode()


def run(of: Attempt, **more: Any) -> ReplicaEvent:
    """Return a correct run of an attempt; `more` overrides its fields."""
    defaults = {
        "kind": ReplicaEventKind.RAN,
        "at": of.sent_at + 0.05,
        "instance": "i-1",
        "service": SERVICE_OF_ROUTE.get(of.route, "rosters"),
        "request_id": of.request_id,
        "path": f"/{of.route}/{of.request_id}",
        "team": {"goes": "one"}.get(of.key, of.key),
        "adapter": of.adapter,
        "version": 1 if of.adapter else 0,
    }
    return ReplicaEvent(**{**defaults, **more})


def call(**more: Any) -> Call:
    """Return a call that was answered; `more` overrides its fields."""
    defaults = {
        "call": "c1",
        "route": "lookup",
        "key": "one",
        "began_at": 10.0,
        "ended_at": 10.1,
        "answered": True,
        "last": "r1",
    }
    return Call(**{**defaults, **more})


def span(
    name: str, *claimed: str, began_at: float, ended_at: float, targets: tuple[str, ...] = ()
) -> FaultSpan:
    """Return the span of a fault that affects the claimed resources."""
    return FaultSpan(
        name=name,
        targets=targets,
        claimed=frozenset(claimed),
        began_at=began_at,
        ended_at=ended_at,
    )


def make_observations(**more: Any) -> Observations:
    """Return observations that are empty apart from the given fields."""
    defaults: dict[str, Any] = {
        "attempts": [],
        "calls": [],
        "replica_events": [],
        "spans": [],
        "changes": [INITIAL_CONFIGURATION],
        "versions": [],
        "pauses": [],
        "quiets": [],
    }
    return Observations(**{**defaults, **more})


def findings_of(judge: str, **observations: Any) -> list[Finding]:
    """Return the findings of a judge."""
    return JUDGES[judge].judge(make_observations(**observations)).findings
