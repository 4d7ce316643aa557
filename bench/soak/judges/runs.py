"""Judges of promises about how often requests run, and about refusals that exclude a run."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations
from bench.soak.shape import RETRY_ALLOWANCE, RETRY_RATIO, RETRY_WINDOW_S
from springrock.emulator.replica_events import ReplicaEventKind

_ARRIVALS = (ReplicaEventKind.RAN, ReplicaEventKind.REFUSED, ReplicaEventKind.MISDIRECTED)


@JUDGES.register
class AtMostOnce(Judge):
    """Counts the runs of requests that may not be repeated."""

    name = "at_most_once"
    promise = "a request that is not repeatable runs at most once"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts = [attempt for attempt in observations.attempts if not attempt.repeatable]
        findings = []
        for attempt in attempts:
            runs = observations.runs_of.get(attempt.request_id, [])
            if len(runs) > 1:
                places = ", ".join(run.instance for run in runs)
                text = f"a request on {attempt.route} ran {len(runs)} times, at {places}"
                findings.append(Finding(at=runs[1].at, request_id=attempt.request_id, text=text))
        return Verdict(checked=len(attempts), findings=findings)


@JUDGES.register
class NotRunIsTrue(Judge):
    """Looks for runs of requests of which a box promised that they do not run."""

    name = "not_run_is_true"
    promise = "a request that a box answers with 503, 429, 408 or 421 never runs"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        attempts = [attempt for attempt in observations.attempts if attempt.promised_not_run]
        findings = []
        for attempt in attempts:
            runs = observations.runs_of.get(attempt.request_id, [])
            if runs:
                text = f"answered {attempt.status} by {attempt.box}, ran at {runs[0].instance}"
                findings.append(Finding(at=runs[0].at, request_id=attempt.request_id, text=text))
        return Verdict(checked=len(attempts), findings=findings)


@JUDGES.register
class NothingUnrequested(Judge):
    """Looks for runs of requests that no caller sent, or that were changed on the way."""

    name = "nothing_unasked"
    promise = "replicas run only what callers sent, unchanged"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        findings = []
        for request_id, runs in observations.runs_of.items():
            attempt = observations.attempt_of.get(request_id)
            expected = "" if attempt is None else attempt.path
            findings += [
                Finding(at=run.at, request_id=request_id, text=f"ran as {run.path!r}")
                for run in runs
                if attempt is None or run.path != expected
            ]
        return Verdict(checked=len(observations.runs_of), findings=findings)


@JUDGES.register
class RetryBudgetHolds(Judge):
    """Compares repeated arrivals of requests in every window with the retry budget."""

    name = "retry_budget"
    promise = "all boxes together stay within each service's retry budget"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        services = {event.service for event in observations.replica_events}
        verdicts = [self._judge_service(observations, service) for service in sorted(services)]
        return Verdict(
            checked=sum(verdict.checked for verdict in verdicts),
            findings=[finding for verdict in verdicts for finding in verdict.findings],
        )

    def _judge_service(self, observations: Observations, service: str) -> Verdict:
        arrivals = sorted(
            (event.at, event.request_id)
            for event in observations.replica_events
            if event.service == service and event.kind in _ARRIVALS
        )
        repeats: list[float] = []
        arrived_ids: set[str] = set()
        for at, request_id in arrivals:
            if request_id in arrived_ids:
                repeats.append(at)
            arrived_ids.add(request_id)
        sent = sorted(
            attempt.sent_at
            for attempt in observations.attempts
            if any(
                change.configured.service_of(attempt.route) == service
                for change in observations.changes
            )
        )
        findings = []
        for number, start in enumerate(repeats):
            count = bisect_right(repeats, start + RETRY_WINDOW_S) - number
            allowed = RETRY_RATIO * _requests_for(sent, start) + RETRY_ALLOWANCE
            if count > allowed + RETRY_RATIO * observations.paused_s(start, start + RETRY_WINDOW_S):
                text = f"{service}: {count} repeats in {RETRY_WINDOW_S} s, {allowed:.1f} allowed"
                findings.append(Finding(at=start, text=text))
        return Verdict(checked=len(repeats), findings=findings[:1])


def _requests_for(sent: list[float], start: float) -> int:
    """Return the most requests in this window or in one that begins half or one window earlier."""
    shifts = (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
    return max(
        bisect_right(sent, start - shift + RETRY_WINDOW_S) - bisect_left(sent, start - shift)
        for shift in shifts
    )
