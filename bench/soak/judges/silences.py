"""The judge of the promise that the silence of a replica ends no answer."""

from __future__ import annotations

from collections import defaultdict

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.judges.placement import CONFIGURATION_APPLY_S
from bench.soak.observations import LEFT, Attempt, FaultSpan, Observations, delays_updates
from springrock.emulator.replica_events import AnswerEnd, ReplicaEvent, ReplicaEventKind

_ROUNDING_S = 0.002
"""Deadlines are sent in whole milliseconds, once from the caller and once from box to box."""


@JUDGES.register
class SilenceEndsNothing(Judge):
    """Looks for answers that ended early while their replica was able to finish them."""

    name = "silence_ends_nothing"
    promise = (
        "an answer that a replica has begun to work on ends early only if the replica breaks it "
        "off or ends, its time is over, its caller leaves, or a fault affects its box or its links"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        ends = _ends_of(observations.replica_events)
        checked = 0
        findings = []
        for attempt, runs in observations.attempted_runs():
            checked += 1
            if not _ended_early(attempt) or _was_out_of_time(observations, attempt):
                continue
            if _broke_off(attempt, runs, ends) or _is_excused(observations, attempt, runs):
                continue
            if _is_unconfirmed(observations, attempt, runs[-1]):
                continue
            findings.append(_finding_of(attempt, runs, ends))
        return Verdict(checked=checked, findings=findings)


def _ends_of(events: list[ReplicaEvent]) -> dict[tuple[str, str], list[str]]:
    """Return how the answers of each instance to each request ended."""
    ends: dict[tuple[str, str], list[str]] = defaultdict(list)
    for event in events:
        if event.kind is ReplicaEventKind.ENDED:
            ends[event.instance, event.request_id].append(event.detail)
    return ends


def _ended_early(attempt: Attempt) -> bool:
    """Whether the connection ended without a complete answer, be it a refusal or an error."""
    return not attempt.is_complete and not attempt.answered and attempt.error != LEFT


def _was_out_of_time(observations: Observations, attempt: Attempt) -> bool:
    """Whether the deadline or a timeout that its route may have had was reached."""
    ends_at = min(attempt.deadline_at, attempt.sent_at + _route_timeout_s(observations, attempt))
    paused_s = observations.paused_s(attempt.sent_at, attempt.ended_at)
    return attempt.ended_at >= ends_at - _ROUNDING_S - paused_s


def _route_timeout_s(observations: Observations, attempt: Attempt) -> float:
    """Return the shortest timeout that may have been in force when the box took the request."""
    runs = observations.runs_of[attempt.request_id]
    since = attempt.sent_at - CONFIGURATION_APPLY_S
    since -= observations.disturbed_s(since, attempt.sent_at, delays_updates)
    changes = [change for change in observations.changes if change.began_at <= runs[0].at]
    older = [change for change in changes if change.acknowledged_at <= since]
    possible = [*older[-1:], *(change for change in changes if change.acknowledged_at > since)]
    return min(change.configured.timeout_s for change in possible)


def _broke_off(
    attempt: Attempt, runs: list[ReplicaEvent], ends: dict[tuple[str, str], list[str]]
) -> bool:
    """Whether a replica that may have written the last event did not end its answer properly."""
    serving = [run for run in runs if run.first_event <= attempt.last_event] or runs
    for run in serving:
        own = ends.get((run.instance, run.request_id), [])
        if AnswerEnd.BROKEN_OFF in own or AnswerEnd.ENDLESS in own:
            return True
        if len(own) < sum(other.instance == run.instance for other in runs):
            return True
    return False


def _is_unconfirmed(observations: Observations, attempt: Attempt, run: ReplicaEvent) -> bool:
    """Whether the replica's process ended after an answer that only its connection ended.

    Such an answer is whole only if the replica lives on.
    """
    framing = f"framing/{observations.replica_names.get(run.instance, '')}"
    was_unframed = any(
        framing in span.claimed and span.began_at <= run.at <= span.ended_at
        for span in observations.spans
    )
    return was_unframed and not any(
        event.instance == run.instance and event.at > attempt.ended_at
        for event in observations.replica_events
    )


def _is_excused(observations: Observations, attempt: Attempt, runs: list[ReplicaEvent]) -> bool:
    """Whether a fault of the attempt's box, or of its links to its replicas, acted meanwhile."""
    replicas = {observations.replica_names.get(run.instance, "") for run in runs}
    return any(
        span.began_at <= attempt.ended_at
        and span.ended_at >= attempt.sent_at
        and _affects(span, attempt.box, replicas)
        for span in observations.spans
    )


def _affects(span: FaultSpan, box: str, replicas: set[str]) -> bool:
    """Whether a fault affects a box, or its links to some replicas.

    A link that is silent for a moment in place of its replica is no excuse.
    """
    if f"box/{box}" in span.claimed or f"link/{box}>replicas" in span.claimed:
        return True
    return any(
        f"link/>{replica}" in span.claimed and f"replica/{replica}" not in span.claimed
        for replica in replicas
    )


def _finding_of(
    attempt: Attempt, runs: list[ReplicaEvent], ends: dict[tuple[str, str], list[str]]
) -> Finding:
    lasted_s = attempt.ended_at - attempt.sent_at
    places = ", ".join(
        f"{run.instance} from event {run.first_event} "
        f"({'/'.join(ends[run.instance, run.request_id])})"
        for run in runs
    )
    text = (
        f"{attempt.route} at {attempt.box} ended after {lasted_s:.2f} s and event "
        f"{attempt.last_event} ({attempt.status} {attempt.error}), ran at {places}"
    )
    return Finding(at=attempt.ended_at, request_id=attempt.request_id, text=text)
