"""The judge of the promise about requests that crash the replicas that run them."""

from __future__ import annotations

from collections import defaultdict

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations, delays_updates
from springrock.emulator.replica_events import ReplicaEvent

QUARANTINE_CRASHES = 3
"""Number of replica crashes after which a request must be quarantined."""

QUARANTINE_APPLY_S = 3.0
"""Seconds after the last of these crashes until every box must quarantine the request. Faults that
delay updates extend this time."""

EXTRA_RUNS = 3
"""Further runs that are tolerated, as a box that saw a crash may end before it reports it."""


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
