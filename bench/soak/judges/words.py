"""Promises on what replicas tell of themselves in their answers."""

from __future__ import annotations

from collections import defaultdict

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

HEEDED_AFTER_S = 2.0
"""The shortest of the users' bounds on requests to a replica that leaves."""

UNDER_WAY_S = 0.5
STRAY = 2
"""The users' bound: so many may reach a replica within its rest, after what was under way."""

LIMIT_KNOWN_AFTER_S = 3.0
"""The users' bound on how long news may take from box to box."""

LIMIT_WINDOW_S = 4.0
LIMIT_TIMES = 1.5
LIMIT_BESIDE = 5
"""The users' bound: in any window so many times the limit, and so many beside."""

_ARRIVALS = (ReplicaEventKind.RAN, ReplicaEventKind.REFUSED)


@JUDGES.register
class LeavingAnswerIsHeeded(Judge):
    """Looks for requests to a replica long after their box passed on that it leaves."""

    name = "leaving_answer_is_heeded"
    promise = (
        f"a box sends a replica nothing that came {HEEDED_AFTER_S} s after the box passed on an "
        "answer that says it leaves"
    )

    def judge(self, seen: Observations) -> Verdict:
        """Judge a play."""
        reported_at: dict[tuple[str, str], float] = {}
        for attempt in seen.attempts:
            if attempt.says_leaving and attempt.seal:
                pair = (attempt.box, attempt.instance)
                reported_at[pair] = min(reported_at.get(pair, float("inf")), attempt.ended_at)
        looked_at = 0
        findings = []
        for event in _arrivals(seen):
            attempt = seen.attempt_of[event.request_id]
            at = reported_at.get((attempt.box, event.instance))
            if at is None or attempt.sent_at < at:
                continue
            looked_at += 1
            late_s = attempt.sent_at - at
            if late_s > HEEDED_AFTER_S and not _is_excused(seen, attempt.box, at, event.at):
                text = f"{attempt.box} sent to {event.instance} {late_s:.1f} s after it said so"
                findings.append(Finding(at=event.at, request_id=event.request_id, text=text))
        return Verdict(looked_at=looked_at, findings=findings)


@JUDGES.register
class RestIsGiven(Judge):
    """Counts what reaches a replica from a box within the rest that it asked the box for."""

    name = "rest_is_given"
    promise = f"{STRAY} requests of a box at most reach a replica within the rest it asked for"

    def judge(self, seen: Observations) -> Verdict:
        """Judge a play."""
        by_way: dict[tuple[str, str], list[ReplicaEvent]] = defaultdict(list)
        for event in _arrivals(seen):
            by_way[seen.attempt_of[event.request_id].box, event.instance].append(event)
        looked_at = 0
        findings = []
        for (box, instance), arrivals in by_way.items():
            for asked in (event for event in arrivals if event.asked_rest_s):
                looked_at += 1
                over_at = asked.at + asked.asked_rest_s
                within = [e for e in arrivals if asked.at + UNDER_WAY_S < e.at < over_at]
                if len(within) > STRAY and not _is_excused(seen, box, asked.at, over_at):
                    text = f"{instance} asked {box} for rest and got {len(within)} requests"
                    findings.append(Finding(at=within[STRAY].at, text=text))
        return Verdict(looked_at=looked_at, findings=findings)


@JUDGES.register
class LimitIsKept(Judge):
    """Counts what reaches a replica that names a limit, from all boxes that passed it on."""

    name = "limit_is_kept"
    promise = (
        f"within {LIMIT_WINDOW_S} s a replica gets {LIMIT_TIMES} times the limit that it names and "
        f"{LIMIT_BESIDE} requests at most"
    )

    def judge(self, seen: Observations) -> Verdict:
        """Judge a play."""
        by_replica: dict[str, list[ReplicaEvent]] = defaultdict(list)
        for event in _arrivals(seen):
            by_replica[event.instance].append(event)
        looked_at = 0
        findings = []
        for instance, arrivals in by_replica.items():
            first_at = min((e.at for e in arrivals if e.named_per_s >= 0), default=float("inf"))
            counted = _from_told_boxes(seen, arrivals)
            for event in counted:
                if event.named_per_s < 0 or event.at < first_at + LIMIT_KNOWN_AFTER_S:
                    continue
                looked_at += 1
                within = [e for e in counted if event.at - LIMIT_WINDOW_S < e.at <= event.at]
                borne = LIMIT_TIMES * LIMIT_WINDOW_S * event.named_per_s + LIMIT_BESIDE
                if len(within) > borne:
                    text = f"{instance} names {event.named_per_s} a second, got {len(within)}"
                    findings.append(Finding(at=event.at, text=text, request_id=event.request_id))
        return Verdict(looked_at=looked_at, findings=findings)


def _from_told_boxes(seen: Observations, arrivals: list[ReplicaEvent]) -> list[ReplicaEvent]:
    """Return the arrivals from boxes that had passed the limit on, and were untouched since."""
    reported_at: dict[str, float] = {}
    for event in arrivals:
        attempt = seen.attempt_of[event.request_id]
        if event.named_per_s >= 0 and attempt.seal and attempt.instance == event.instance:
            reported_at[attempt.box] = min(
                reported_at.get(attempt.box, float("inf")), attempt.ended_at
            )
    counted = []
    for event in arrivals:
        box = seen.attempt_of[event.request_id].box
        at = reported_at.get(box, float("inf"))
        if event.at >= at + UNDER_WAY_S and not _is_excused(seen, box, at, event.at):
            counted.append(event)
    return counted


def _arrivals(seen: Observations) -> list[ReplicaEvent]:
    """Return what callers sent and a replica ran or turned away, in order."""
    found = [
        event
        for event in seen.replica_events
        if event.kind in _ARRIVALS and event.request_id in seen.attempt_of
    ]
    return sorted(found, key=lambda event: event.at)


def _is_excused(seen: Observations, box: str, start: float, end: float) -> bool:
    """Whether a box ended, stood still or was cut off meanwhile, or the machine stood still."""

    def _names_box(held: str) -> bool:
        return held == f"box/{box}" or (held.startswith("link/") and f"{box}>" in held)

    touched = any(
        span.began_at < end and span.ended_at > start and any(map(_names_box, span.holds))
        for span in seen.spans
    )
    return touched or seen.paused_s(start, end) > 0.0
