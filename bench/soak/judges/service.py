"""Judges of promises about service after the end of all faults."""

from __future__ import annotations

from bench.soak.judges.judge import JUDGES, Finding, Judge, Verdict
from bench.soak.observations import Observations, QuietSpan

RECOVERY_S = 7.0
"""Seconds after the last fault until everything must be served again. In this time processes start,
leases lapse and adapters are loaded again."""

_LAST_REQUEST_WITHIN_S = 3.0
"""A failure counts only if the box got a request within this time before the bound. If its last
request was earlier, it may have recovered since without a request that shows it."""


@JUDGES.register
class RecoversInTime(Judge):
    """Checks that each box has served each route in time after the last fault."""

    name = "recovers_in_time"
    promise = f"every route is served by every box within {RECOVERY_S} s of the last fault"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for quiet in observations.quiets:
            bound_at = _recovered_by(observations, quiet)
            served: dict[tuple[str, str], bool] = {}
            last_sent_at: dict[tuple[str, str], float] = {}
            for attempt in observations.attempts:
                if quiet.began_at <= attempt.sent_at <= bound_at and attempt.key != "few":
                    pair = (attempt.box, attempt.route)
                    served[pair] = served.get(pair, False) or attempt.answered
                    last_sent_at[pair] = max(last_sent_at.get(pair, 0.0), attempt.sent_at)
            checked += len(served)
            findings += [
                Finding(at=bound_at, text=f"{route} was not served by {box}")
                for (box, route), was_served in sorted(served.items())
                if not was_served and bound_at - last_sent_at[box, route] <= _LAST_REQUEST_WITHIN_S
            ]
        return Verdict(checked=checked, findings=findings)


@JUDGES.register
class AllServedAfterRecovery(Judge):
    """Looks for calls that were not answered although no fault was active."""

    name = "all_served_in_calm"
    promise = f"every call that begins {RECOVERY_S} s or more after the last fault is answered"

    def judge(self, observations: Observations) -> Verdict:
        """Check the promise against the observations of one play."""
        checked = 0
        findings = []
        for quiet in observations.quiets:
            recovered_at = _recovered_by(observations, quiet)
            is_last = quiet is observations.quiets[-1]
            for call in observations.calls:
                ended_in_time = is_last or call.ended_at <= quiet.ended_at
                if call.key == "few" or not recovered_at <= call.began_at or not ended_in_time:
                    continue
                if call.began_at > quiet.ended_at and not is_last:
                    continue
                checked += 1
                if not call.answered:
                    text = f"{call.route} with key {call.key!r} was not answered: {call.last}"
                    findings.append(Finding(at=call.began_at, text=text))
        return Verdict(checked=checked, findings=findings)


def _recovered_by(observations: Observations, quiet: QuietSpan) -> float:
    return quiet.began_at + RECOVERY_S + observations.paused_s(quiet.began_at, quiet.ended_at)
