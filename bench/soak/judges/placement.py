"""Judges of promises about adapters, their places, services and leaving replicas."""

from __future__ import annotations

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations, delays_attempt, delays_updates
from bench.soak.shape import SERVICE_OF_ROUTE
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind

LEAVING_APPLY_S = 2.5
"""Seconds after its leaving is acknowledged in which a replica may still get new requests."""

UNLOADED_IN_USE = "unloaded_in_use"

ORDER_TRANSIT_S = 0.1
"""The most time that an order takes to an engine. A run that is granted in this time may cross an
unload; engines let such runs end first."""

CONFIGURATION_APPLY_S = 5.0
"""Seconds after its acknowledgement until a configuration must be in force."""


@JUDGES.register
class RightAdapter(Judge):
    """Compares the adapter that a request ran on with the one it asked for."""

    name = "right_adapter"
    promise = "a request runs on the adapter that it names"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for attempt, runs in observations.attempted_runs():
            if not attempt.adapter:
                continue
            checked += len(runs)
            findings += [
                Finding(
                    at=run.at,
                    request_id=run.request_id,
                    text=f"asked for {attempt.adapter!r}, ran on {run.adapter!r}@{run.version}",
                )
                for run in runs
                if run.adapter != attempt.adapter or not run.version
            ]
        return Verdict(checked=checked, findings=findings)


@JUDGES.register
class NewestVersion(Judge):
    """Looks for runs on a version older than the one that must be in force."""

    name = "newest_version"
    promise = "a request runs on no older version than the one that must be in force"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for published in observations.versions:
            for attempt in observations.attempts:
                if attempt.adapter != published.adapter:
                    continue
                if attempt.sent_at < published.acknowledged_at + CONFIGURATION_APPLY_S:
                    continue
                late_s = observations.disturbed_s(
                    published.acknowledged_at, attempt.sent_at, delays_updates
                )
                if attempt.sent_at < published.acknowledged_at + CONFIGURATION_APPLY_S + late_s:
                    continue
                runs = observations.runs_of.get(attempt.request_id, [])
                checked += len(runs)
                findings += [
                    Finding(
                        at=run.at,
                        request_id=attempt.request_id,
                        text=f"ran on {run.adapter}@{run.version}, must be {published.version}",
                    )
                    for run in runs
                    if run.version < published.version
                ]
        return Verdict(checked=checked, findings=findings)


@JUDGES.register
class NoViolationAtEngines(Judge):
    """Collects the violations that engines recorded, apart from unloads that crossed a run."""

    name = "no_harm_at_engines"
    promise = "no adapter is unloaded during a run, no place is overbooked, no API key is forwarded"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        findings = [
            _finding_of(event) for event in _violations(observations) if not _crosses_run(event)
        ]
        return Verdict(checked=len(observations.replica_events), findings=findings)


@JUDGES.register
class NoUnloadCrossesARun(Judge):
    """Collects the unloads that arrived at an engine just after a run had begun."""

    name = "no_unload_crosses_a_run"
    promise = "no unload is in flight to an engine while a request for that adapter is sent there"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        findings = [
            _finding_of(event) for event in _violations(observations) if _crosses_run(event)
        ]
        return Verdict(checked=len(observations.replica_events), findings=findings)


def _violations(observations: Observations) -> list[ReplicaEvent]:
    return [
        event
        for event in observations.replica_events
        if event.kind is ReplicaEventKind.VIOLATION
        and not _is_of_disturbed_box(observations, event)
    ]


def _crosses_run(event: ReplicaEvent) -> bool:
    return event.detail == UNLOADED_IN_USE and event.age_s <= ORDER_TRANSIT_S


def _is_of_disturbed_box(observations: Observations, event: ReplicaEvent) -> bool:
    """Whether the run's box was killed, stopped or paused meanwhile, or had ended the run itself.

    Such a box does not report to the placer that it uses an adapter. Engines let its runs end
    first, and notice late that the caller is gone.
    """
    attempt = observations.attempt_of.get(event.request_id)
    if attempt is None:
        return False
    return attempt.ended_at <= event.at or any(
        f"box/{attempt.box}" in span.claimed
        for span in observations.spans
        if span.began_at < event.at and span.ended_at > attempt.sent_at
    )


def _finding_of(event: ReplicaEvent) -> Finding:
    text = f"{event.detail} at {event.instance}, during a run of {event.age_s:.3f} s"
    return Finding(at=event.at, request_id=event.request_id, text=text)


@JUDGES.register
class RightService(Judge):
    """Compares the services that ran requests with the configurations that may be in force."""

    name = "right_service"
    promise = "a request runs at a service that its route leads to, or led to until a moment ago"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for attempt, runs in observations.attempted_runs():
            allowed = _services_allowed(observations, attempt.route, attempt.sent_at, runs[-1].at)
            checked += len(runs)
            findings += [
                Finding(
                    at=run.at,
                    request_id=run.request_id,
                    text=f"{attempt.route} ran at {run.service}, allowed {sorted(allowed)}",
                )
                for run in runs
                if run.service not in allowed
            ]
        return Verdict(checked=checked, findings=findings)


def _services_allowed(
    observations: Observations, route: str, sent_at: float, ran_at: float
) -> set[str]:
    """Return the services of all configurations that may be in force for the request."""
    if route in SERVICE_OF_ROUTE:
        return {SERVICE_OF_ROUTE[route]}
    allowed = set()
    for change, following in zip(
        observations.changes, [*observations.changes[1:], None], strict=True
    ):
        if change.began_at > ran_at:
            continue
        if following is not None:
            ends_at = following.acknowledged_at + CONFIGURATION_APPLY_S
            late_s = observations.disturbed_s(following.acknowledged_at, sent_at, delays_updates)
            if ends_at + late_s < sent_at:
                continue
        allowed.add(change.configured.service_of(route))
    return allowed


@JUDGES.register
class LeavingGetsNothingNew(Judge):
    """Looks for new requests at replicas whose leaving was acknowledged earlier than the bound."""

    name = "leaving_gets_nothing_new"
    promise = (
        f"a replica gets no new request {LEAVING_APPLY_S} s after its leaving was acknowledged"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        leaving = {
            event.instance: event.at
            for event in observations.replica_events
            if event.kind is ReplicaEventKind.LEAVING_ACKNOWLEDGED
        }
        checked = 0
        findings = []
        for event in observations.replica_events:
            if event.kind is not ReplicaEventKind.RAN or event.instance not in leaving:
                continue
            attempt = observations.attempt_of.get(event.request_id)
            if attempt is None or event.first_event > attempt.last_event_id + 1:
                continue
            checked += 1
            since = leaving[event.instance]
            late_s = observations.disturbed_s(since, event.at, delays_updates)
            late_s += observations.disturbed_s(attempt.sent_at, event.at, delays_attempt(attempt))
            over_s = event.at - since - late_s
            if over_s > LEAVING_APPLY_S:
                text = f"{event.instance} ran it {over_s:.1f} s after its leaving, excluding faults"
                findings.append(Finding(at=event.at, request_id=event.request_id, text=text))
        return Verdict(checked=checked, findings=findings)
