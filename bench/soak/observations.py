"""What was seen of the boxes from outside: by callers, replicas, and whoever switched faults."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from functools import cached_property

from msgspec import Struct

from bench.soak.shape import REPEATABLE, Configured
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Attempt(Struct, kw_only=True):
    """One request as its caller saw it; times are of the machine's steady clock.

    Attributes:
        call: What the caller wanted; several attempts may serve one call.
        key: The name of the key; empty for none.
        status: 0 if no answer came.
        whole: Whether the answer ended as its framing says.
        instance: The replica that answered, as its answer tells.
        says_leaving: Whether the answer says that this replica leaves.
        of_request: The path of a request that comes again under new ids; empty for any other.
    """

    request_id: str
    call: str
    box: str
    route: str
    key: str
    adapter: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    seal: str = ""
    echoed_id: str = ""
    body: bytes = b""
    whole: bool = False
    retry_after_s: float | None = None
    error: str = ""
    instance: str = ""
    says_leaving: bool = False
    of_request: str = ""

    @property
    def path(self) -> str:
        """The path; it names the attempt, so that answers cannot be taken for each other."""
        return self.of_request or f"/{self.route}/{self.request_id}"

    @property
    def answered(self) -> bool:
        """Whether the caller has what it asked for."""
        return self.status == 200 and self.whole

    @property
    def promised_not_run(self) -> bool:
        """Whether the box promised that it has not run and never will."""
        return self.status in _PROMISES_NOT_RUN and not self.seal

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route in REPEATABLE


class Call(Struct, frozen=True, kw_only=True):
    """What a caller wanted, over all attempts for it."""

    call: str
    route: str
    key: str
    began_at: float
    ended_at: float
    answered: bool
    last: str


class FaultSpan(Struct, kw_only=True):
    """A fault that was switched on, and off at `ended_at`.

    Attributes:
        holds: What it kept from going on or from hearing: the claims of the fault.
    """

    name: str
    targets: tuple[str, ...]
    holds: frozenset[str]
    began_at: float
    ended_at: float = float("inf")


class Change(Struct, frozen=True, kw_only=True):
    """A configuration that the operator wrote."""

    began_at: float
    acknowledged_at: float
    configured: Configured


class NamedVersion(Struct, frozen=True, kw_only=True):
    """A version of an adapter that the operator named."""

    acknowledged_at: float
    adapter: str
    version: int


class Pause(Struct, frozen=True):
    """A span in which the machine let the soak stand still."""

    began_at: float
    lasted_s: float


class Quiet(Struct, frozen=True):
    """A span without any fault, from the end of the last one."""

    began_at: float
    ended_at: float


class Observations(Struct, kw_only=True, dict=True):
    """All that judges go by."""

    attempts: list[Attempt]
    calls: list[Call]
    replica_events: list[ReplicaEvent]
    spans: list[FaultSpan]
    changes: list[Change]
    versions: list[NamedVersion]
    pauses: list[Pause]
    quiets: list[Quiet]

    @cached_property
    def attempt_of(self) -> dict[str, Attempt]:
        """The attempts by request id."""
        return {attempt.request_id: attempt for attempt in self.attempts}

    def asked_runs(self) -> Iterator[tuple[Attempt, list[ReplicaEvent]]]:
        """Yield each request that a caller sent and that ran, with its runs, earliest first."""
        for request_id, runs in self.runs_of.items():
            attempt = self.attempt_of.get(request_id)
            if attempt is not None:
                yield attempt, runs

    @cached_property
    def runs_of(self) -> dict[str, list[ReplicaEvent]]:
        """The runs of each request, earliest first."""
        runs: dict[str, list[ReplicaEvent]] = defaultdict(list)
        for event in sorted(self.replica_events, key=lambda event: event.at):
            if event.kind is ReplicaEventKind.RAN:
                runs[event.request_id].append(event)
        return runs

    def paused_s(self, start: float, end: float) -> float:
        """How long the machine stood still within a span."""
        return sum(
            max(0.0, min(end, pause.began_at + pause.lasted_s) - max(start, pause.began_at))
            for pause in self.pauses
        )

    def disturbed_s(self, start: float, end: float, touches: Callable[[FaultSpan], bool]) -> float:
        """How much of a span lies within chosen faults, and within pauses of the machine."""
        spans = [
            (max(start, span.began_at), min(end, span.ended_at))
            for span in self.spans
            if touches(span)
        ]
        return _length_of(spans) + self.paused_s(start, end)


def touches_knowledge(span: FaultSpan) -> bool:
    """Whether a fault may keep a box from hearing what is new in the store."""
    return any(
        held == "store" or held.startswith("box/") or held.endswith(">store") for held in span.holds
    )


def holds_attempt(attempt: Attempt) -> Callable[[FaultSpan], bool]:
    """Return which faults may hold a request up between its box's last look and its run.

    What a box that stands still has not yet read, it must judge anew when it wakes: only pauses
    that begin after the request was sent count.
    """

    def _holds(span: FaultSpan) -> bool:
        box = f"box/{attempt.box}"
        if box in span.holds:
            return span.began_at > attempt.sent_at
        return any(held.startswith(("replica/", "link/>")) for held in span.holds)

    return _holds


def _length_of(spans: Iterable[tuple[float, float]]) -> float:
    """Return the length of the union of spans."""
    total, reached = 0.0, float("-inf")
    for start, end in sorted(spans):
        start = max(start, reached)
        if end > start:
            total += end - start
            reached = end
    return total
