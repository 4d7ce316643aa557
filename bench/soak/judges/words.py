"""Judges of promises about the notices that replicas give in the headers of their answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

NOTICE_APPLY_S = 2.0
"""The shortest of the users' bounds on requests to a leaving replica."""

IN_FLIGHT_S = 0.5
"""Requests that arrive up to this long after a notice were in flight when it was given."""

MAX_REQUESTS_IN_BACKOFF = 2
"""The users' bound on requests that reach a replica during the back-off that it asked for. Requests
in flight when it asked do not count."""

LIMIT_PROPAGATION_S = 3.0
"""The users' bound on how long an update may take from box to box."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""The users' bound: in any window a replica gets at most the factor times its limit for the window,
plus the extra requests."""

RESTART_S = 2.0
"""Time in which a replica that ended starts again."""

_ARRIVALS = (ReplicaEventKind.RAN, ReplicaEventKind.REFUSED)


@JUDGES.register
class LeavingNoticeIsRespected(Judge):
    """Looks for requests to a replica after their box forwarded its notice that it is leaving."""

    name = "leaving_answer_is_heeded"
    promise = (
        f"a box sends a replica no request that came {NOTICE_APPLY_S} s or more after the box "
        "forwarded an answer that says the replica is leaving"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        reported_at: dict[tuple[str, str], float] = {}
        for attempt in observations.attempts:
            if attempt.says_leaving and attempt.seal:
                pair = (attempt.box, attempt.instance)
                reported_at[pair] = min(reported_at.get(pair, float("inf")), attempt.ended_at)
        checked = 0
        findings = []
        for event in _arrivals(observations):
            attempt = observations.attempt_of[event.request_id]
            at = reported_at.get((attempt.box, event.instance))
            if at is None or attempt.sent_at < at:
                continue
            checked += 1
            late_s = attempt.sent_at - at
            if late_s > NOTICE_APPLY_S and not _is_excused(observations, attempt.box, at, event.at):
                text = f"{attempt.box} sent to {event.instance} {late_s:.1f} s after its notice"
                findings.append(Finding(at=event.at, request_id=event.request_id, text=text))
        return Verdict(checked=checked, findings=findings)


@JUDGES.register
class BackOffIsRespected(Judge):
    """Counts requests of a box that reach a replica during the back-off it asked for."""

    name = "rest_is_given"
    promise = (
        f"at most {MAX_REQUESTS_IN_BACKOFF} requests of a box reach a replica during the back-off "
        "it asked for"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        by_box_and_replica: dict[tuple[str, str], list[ReplicaEvent]] = defaultdict(list)
        for event in _arrivals(observations):
            by_box_and_replica[
                observations.attempt_of[event.request_id].box, event.instance
            ].append(event)
        checked = 0
        findings = []
        for (box, instance), arrivals in by_box_and_replica.items():
            for refusal in arrivals:
                if not refusal.asked_rest_s or not _could_be_heard(observations, refusal):
                    continue
                checked += 1
                ends_at = refusal.at + refusal.asked_rest_s
                within = [e for e in arrivals if refusal.at + IN_FLIGHT_S < e.at < ends_at]
                if len(within) > MAX_REQUESTS_IN_BACKOFF and not _is_excused(
                    observations, box, refusal.at, ends_at
                ):
                    text = f"{instance} asked {box} to back off and got {len(within)} requests"
                    findings.append(Finding(at=within[MAX_REQUESTS_IN_BACKOFF].at, text=text))
        return Verdict(checked=checked, findings=findings)


def _could_be_heard(observations: Observations, refusal: ReplicaEvent) -> bool:
    """Whether the box still waited for the answer, and had not closed the connection."""
    return refusal.at <= observations.attempt_of[refusal.request_id].ended_at


@JUDGES.register
class LimitIsRespected(Judge):
    """Counts requests that reach a replica from all boxes that have forwarded its limit."""

    name = "limit_is_kept"
    promise = (
        f"within {LIMIT_WINDOW_S} s a replica gets at most {LIMIT_FACTOR} times the limit that it "
        f"names and {LIMIT_EXTRA} more requests"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        by_replica: dict[str, list[ReplicaEvent]] = defaultdict(list)
        for event in _arrivals(observations):
            by_replica[event.instance].append(event)
        checked = 0
        findings = []
        for instance, arrivals in by_replica.items():
            first_at = min((e.at for e in arrivals if e.named_per_s >= 0), default=float("inf"))
            counted = _from_informed_boxes(observations, arrivals)
            for event in counted:
                if event.named_per_s < 0 or event.at < first_at + LIMIT_PROPAGATION_S:
                    continue
                checked += 1
                within = [e for e in counted if event.at - LIMIT_WINDOW_S < e.at <= event.at]
                allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * event.named_per_s + LIMIT_EXTRA
                if len(within) > allowed:
                    text = f"{instance} names {event.named_per_s} a second, got {len(within)}"
                    findings.append(Finding(at=event.at, text=text, request_id=event.request_id))
        return Verdict(checked=checked, findings=findings)


def _from_informed_boxes(
    observations: Observations, arrivals: list[ReplicaEvent]
) -> list[ReplicaEvent]:
    """Return the arrivals from boxes that had forwarded the limit and had no fault since."""
    reported_at: dict[str, float] = {}
    for event in arrivals:
        attempt = observations.attempt_of[event.request_id]
        if event.named_per_s >= 0 and attempt.seal and attempt.instance == event.instance:
            reported_at[attempt.box] = min(
                reported_at.get(attempt.box, float("inf")), attempt.ended_at
            )
    counted = []
    for event in arrivals:
        box = observations.attempt_of[event.request_id].box
        at = reported_at.get(box, float("inf"))
        if event.at >= at + IN_FLIGHT_S and not _is_excused(observations, box, at, event.at):
            counted.append(event)
    return counted


def _arrivals(observations: Observations) -> list[ReplicaEvent]:
    """Return the requests of callers that a replica ran or refused, in order of time.

    A box that reaches no replica passes requests on to another box, and no one outside the boxes
    sees which box sent a request to its replica. Those that came while a replica of their service
    was down are left out.
    """
    found = [
        event
        for event in observations.replica_events
        if event.kind in _ARRIVALS
        and event.request_id in observations.attempt_of
        and not _may_be_passed_on(observations, event)
    ]
    return sorted(found, key=lambda event: event.at)


def _may_be_passed_on(observations: Observations, event: ReplicaEvent) -> bool:
    sent_at = observations.attempt_of[event.request_id].sent_at
    return any(
        sent_at < end and event.at > start
        for start, end in _down_times(observations, event.service)
    )


def _down_times(observations: Observations, service: str) -> Iterator[tuple[float, float]]:
    """Yield when a replica of a service may have refused connections."""
    for span in observations.spans:
        for claim in span.claimed:
            what, _, name = claim.partition("/")
            if name.rpartition("-")[0] == service and what in ("down", "ends"):
                start = span.began_at if what == "down" else span.ended_at
                yield start, span.ended_at + RESTART_S


def _is_excused(observations: Observations, box: str, start: float, end: float) -> bool:
    """Whether a box ended, was paused or cut off within a span, or the machine paused the soak."""

    def _affects_box(name: str) -> bool:
        return name == f"box/{box}" or (name.startswith("link/") and f"{box}>" in name)

    affected = any(
        span.began_at < end and span.ended_at > start and any(map(_affects_box, span.claimed))
        for span in observations.spans
    )
    return affected or observations.paused_s(start, end) > 0.0
