"""Judges of the promises about replicas whose answers have no end."""

from __future__ import annotations

from bench.soak.faults.endless import EndlessAnswers
from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.judges.service import RECOVERY_S
from bench.soak.observations import Attempt, BoxMemory, Call, Observations
from bench.soak.shape import STREAMS
from springrock.emulator.replica_events import AnswerEnd, ReplicaEventKind

TARGET_S = 1.0
"""The target of the routes."""

ANSWER_WITHIN_S = 0.5
"""Time after its deadline by which a caller must have its answer or the end of its connection."""

MAX_MEMORY_MB = 160.0
"""The memory of the smallest machines."""

_OF_REPLICAS = ("replica/", "ends/", "down/", "framing/")
"""The claims that concern single replicas; what follows is the name of the replica."""


@JUDGES.register
class EndlessAnswersHoldNothing(Judge):
    """Checks calls to other services while replicas of one send answers without end."""

    name = "endless_answers_hold_nothing"
    promise = (
        "while replicas of a service send answers without end, calls to other services are "
        f"answered, and plain requests of these calls within their target of {TARGET_S} s"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts: dict[str, list[Attempt]] = {}
        for attempt in observations.attempts:
            attempts.setdefault(attempt.call, []).append(attempt)
        checked = 0
        findings = []
        for call in observations.calls:
            if not _is_beside_endless_answers(observations, call):
                continue
            checked += 1
            text = _failure_of(observations, call, attempts.get(call.call, []))
            if text:
                findings.append(Finding(at=call.began_at, text=f"{call.route} {text}"))
        return Verdict(checked=checked, findings=findings)


def _is_beside_endless_answers(observations: Observations, call: Call) -> bool:
    """Whether replicas of other services sent answers without end, and no fault affects a call."""
    if call.key == "few":
        return False
    services = _services_of(observations, call.route)
    is_beside = False
    for span in observations.spans:
        if span.began_at > call.ended_at or span.ended_at + RECOVERY_S < call.began_at:
            continue
        if not all(_is_of_others(claim, services) for claim in span.claimed):
            return False
        is_on = span.began_at <= call.began_at <= span.ended_at
        is_beside = is_beside or (is_on and span.name == EndlessAnswers.name)
    return is_beside


def _services_of(observations: Observations, route: str) -> frozenset[str]:
    return frozenset(change.configured.service_of(route) for change in observations.changes)


def _is_of_others(claim: str, services: frozenset[str]) -> bool:
    """Whether what a fault claims is of a replica, and of another service than these."""
    service, _, _ = claim.partition("/")[2].rpartition("-")
    return claim.startswith(_OF_REPLICAS) and service not in services


def _failure_of(observations: Observations, call: Call, attempts: list[Attempt]) -> str:
    """Return how a call failed; empty if it was answered in time."""
    if not call.answered:
        return f"was not answered: {call.last}"
    if call.route in STREAMS:
        return ""
    for attempt in attempts:
        took_s = attempt.ended_at - attempt.sent_at
        took_s -= observations.paused_s(attempt.sent_at, attempt.ended_at)
        if took_s > TARGET_S:
            return f"took {took_s:.2f} s at {attempt.box}: {attempt.request_id} {attempt.status}"
    return ""


@JUDGES.register
class EndlessAnswersEnd(Judge):
    """Checks when callers heard of requests that ran at a replica whose answer has no end."""

    name = "endless_answers_end"
    promise = (
        "a caller whose request a replica answers without end has its own answer or the end of "
        f"its connection {ANSWER_WITHIN_S} s after its deadline at the latest"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        endless = {
            event.request_id
            for event in observations.replica_events
            if event.kind is ReplicaEventKind.ENDED and event.detail == AnswerEnd.ENDLESS
        }
        attempts = [item for item in observations.attempts if item.request_id in endless]
        findings = [
            Finding(
                at=attempt.deadline_at,
                request_id=attempt.request_id,
                text=f"{attempt.route} at {attempt.box} ended {_lateness_of(attempt)}",
            )
            for attempt in attempts
            if _is_late(observations, attempt)
        ]
        return Verdict(checked=len(attempts), findings=findings)


def _is_late(observations: Observations, attempt: Attempt) -> bool:
    until = attempt.deadline_at + ANSWER_WITHIN_S
    if attempt.settled_at <= until + observations.paused_s(attempt.sent_at, attempt.settled_at):
        return False
    return not any(
        span.began_at <= until
        and span.ended_at >= attempt.sent_at
        and f"box/{attempt.box}" in span.claimed
        for span in observations.spans
    )


def _lateness_of(attempt: Attempt) -> str:
    if attempt.settled_at == float("inf"):
        return "neither with an answer nor with its connection"
    return f"{attempt.settled_at - attempt.deadline_at:.2f} s after its deadline"


@JUDGES.register
class MemoryIsBounded(Judge):
    """Compares the memory of each box with that of the smallest machines."""

    name = "memory_is_bounded"
    promise = f"a box never holds more than {MAX_MEMORY_MB:.0f} MB"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        exceeded: dict[str, Finding] = {}
        for sample in observations.memory:
            if sample.peak_mb > MAX_MEMORY_MB and not _ran_earlier_build(observations, sample):
                text = f"{sample.box} has held {sample.peak_mb:.0f} MB"
                exceeded.setdefault(sample.box, Finding(at=sample.at, text=text))
        return Verdict(checked=len(observations.memory), findings=list(exceeded.values()))


def _ran_earlier_build(observations: Observations, sample: BoxMemory) -> bool:
    return any(
        f"build/{sample.box}" in span.claimed and span.began_at <= sample.at <= span.ended_at
        for span in observations.spans
    )
