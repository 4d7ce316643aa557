"""The state of one request in this box: its deadlines and the attempts made so far."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.configuration import Route, RouteKind
from springrock.forwarding.dialect import NO_NOTICE, ReplicaNotice
from springrock.forwarding.eligibility import ANYWHERE, Bounds
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.keys import NO_TEAMS_ADMISSION, Admission
from springrock.forwarding.message import NO_KNOWLEDGE, ClientRequest, Knowledge
from springrock.forwarding.suspects import Suspects

_DEFAULT_DEADLINE_S = 60.0
_MIN_EVENT_TIMEOUT_S = 2.0
_TARGETS_PER_TIMEOUT = 4
_GAPS_PER_TIMEOUT = 8

_WRITING_CONFIRMED_S = 0.2
"""A replica that crashes as it begins to write may still send what it has written until then."""


class AttemptOutcome(StrEnum):
    """How one attempt at one replica ended."""

    UNDER_WAY = "under_way"
    ANSWERED = "answered"
    FAILED = "failed"
    """The replica answered with a status of 500 or above."""
    UNREACHABLE = "unreachable"
    WITHHELD = "withheld"
    """Not sent: once a connection was open, the request was no longer allowed there."""
    FULL = "full"
    CHANGED = "changed"
    BROKEN = "broken"
    SILENT = "silent"

    @property
    def arrived(self) -> bool:
        """Whether the replica may have received the request."""
        return self not in (AttemptOutcome.UNREACHABLE, AttemptOutcome.WITHHELD)

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have executed the request."""
        return self not in (
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.WITHHELD,
            AttemptOutcome.FULL,
            AttemptOutcome.CHANGED,
        )


class Attempt(Struct, kw_only=True):
    """One attempt at one replica.

    Attributes:
        began_s: Start of the attempt, in seconds after the request was received.
        record_age_s: Age of the replica's record at that time, in seconds.
        notice: What the head of the answer says about the replica itself.
        software: The version of the replica's software at that time, empty if unknown.
        request_id: The client's id of the request.
        silent: Whether the replica is silent, and this is recorded already.
        first_event_at: When the first event of the answer arrived, on the local monotonic clock;
            None before that, and for an answer without events.
    """

    instance: str
    began_s: float
    record_age_s: float
    outcome: AttemptOutcome = AttemptOutcome.UNDER_WAY
    notice: ReplicaNotice = NO_NOTICE
    software: str = ""
    request_id: str = ""
    silent: bool = False
    first_event_at: float | None = None

    @property
    def is_writing(self) -> bool:
        """Whether the replica has survived the beginning of its answer."""
        if self.first_event_at is None:
            return False
        return monotonic() - self.first_event_at >= _WRITING_CONFIRMED_S

    def __str__(self) -> str:
        """Return a summary of the attempt for log lines."""
        notice_text = ", says it leaves" if self.notice.leaving else ""
        if self.notice.backoff_s:
            notice_text += f", asks for {self.notice.backoff_s:.2f} s of rest"
        if self.notice.limit_per_s is not None:
            notice_text += f", takes {self.notice.limit_per_s:.2f} requests a second"
        software_text = f", software {self.software}" if self.software else ""
        return (
            f"{self.instance} {self.outcome} at {self.began_s} s, "
            f"record of {self.record_age_s} s{software_text}{notice_text}"
        )


class RequestProgress:
    """A request in progress.

    Args:
        request: The client's request.
        route: The route that matched it.
        service: The service picked from the route.
        admission: The team that the request's key belongs to, as found on admission.
        known: What this box knew of what decides how the request is handled, on admission.

    Attributes:
        suspects: What may be the cause if a replica crashes while running the request.
        attempts: The attempts so far, in order.
        ends_at: Deadline of the whole answer, on the local monotonic clock.
        first_event_deadline: When the client abandons a stream that has sent no event, on the
            local monotonic clock.
        last_event_id: Id of the last event sent to the client or about to be sent.
        resuming: Whether this box has sent events of the stream to the client.
        bounds: The regions, and for a stream that has begun the software version, that the
            request is restricted to.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        service: str,
        admission: Admission = NO_TEAMS_ADMISSION,
        *,
        known: Knowledge = NO_KNOWLEDGE,
    ) -> None:
        self.request = request
        self.suspects = Suspects.from_request(request)
        self.admission = admission
        self.known = known
        self.route = route
        self.service = service
        self.attempts: list[Attempt] = []
        received_at = request.received_at
        deadlines_s = [_DEFAULT_DEADLINE_S if request.deadline_s is None else request.deadline_s]
        if route.timeout_s is not None:
            deadlines_s.append(route.timeout_s)
        self.ends_at = received_at + min(deadlines_s)
        self.first_event_deadline = min(self.ends_at, received_at + self.event_timeout_s)
        self.last_event_id = request.last_event_id
        self.resuming = False
        self.bounds = _intersect_bounds(route, admission)

    @property
    def fingerprint(self) -> Fingerprint:
        """Identifies the request's content, also when it is retried under another request id."""
        return self.suspects.whole

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the parts of the prompt that other requests may have in common with it."""
        return tuple(part.part_id for part in self.request.prompt[:-1])

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of server-sent events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def priority(self) -> int:
        """The priority, 0 the highest: the team's if it has one, else the route's."""
        team = self.admission.team
        return self.route.priority if team is None or team.priority is None else team.priority

    @property
    def event_timeout_s(self) -> float:
        """Seconds that a client waits for an event of a stream, as estimated from its route."""
        if not self.streaming:
            return _DEFAULT_DEADLINE_S
        return max(
            _MIN_EVENT_TIMEOUT_S,
            _TARGETS_PER_TIMEOUT * self.route.target_s,
            _GAPS_PER_TIMEOUT * self.route.gap_s,
        )

    @property
    def left_s(self) -> float:
        """Seconds until the deadline of the whole answer."""
        return self.ends_at - monotonic()

    @property
    def target_at(self) -> float:
        """When the route's target latency is exceeded, on the local monotonic clock."""
        return self.request.received_at + self.route.target_s

    @property
    def age_s(self) -> float:
        """Seconds since the request was received."""
        return monotonic() - self.request.received_at

    def start_attempt(self, instance: str, *, record_age_s: float, software: str = "") -> Attempt:
        """Add an attempt at a replica and return it."""
        attempt = Attempt(
            instance=instance,
            began_s=round(self.age_s, 4),
            record_age_s=round(record_age_s, 3),
            software=software,
            request_id=self.request.request_id,
        )
        self.attempts.append(attempt)
        return attempt

    def record_event(self, event_id: str) -> None:
        """Record that an event is being sent to the client."""
        self.last_event_id = event_id
        self.resuming = True

    def bind_software(self, software: str) -> None:
        """Restrict the request to a software version, the one that began its stream."""
        self.bounds = self.bounds._replace(software=software)

    def attempt_summaries(self) -> list[str]:
        """Return one summary per attempt, for log lines."""
        return [str(attempt) for attempt in self.attempts]

    @property
    def tried_instances(self) -> frozenset[str]:
        """The replicas that must not be tried again.

        A replica that lacked the adapter may be tried again, as it may have loaded it since.
        """
        return frozenset(
            attempt.instance
            for attempt in self.attempts
            if attempt.outcome is not AttemptOutcome.CHANGED or not self.request.adapter
        )

    @property
    def failed_instances(self) -> frozenset[str]:
        """The replicas that were reached and failed the request; another attempt may succeed."""
        return frozenset(
            attempt.instance
            for attempt in self.attempts
            if attempt.outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
        )

    @property
    def arrivals(self) -> int:
        """How many replicas may have received the request."""
        return sum(attempt.outcome.arrived for attempt in self.attempts)

    @property
    def runs(self) -> int:
        """How many replicas may have executed the request."""
        return sum(attempt.outcome.may_have_run for attempt in self.attempts)

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows another replica to run the request after these attempts."""
        if self.runs == 0:
            return True
        return self.route.repeatable and self.runs < self.route.attempts


def _intersect_bounds(route: Route, admission: Admission) -> Bounds:
    """Return the regions that both the route and the team allow; None restricts nothing."""
    team = admission.team
    region_sets = (route.regions, None if team is None else team.regions)
    restricting = [regions for regions in region_sets if regions is not None]
    return Bounds(frozenset.intersection(*restricting)) if restricting else ANYWHERE
