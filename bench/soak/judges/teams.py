"""Judges of promises about API keys, teams and quotas."""

from __future__ import annotations

from typing import NamedTuple

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import (
    ConfigurationChange,
    Observations,
    delays_attempt,
    delays_updates,
)
from bench.soak.shape import QUOTA_WINDOW_S, REVOKE_S, TEAM_OF_KEY

QUOTA_APPLY_S = 5.0
"""Seconds after its acknowledgement until a lowered quota must be in force."""

_EDGE_TOLERANCE = 1
"""Requests tolerated at the edge of a window, as a caller reads the clock just before it sends."""


@JUDGES.register
class RightTeam(Judge):
    """Compares the team in the request that a replica got with the team of the caller's key."""

    name = "right_team"
    promise = "a replica gets the team of the caller's key"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for attempt, runs in observations.attempted_runs():
            checked += len(runs)
            team = TEAM_OF_KEY[attempt.key]
            allowed = {team, ""} if attempt.route == "open" else {team}
            findings += [
                Finding(
                    at=run.at,
                    request_id=run.request_id,
                    text=f"replica got team {run.team!r}, expected {team!r}",
                )
                for run in runs
                if run.team not in allowed
            ]
        return Verdict(checked=checked, findings=findings)


class _Removal(NamedTuple):
    """A span in which no team had the key."""

    acknowledged_at: float
    restored_at: float


@JUDGES.register
class RemovedKeyRunsNowhere(Judge):
    """Looks for runs with a removed key after the bound on its removal."""

    name = "removed_key_runs_nowhere"
    promise = f"no request with a removed key runs {REVOKE_S} s after the removal was acknowledged"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        removals = _removals_of(observations.changes)
        checked = 0
        findings = []
        for attempt in observations.attempts:
            if attempt.key != "goes" or attempt.route == "open":
                continue
            checked += _removal_at(removals, attempt.sent_at) is not None
            for run in observations.runs_of.get(attempt.request_id, []):
                removal = _removal_at(removals, run.at)
                if removal is None or run.first_event > attempt.last_event_id + 1:
                    continue
                delayed_s = observations.disturbed_s(
                    attempt.sent_at, run.at, delays_attempt(attempt)
                )
                over_s = run.at - removal.acknowledged_at - REVOKE_S - delayed_s
                if over_s > 0:
                    text = (
                        f"ran at {run.instance} through {attempt.box} {over_s:.2f} s past the bound"
                    )
                    findings.append(Finding(at=run.at, request_id=run.request_id, text=text))
        return Verdict(checked=checked, findings=findings)


def _removals_of(changes: list[ConfigurationChange]) -> list[_Removal]:
    removals = []
    removed_at: float | None = None
    for change in changes:
        if not change.configured.goes and removed_at is None:
            removed_at = change.acknowledged_at
        elif change.configured.goes and removed_at is not None:
            removals.append(_Removal(removed_at, change.began_at))
            removed_at = None
    if removed_at is not None:
        removals.append(_Removal(removed_at, float("inf")))
    return removals


def _removal_at(removals: list[_Removal], moment: float) -> _Removal | None:
    return next(
        (
            removal
            for removal in removals
            if removal.acknowledged_at <= moment < removal.restored_at
        ),
        None,
    )


@JUDGES.register
class QuotaHolds(Judge):
    """Counts the requests of the limited team that ran in every window, over all boxes."""

    name = "quota_holds"
    promise = "in every window a team runs no more than its rate and burst, over all boxes"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        ran = sorted(
            (runs[0].at, attempt.sent_at)
            for attempt in observations.attempts
            if attempt.key == "few" and (runs := observations.runs_of.get(attempt.request_id))
        )
        findings = []
        for _, start in ran:
            end = start + QUOTA_WINDOW_S
            count = sum(start <= sent_at and at <= end for at, sent_at in ran)
            allowed = _max_allowed(observations, start, end) + _EDGE_TOLERANCE
            if count > allowed:
                text = f"{count} ran in {QUOTA_WINDOW_S} s, {allowed:.0f} allowed"
                findings.append(Finding(at=start, text=text))
        return Verdict(checked=len(ran), findings=findings[:1])


def _max_allowed(observations: Observations, start: float, end: float) -> float:
    """Return the most that any configuration allows that may be in force in a window."""
    rates = []
    for change, following in zip(
        observations.changes, [*observations.changes[1:], None], strict=True
    ):
        if change.began_at > end:
            continue
        if following is not None:
            late_s = observations.disturbed_s(following.acknowledged_at, start, delays_updates)
            if following.acknowledged_at + QUOTA_APPLY_S + late_s < start:
                continue
        rates.append(change.configured.limited_per_s)
    return max(rates) * (QUOTA_WINDOW_S + 1)
