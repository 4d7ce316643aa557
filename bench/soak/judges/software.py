"""Judges of promises about streams while replicas of several software versions serve."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from bench.soak.bodies import event_ids, software_in
from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Attempt, FaultSpan, Observations
from bench.soak.shape import RESUMABLE
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

MIN_TAKEN_UP = 12
"""The users' bound: fewer streams that clients take up are not judged."""

MIN_SHARE = 0.5
"""The users' bound: this part of the share of new streams that begin."""

MIN_SERVING = 2
"""The users' bound: so many replicas of its version serve when a stream is taken up."""

SETTLED_S = 1.0
"""Time without a fault before a request that is judged."""


@JUDGES.register
class OneSoftwareVersion(Judge):
    """Looks for streams with events of two software versions, in one answer or over all tries."""

    name = "one_software_version"
    promise = "a stream holds events of one software version only"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts_of: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in observations.attempts:
            if attempt.status == 200 and software_in(attempt.body):
                attempts_of[attempt.stream].append(attempt)
        # The last release compares no versions.
        judged = {
            stream: attempts
            for stream, attempts in attempts_of.items()
            if not any(map(observations.is_by_earlier_build, attempts))
        }
        findings = []
        for stream, attempts in judged.items():
            written = [(attempt, software_in(attempt.body)) for attempt in attempts]
            if len({version for _, versions in written for version in versions}) > 1:
                tries = ", ".join(f"{one.request_id} {versions}" for one, versions in written)
                at = attempts[-1].ended_at
                findings.append(Finding(at=at, request_id=stream, text=f"was written by {tries}"))
        return Verdict(checked=len(judged), findings=findings)


@JUDGES.register
class TakenUpGoesOn(Judge):
    """Compares the share of streams that go on with that of new ones that begin."""

    name = "taken_up_goes_on"
    promise = (
        f"of {MIN_TAKEN_UP} or more streams that callers take up at boxes in touch, while "
        f"{MIN_SERVING} replicas of their version serve, at least {MIN_SHARE} as many go on as new "
        "ones begin"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        service = _Service(observations.replica_events)
        began: list[bool] = []
        went_on: list[bool] = []
        for attempt in _undisturbed(observations):
            brought_any = attempt.status == 200 and bool(event_ids(attempt.body))
            if not attempt.resumes:
                began.append(brought_any)
                continue
            origin = observations.attempt_of[attempt.resumes]
            if observations.is_by_earlier_build(origin):
                continue
            version = "".join(software_in(origin.body)[:1])
            if service.serving(version, attempt.sent_at, attempt.ended_at) >= MIN_SERVING:
                went_on.append(brought_any)
        if len(went_on) < MIN_TAKEN_UP or not began:
            return Verdict(checked=0, findings=[])
        share, share_of_new = sum(went_on) / len(went_on), sum(began) / len(began)
        findings = []
        if share < MIN_SHARE * share_of_new:
            text = f"{share:.2f} of {len(went_on)} went on, {share_of_new:.2f} of new ones began"
            findings.append(Finding(at=observations.attempts[0].sent_at, text=text))
        return Verdict(checked=len(went_on), findings=findings)


class _Service:
    """When the replicas of each software version served."""

    def __init__(self, events: list[ReplicaEvent]) -> None:
        self._software: dict[str, str] = {}
        self._runs: dict[str, list[float]] = defaultdict(list)
        self._leaves_at: dict[str, float] = {}
        for event in events:
            self._software[event.instance] = event.software
            if event.kind is ReplicaEventKind.RAN:
                self._runs[event.instance].append(event.at)
            elif event.kind is ReplicaEventKind.LEAVING_ACKNOWLEDGED:
                self._leaves_at[event.instance] = event.at

    def serving(self, version: str, start: float, end: float) -> int:
        """Count the replicas that ran requests before a span and after it, none of them leaving."""
        return sum(
            self._software[instance] == version
            and min(runs) <= start
            and max(runs) >= end
            and self._leaves_at.get(instance, float("inf")) > end
            for instance, runs in self._runs.items()
        )


def _undisturbed(observations: Observations) -> Iterator[Attempt]:
    """Yield attempts at resumable streams that no fault of their box or of engines touched."""
    for attempt in observations.attempts:
        if attempt.route not in RESUMABLE or attempt.repeated_path:
            continue
        since = attempt.sent_at - SETTLED_S
        touched = any(
            span.began_at < attempt.ended_at
            and span.ended_at > since
            and _touches(span, attempt.box)
            for span in observations.spans
        )
        if not touched and not observations.paused_s(since, attempt.ended_at):
            yield attempt


def _touches(span: FaultSpan, box: str) -> bool:
    """Whether a fault touches a box or an engine; a release is no fault of either."""
    if "release" in span.claimed:
        return False
    return any(
        name in ("store", f"box/{box}", f"link/{box}>store")
        or name.startswith(("replica/language", "link/>language", "request/"))
        for name in span.claimed
    )
