"""The judge of the promise about boxes that are cut off from all replicas."""

from __future__ import annotations

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import LEFT, Attempt, FaultSpan, Observations

CONTACT_S = 3.0
"""The users' bound on how long a partition may last before it counts."""

MIN_SHARE = 2 / 3
"""The users' bound on how often cut-off boxes serve, relative to the others."""

FAILURES_ALLOWED = 10
FAILED_FRACTION_ALLOWED = 1 / 50
"""The users' bound on first tries that fail at cut-off boxes: a number, and a part of all."""


@JUDGES.register
class CutOffBoxesServe(Judge):
    """Compares first tries at boxes that are cut off from replicas with those at the others.

    A try fails whatever the reason, also if its connection is refused or closed unanswered.
    A stream that its caller left was served. Callers of the team beyond its quota do not count.
    """

    name = "cut_off_boxes_serve"
    promise = (
        f"boxes that are cut off from all replicas for {CONTACT_S} s or more serve first tries at "
        "least two thirds as often as the others"
    )

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        first_tries = _first_tries(observations)
        checked = 0
        findings = []
        for span in observations.spans:
            boxes = _cut_off(span)
            start = span.began_at + CONTACT_S
            within = [a for a in first_tries if boxes and start <= a.sent_at < span.ended_at]
            there = [_is_served(attempt) for attempt in within if attempt.box in boxes]
            elsewhere = [_is_served(attempt) for attempt in within if attempt.box not in boxes]
            checked += len(there)
            if _is_broken(there, elsewhere):
                text = (
                    f"{', '.join(sorted(boxes))}: {sum(there)} of {len(there)} first tries were "
                    f"served, elsewhere {sum(elsewhere)} of {len(elsewhere)}"
                )
                findings.append(Finding(at=start, text=text))
        return Verdict(checked=checked, findings=findings)


def _is_broken(there: list[bool], elsewhere: list[bool]) -> bool:
    if not there or not elsewhere:
        return False
    allowed = FAILURES_ALLOWED + FAILED_FRACTION_ALLOWED * (len(there) + len(elsewhere))
    served_there = sum(there) / len(there)
    served_elsewhere = sum(elsewhere) / len(elsewhere)
    return served_there < MIN_SHARE * served_elsewhere and there.count(False) > allowed


def _is_served(attempt: Attempt) -> bool:
    return attempt.answered or attempt.error == LEFT


def _cut_off(span: FaultSpan) -> frozenset[str]:
    """Return the boxes that a fault cuts off from all replicas."""
    links = [name.removeprefix("link/").partition(">") for name in span.claimed]
    return frozenset(box for box, _, target in links if target == "replicas")


def _first_tries(observations: Observations) -> list[Attempt]:
    """Return the first attempt of each call, apart from the limited team's."""
    first: dict[str, Attempt] = {}
    for attempt in sorted(observations.attempts, key=lambda attempt: attempt.sent_at):
        if attempt.key != "few":
            first.setdefault(attempt.call, attempt)
    return list(first.values())
