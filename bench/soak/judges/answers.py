"""Judges of promises about answers: complete, of the right request, and exactly resumed."""

from __future__ import annotations

from bench.soak.bodies import event_ids, foreign_bytes, plain_body
from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Attempt, Observations
from bench.soak.shape import STREAM_EVENTS, STREAMS


@JUDGES.register
class OwnWholeAnswer(Judge):
    """Compares each success with the only correct answer to its request."""

    name = "own_whole_answer"
    promise = "a success is the complete answer of a replica to this very request"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts = _judged(observations)
        findings = [
            Finding(at=attempt.ended_at, request_id=attempt.request_id, text=text)
            for attempt in attempts
            if (text := _mismatch_of(attempt))
        ]
        return Verdict(checked=len(attempts), findings=findings)


def _judged(observations: Observations) -> list[Attempt]:
    """Return the successes, without those that the last release may have cut short unseen.

    The last release takes the end of a connection for the end of an answer without a length.
    """
    return [
        attempt
        for attempt in observations.attempts
        if attempt.status == 200
        and not (
            observations.is_by_earlier_build(attempt)
            and observations.is_beside_unframed_answers(attempt)
        )
    ]


def _mismatch_of(attempt: Attempt) -> str:
    if attempt.seal != f"seal-of-{attempt.request_id}":
        return f"has seal {attempt.seal!r}"
    if attempt.echoed_id != attempt.request_id:
        return f"has request id {attempt.echoed_id!r}"
    if attempt.route in STREAMS or not attempt.is_complete:
        return ""
    if attempt.body == plain_body(f"/{attempt.route}/{attempt.request_id}"):
        return ""
    return f"framed by {attempt.framing}, has body {attempt.body[:60]!r}"


@JUDGES.register
class ExactContinuation(Judge):
    """Checks the event numbers of each stream."""

    name = "exact_continuation"
    promise = "a stream has each event once and in order, and all events if it ends normally"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts = [one for one in _judged(observations) if one.route in STREAMS]
        findings = []
        for attempt in attempts:
            ids = event_ids(attempt.body)
            first = attempt.last_event_id + 1
            if ids != list(range(first, first + len(ids))):
                text = f"has events {ids} after event {attempt.last_event_id}"
            elif attempt.is_complete and attempt.last_event_id + len(ids) != STREAM_EVENTS:
                text = f"ends normally after {len(ids)} of {STREAM_EVENTS - first + 1} events"
            else:
                continue
            findings.append(Finding(at=attempt.ended_at, request_id=attempt.request_id, text=text))
        return Verdict(checked=len(attempts), findings=findings)


@JUDGES.register
class WholeEvents(Judge):
    """Looks for bytes of streams that are not part of a whole event."""

    name = "whole_events"
    promise = "a stream consists of whole events, even if it breaks off"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts = [one for one in _judged(observations) if one.route in STREAMS]
        findings = []
        for attempt in attempts:
            foreign = foreign_bytes(attempt.body)
            if foreign and not _ended_by_its_box(observations, attempt):
                text = f"has {foreign[:40]!r} after {len(event_ids(attempt.body))} events"
                findings.append(
                    Finding(at=attempt.ended_at, request_id=attempt.request_id, text=text)
                )
        return Verdict(checked=len(attempts), findings=findings)


def _ended_by_its_box(observations: Observations, attempt: Attempt) -> bool:
    """Whether an answer broke off while a fault held its box, which may end in a write."""
    return not attempt.is_complete and any(
        f"box/{attempt.box}" in span.claimed and span.began_at <= attempt.ended_at <= span.ended_at
        for span in observations.spans
    )
