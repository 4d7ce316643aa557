"""The way of one request through this box: its time bounds, and what was tried for it."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.configuration import Route, RouteKind
from springrock.forwarding.dialect import NO_NOTICE, ReplicaNotice
from springrock.forwarding.eligibility import ANYWHERE, Bounds
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.keys import UNKEYED, Admission
from springrock.forwarding.message import ClientRequest

_DEFAULT_DEADLINE_S = 60.0
_MIN_FIRST_EVENT_TIMEOUT_S = 2.0
_TARGETS_PER_TIMEOUT = 4
_GAPS_PER_TIMEOUT = 8


class AttemptOutcome(StrEnum):
    """How one attempt at one replica ended."""

    UNDER_WAY = "under_way"
    ANSWERED = "answered"
    FAILED = "failed"
    """The replica answered that it failed."""
    UNREACHABLE = "unreachable"
    WITHHELD = "withheld"
    """It was not sent, as the replica was not to get it any more once it could be."""
    FULL = "full"
    CHANGED = "changed"
    BROKEN = "broken"
    SILENT = "silent"

    @property
    def arrived(self) -> bool:
        """Whether the replica got the request."""
        return self not in (AttemptOutcome.UNREACHABLE, AttemptOutcome.WITHHELD)

    @property
    def may_have_run(self) -> bool:
        """Whether the replica may have run the request."""
        return self not in (
            AttemptOutcome.UNREACHABLE,
            AttemptOutcome.WITHHELD,
            AttemptOutcome.FULL,
            AttemptOutcome.CHANGED,
        )


class Attempt(Struct, kw_only=True):
    """One attempt at one replica.

    Attributes:
        began_s: When it began, in seconds from when the request was received.
        record_age_s: How old the replica's record was then.
        notice: What the answer told of the replica itself.
    """

    instance: str
    began_s: float
    record_age_s: float
    outcome: AttemptOutcome = AttemptOutcome.UNDER_WAY
    notice: ReplicaNotice = NO_NOTICE

    def __str__(self) -> str:
        """Say how it went, for logs."""
        notice_text = ", says it leaves" if self.notice.leaving else ""
        if self.notice.backoff_s:
            notice_text += f", asks for {self.notice.backoff_s:.2f} s of rest"
        if self.notice.limit_per_s is not None:
            notice_text += f", takes {self.notice.limit_per_s:.2f} requests a second"
        return (
            f"{self.instance} {self.outcome} at {self.began_s} s, "
            f"record of {self.record_age_s} s{notice_text}"
        )


class RequestProgress:
    """One request on its way.

    Args:
        request: The client's request.
        route: Its route.
        service: The service picked for it.
        admission: What was found of its key.

    Attributes:
        fingerprint: Tells the request from others, whatever the id of this try.
        attempts: What was tried, in order.
        ends_at: When it must have its final answer, on the local monotonic clock.
        first_event_by: When the client gives up a stream that has not begun.
        last_event_id: The last event that the client has, or is about to have.
        resuming: Whether events of this box's own have gone to the client.
        bounds: Where it may be served.
    """

    def __init__(
        self,
        request: ClientRequest,
        route: Route,
        service: str,
        admission: Admission = UNKEYED,
    ) -> None:
        self.request = request
        self.fingerprint = Fingerprint.from_request(request)
        self.admission = admission
        self.route = route
        self.service = service
        self.attempts: list[Attempt] = []
        received_at = request.received_at
        deadlines_s = [_DEFAULT_DEADLINE_S if request.deadline_s is None else request.deadline_s]
        if route.timeout_s is not None:
            deadlines_s.append(route.timeout_s)
        self.ends_at = received_at + min(deadlines_s)
        self.first_event_deadline = min(self.ends_at, received_at + self.first_event_timeout_s)
        self.last_event_id = request.last_event_id
        self.resuming = False
        self.bounds = _intersect_bounds(route, admission)

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def priority(self) -> int:
        """Its rank, 0 the highest: that of its team, if that has one, else that of its route."""
        team = self.admission.team
        return self.route.priority if team is None or team.priority is None else team.priority

    @property
    def first_event_timeout_s(self) -> float:
        """How long a client of a stream waits for the next event."""
        if not self.streaming:
            return _DEFAULT_DEADLINE_S
        return max(
            _MIN_FIRST_EVENT_TIMEOUT_S,
            _TARGETS_PER_TIMEOUT * self.route.target_s,
            _GAPS_PER_TIMEOUT * self.route.gap_s,
        )

    @property
    def left_s(self) -> float:
        """Seconds until the final answer is due."""
        return self.ends_at - monotonic()

    @property
    def target_at(self) -> float:
        """When the answer is late."""
        return self.request.received_at + self.route.target_s

    @property
    def age_s(self) -> float:
        """Seconds since the request was received."""
        return monotonic() - self.request.received_at

    def begin(self, instance: str, *, record_age_s: float) -> Attempt:
        """Note a new attempt."""
        attempt = Attempt(
            instance=instance, began_s=round(self.age_s, 4), record_age_s=round(record_age_s, 3)
        )
        self.attempts.append(attempt)
        return attempt

    def record_event(self, event_id: str) -> None:
        """Note that an event goes to the client."""
        self.last_event_id = event_id
        self.resuming = True

    def attempt_summaries(self) -> list[str]:
        """Return what was tried, for logs."""
        return [str(attempt) for attempt in self.attempts]

    @property
    def tried(self) -> frozenset[str]:
        """The replicas that it must not be tried at again.

        One that lacked the adapter may be tried again, once it is said to hold it.
        """
        return frozenset(
            attempt.instance
            for attempt in self.attempts
            if attempt.outcome is not AttemptOutcome.CHANGED or not self.request.adapter
        )

    @property
    def failed_at(self) -> frozenset[str]:
        """The replicas that were reached and failed it, which may well run it the next time."""
        return frozenset(
            attempt.instance
            for attempt in self.attempts
            if attempt.outcome in (AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
        )

    @property
    def arrivals(self) -> int:
        """How many replicas got it."""
        return sum(attempt.outcome.arrived for attempt in self.attempts)

    @property
    def runs(self) -> int:
        """How many replicas may have run it."""
        return sum(attempt.outcome.may_have_run for attempt in self.attempts)

    @property
    def may_run_again(self) -> bool:
        """Whether another replica may run it, after what was tried."""
        if self.runs == 0:
            return True
        return self.route.repeatable and self.runs < self.route.attempts


def _intersect_bounds(route: Route, admission: Admission) -> Bounds:
    """Return where a request may be served: route and team both bind, where they say something."""
    team = admission.team
    region_sets = (route.regions, None if team is None else team.regions)
    restricting = [regions for regions in region_sets if regions is not None]
    return Bounds(frozenset.intersection(*restricting)) if restricting else ANYWHERE
