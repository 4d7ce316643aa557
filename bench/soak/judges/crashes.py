"""The judges of the promises about requests that crash the replicas that run them."""

from __future__ import annotations

from collections import defaultdict

from bench.soak.faults.requests import CrashingPart
from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.judges.service import RECOVERY_S
from bench.soak.observations import Attempt, FaultSpan, Observations, delays_updates
from bench.soak.shape import STREAMS
from springrock.emulator.replica_events import ReplicaEvent

QUARANTINE_CRASHES = 3
"""Number of replica crashes after which a request must be quarantined."""

QUARANTINE_APPLY_S = 3.0
"""Seconds after the last of these crashes until every box must quarantine the request. Faults that
delay updates extend this time."""

EXTRA_RUNS = 3
"""Further runs that are tolerated, as a box that saw a crash may end before it reports it."""

PART_CRASHES = 5
"""Number of replica crashes after which requests with a part must be quarantined."""

_CONTACT_S = 3.0
"""The time without disruption after which a box must keep the promises about parts."""

_MIN_SOUND = 20
_MIN_SOUND_RATIO = 0.5


@JUDGES.register
class CrashingRequestStops(Judge):
    """Counts the runs of requests that crash replicas; each run ends one replica."""

    name = "crashing_request_stops"
    promise = (
        f"a request that has crashed {QUARANTINE_CRASHES} replicas is sent to at most {EXTRA_RUNS} "
        f"more, counted from {QUARANTINE_APPLY_S} s after the last of these crashes"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        runs: dict[str, list[ReplicaEvent]] = defaultdict(list)
        for attempt, ran in observations.attempted_runs():
            if attempt.repeated_path:
                runs[attempt.repeated_path] += ran
        findings = []
        for path, path_runs in runs.items():
            late_runs = _late_runs(sorted(path_runs, key=lambda run: run.at), observations)
            if len(late_runs) > EXTRA_RUNS:
                text = (
                    f"{path} ran {len(late_runs)} times after the bound, {len(path_runs)} in total"
                )
                findings.append(Finding(at=late_runs[EXTRA_RUNS].at, text=text))
        return Verdict(checked=sum(len(ran) for ran in runs.values()), findings=findings)


def _late_runs(runs: list[ReplicaEvent], observations: Observations) -> list[ReplicaEvent]:
    """Return the runs after the time at which every box must quarantine the request."""
    if len(runs) <= QUARANTINE_CRASHES:
        return []
    limit_reached_at = runs[QUARANTINE_CRASHES - 1].at
    return [
        run
        for run in runs[QUARANTINE_CRASHES:]
        if run.at - limit_reached_at
        > QUARANTINE_APPLY_S + observations.disturbed_s(limit_reached_at, run.at, delays_updates)
    ]


@JUDGES.register
class CrashingPartStops(Judge):
    """Counts the late runs of requests with a part of their prompts that crashes replicas."""

    name = "crashing_part_stops"
    promise = (
        f"once {PART_CRASHES} replicas have crashed under a part, requests with it that are sent "
        f"{_CONTACT_S} s later or more run at most {EXTRA_RUNS} times"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for part, attempts in _attempts_by_part(observations).items():
            crashes = _crashes_of(attempts, observations)
            checked += len(crashes)
            if len(crashes) < PART_CRASHES:
                continue
            since = crashes[PART_CRASHES - 1].at
            late = [
                run
                for run in crashes
                if _is_late(observations.attempt_of[run.request_id], since, observations)
            ]
            if len(late) > EXTRA_RUNS:
                text = f"{part} ran {len(late)} times after the bound, {len(crashes)} in total"
                findings.append(Finding(at=late[EXTRA_RUNS].at, text=text))
        return Verdict(checked=checked, findings=findings)


@JUDGES.register
class SoundStreamsBesideAPart(Judge):
    """Compares streams with the same first part as a crashing one to those in quiet spans."""

    name = "sound_beside_crashing_part"
    promise = (
        f"from {2 * _CONTACT_S} s after the fifth crash under a part, other streams are answered "
        f"at their first attempt at least {_MIN_SOUND_RATIO} times as often as without faults"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        sound = [item for item in observations.first_attempts if item.route in STREAMS]
        calm = [item for item in sound if _is_calm(item, observations)]
        beside = [item for item in sound if _is_beside_part(item, observations)]
        if min(len(calm), len(beside)) < _MIN_SOUND:
            return Verdict(checked=0, findings=[])
        served_calm = sum(item.answered for item in calm) / len(calm)
        served_beside = sum(item.answered for item in beside) / len(beside)
        findings = []
        if served_beside < _MIN_SOUND_RATIO * served_calm:
            text = f"{served_beside:.2f} of {len(beside)} beside, {served_calm:.2f} of {len(calm)}"
            findings.append(Finding(at=beside[0].sent_at, text=text))
        return Verdict(checked=len(beside), findings=findings)


def _attempts_by_part(observations: Observations) -> dict[str, list[Attempt]]:
    found: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in observations.attempts:
        if attempt.crashing_part:
            found[attempt.crashing_part].append(attempt)
    return found


def _crashes_of(attempts: list[Attempt], observations: Observations) -> list[ReplicaEvent]:
    """Return the runs of some attempts, each of which ends a replica."""
    runs = [run for item in attempts for run in observations.runs_of.get(item.request_id, [])]
    return sorted(runs, key=lambda run: run.at)


def _is_late(attempt: Attempt, since: float, observations: Observations) -> bool:
    """Whether a box was to know the part, given when the fifth replica crashed.

    Boxes of the last release, and what they pass on, know no parts.
    """
    if observations.is_by_earlier_build(attempt):
        return False
    disturbed_s = observations.disturbed_s(since, attempt.sent_at, delays_updates)
    return attempt.sent_at > since + _CONTACT_S + disturbed_s


def _is_calm(attempt: Attempt, observations: Observations) -> bool:
    return any(
        quiet.began_at + RECOVERY_S <= attempt.sent_at <= quiet.ended_at
        for quiet in observations.quiets
    )


def _is_beside_part(attempt: Attempt, observations: Observations) -> bool:
    """Whether a part crashed replicas long enough before an attempt, and nothing else went on."""
    since, until = attempt.sent_at - 2 * _CONTACT_S, attempt.ended_at
    during = [span for span in observations.spans if _overlaps(span, since, until)]
    if [span.name for span in during] != [CrashingPart.name]:
        return False
    attempts = [
        item
        for part, items in _attempts_by_part(observations).items()
        if part.endswith(during[0].targets[1])
        for item in items
    ]
    crashes = _crashes_of(attempts, observations)[:PART_CRASHES]
    return bool(crashes) and crashes[-1].at < since and during[0].ended_at > until


def _overlaps(span: FaultSpan, since: float, until: float) -> bool:
    return span.began_at < until and span.ended_at > since
