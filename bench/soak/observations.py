"""What callers, replicas and the injector of faults observed of the boxes during one play."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from functools import cached_property

from msgspec import Struct

from bench.soak.bodies import event_ids, is_whole_stream, plain_body
from bench.soak.shape import REPEATABLE, STREAMS, SoakConfiguration
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

LEFT = "left"
"""The error of an attempt whose caller closed its connection, as it has the events it wanted."""

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Framing(StrEnum):
    """How an answer tells its caller where its body ends."""

    UNKNOWN = ""
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """By the end of its connection, so that a complete body looks like one that broke off."""


class Attempt(Struct, kw_only=True):
    """One attempt at a call, as its caller saw it; times are of the machine's monotonic clock.

    Attributes:
        request_id: The id of the request; each attempt has its own.
        call: The id of the call; a call may take several attempts.
        key: The name of the API key; empty for none.
        status: 0 if no answer came.
        framing: How the answer was framed.
        is_complete: Whether the answer is complete according to its framing; never if its
            connection ends it.
        seal: The seal header; only answers of replicas have one.
        echoed_id: The request id in the answer.
        instance: The instance id of the replica, from the header of the answer.
        says_leaving: Whether the answer's header says that the replica is leaving.
        repeated_path: The path of a request that is repeated under new ids; empty for any other.
        last_event_id: The number of the event after which a stream is taken up; 0 for a new one.
        resumes: The id of the attempt that brought the first event of the stream that is taken up.
        leaves_after: The number of events after which the caller closes its connection; 0 never.
        crashing_part: The part of the prompt that crashes replicas; empty for none.
        deadline_at: When the time that the request names is over.
        settled_at: When the answer or the connection had ended; later than `ended_at` if the caller
            had given up before, and infinite if neither came.
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
    is_complete: bool = False
    retry_after_s: float | None = None
    error: str = ""
    instance: str = ""
    says_leaving: bool = False
    repeated_path: str = ""
    framing: Framing = Framing.UNKNOWN
    last_event_id: int = 0
    resumes: str = ""
    leaves_after: int = 0
    crashing_part: str = ""
    deadline_at: float = float("inf")
    settled_at: float = 0.0

    @property
    def path(self) -> str:
        """The path; it contains the request id, so that a mixed-up answer is detected."""
        return self.repeated_path or f"/{self.route}/{self.request_id}"

    @property
    def answered(self) -> bool:
        """Whether the caller got a complete success, by its framing or else by its content."""
        is_unframed = self.framing is Framing.CONNECTION
        return self.status == 200 and (self.is_complete or (is_unframed and self.is_whole))

    @property
    def is_whole(self) -> bool:
        """Whether the body is the whole answer to this request, whatever its framing says."""
        if self.route in STREAMS:
            return is_whole_stream(self.body, after=self.last_event_id)
        return self.body == plain_body(self.path)

    @property
    def stream(self) -> str:
        """The id of the attempt that began the stream, or would have if it was answered."""
        return self.resumes or self.request_id

    @property
    def last_event(self) -> int:
        """The number of the last event that the caller has, over all attempts at the stream."""
        ids = event_ids(self.body) if self.status == 200 else []
        return ids[-1] if ids else self.last_event_id

    @property
    def promised_not_run(self) -> bool:
        """Whether the box promised that the request has not run and will not run."""
        return self.status in _NOT_RUN_STATUSES and not self.seal

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route in REPEATABLE


class Call(Struct, frozen=True, kw_only=True):
    """One call of a caller, over all its attempts.

    Attributes:
        last: A description of the last attempt.
    """

    call: str
    route: str
    key: str
    began_at: float
    ended_at: float
    answered: bool
    last: str


class FaultSpan(Struct, kw_only=True):
    """The span of a fault, from its start to its end.

    Attributes:
        claimed: The resources that the fault affected; see `Fault.claims`.
    """

    name: str
    targets: tuple[str, ...]
    claimed: frozenset[str]
    began_at: float
    ended_at: float = float("inf")


class ConfigurationChange(Struct, frozen=True, kw_only=True):
    """A configuration that was written, as an operator does."""

    began_at: float
    acknowledged_at: float
    configured: SoakConfiguration


class PublishedVersion(Struct, frozen=True, kw_only=True):
    """A version of an adapter that was published, as an operator does."""

    acknowledged_at: float
    adapter: str
    version: int


class Pause(Struct, frozen=True):
    """A span in which the operating system did not run the soak's process."""

    began_at: float
    lasted_s: float


class BoxMemory(Struct, frozen=True, kw_only=True):
    """The most memory that a box's process has held up to some time."""

    box: str
    at: float
    peak_mb: float


class QuietSpan(Struct, frozen=True):
    """A span without any fault; it begins when the last fault ended."""

    began_at: float
    ended_at: float


class Observations(Struct, kw_only=True, dict=True):
    """All observations of one play, which the judges check.

    Attributes:
        replica_names: The name of each replica instance, as in the claims of faults.
    """

    attempts: list[Attempt]
    calls: list[Call]
    replica_events: list[ReplicaEvent]
    spans: list[FaultSpan]
    changes: list[ConfigurationChange]
    versions: list[PublishedVersion]
    pauses: list[Pause]
    quiets: list[QuietSpan]
    replica_names: dict[str, str] = {}
    memory: list[BoxMemory] = []

    def is_by_earlier_build(self, attempt: Attempt) -> bool:
        """Whether the box of an attempt ran the build of the last release meanwhile."""
        return any(f"build/{attempt.box}" in span.claimed for span in self._spans_during(attempt))

    def is_beside_unframed_answers(self, attempt: Attempt) -> bool:
        """Whether any replica answered without a length or chunks during an attempt."""
        claims = [claim for span in self._spans_during(attempt) for claim in span.claimed]
        return any(claim.startswith("framing/") for claim in claims)

    def _spans_during(self, attempt: Attempt) -> Iterator[FaultSpan]:
        for span in self.spans:
            if span.began_at < attempt.ended_at and span.ended_at > attempt.sent_at:
                yield span

    @cached_property
    def attempt_of(self) -> dict[str, Attempt]:
        """The attempts by request id."""
        return {attempt.request_id: attempt for attempt in self.attempts}

    @cached_property
    def first_attempts(self) -> list[Attempt]:
        """The first attempt of each call, without the requests that crash replicas."""
        first: dict[str, Attempt] = {}
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.sent_at):
            if not attempt.repeated_path and not attempt.crashing_part:
                first.setdefault(attempt.call, attempt)
        return list(first.values())

    def attempted_runs(self) -> Iterator[tuple[Attempt, list[ReplicaEvent]]]:
        """Yield each attempt of a caller whose request ran, with its runs, earliest first."""
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
        """Return how long the machine paused the soak within a span."""
        return sum(
            max(0.0, min(end, pause.began_at + pause.lasted_s) - max(start, pause.began_at))
            for pause in self.pauses
        )

    def disturbed_s(
        self, start: float, end: float, is_relevant: Callable[[FaultSpan], bool]
    ) -> float:
        """Return how much of a span lies within selected faults or within pauses of the machine."""
        spans = [
            (max(start, span.began_at), min(end, span.ended_at))
            for span in self.spans
            if is_relevant(span)
        ]
        return _length_of(spans) + self.paused_s(start, end)


def delays_updates(span: FaultSpan) -> bool:
    """Whether a fault may delay a box's updates from the store."""
    return any(
        name == "store" or name.startswith("box/") or name.endswith(">store")
        for name in span.claimed
    )


def delays_attempt(attempt: Attempt) -> Callable[[FaultSpan], bool]:
    """Return a predicate for faults that may delay a request between its box's check and its run.

    A paused box must check requests that it reads after it resumes against the current state, so
    only pauses that begin after the request was sent count.
    """

    def _delays(span: FaultSpan) -> bool:
        box = f"box/{attempt.box}"
        if box in span.claimed:
            return span.began_at > attempt.sent_at
        links = ("replica/", "link/>", f"link/{attempt.box}>replicas")
        return any(name.startswith(links) for name in span.claimed)

    return _delays


def _length_of(spans: Iterable[tuple[float, float]]) -> float:
    """Return the length of the union of spans."""
    total, reached_at = 0.0, float("-inf")
    for start, end in sorted(spans):
        start = max(start, reached_at)
        if end > start:
            total += end - start
            reached_at = end
    return total
