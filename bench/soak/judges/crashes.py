"""The promise on requests that crash the replicas that run them."""

from __future__ import annotations

from collections import defaultdict

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations, touches_knowledge
from springrock.emulator.replica_events import ReplicaEvent

CRASHES = 3
KNOWN_AFTER_S = 3.0
"""So long after the last of these crashes every box must know, but for what keeps news from it."""

ALLOWED = 3
"""So many runs more are allowed: a box that saw a crash may end before it has told of it."""


@JUDGES.register
class CrashingRequestStops(Judge):
    """Counts the runs of requests that crash replicas, each of which ends one."""

    name = "crashing_request_stops"
    promise = (
        f"a request under which {CRASHES} replicas ended is sent to {ALLOWED} more at most, "
        f"once {KNOWN_AFTER_S} s are over"
    )

    def judge(self, seen: Observations) -> Verdict:
        """Judge a play."""
        runs: dict[str, list[ReplicaEvent]] = defaultdict(list)
        for attempt, ran in seen.asked_runs():
            if attempt.of_request:
                runs[attempt.of_request] += ran
        findings = []
        for path, of_request in runs.items():
            late = _late(sorted(of_request, key=lambda run: run.at), seen)
            if len(late) > ALLOWED:
                text = f"{path} ran {len(late)} times more; {len(of_request)} runs in all"
                findings.append(Finding(at=late[ALLOWED].at, text=text))
        return Verdict(looked_at=sum(len(ran) for ran in runs.values()), findings=findings)


def _late(runs: list[ReplicaEvent], seen: Observations) -> list[ReplicaEvent]:
    """Return the runs that came after every box must have known."""
    if len(runs) <= CRASHES:
        return []
    third_at = runs[CRASHES - 1].at
    return [
        run
        for run in runs[CRASHES:]
        if run.at - third_at > KNOWN_AFTER_S + seen.disturbed_s(third_at, run.at, touches_knowledge)
    ]
