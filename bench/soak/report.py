"""The report of one play, as text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from bench.soak.judges import JUDGES, Finding, Verdict
from bench.soak.observations import Observations
from bench.soak.schedule import Schedule

_TIMELINE_STEP_S = 2.0
_MAX_SHOWN_FINDINGS = 5


def judge_all(observations: Observations) -> dict[str, Verdict]:
    """Return the verdict of each judge, by its name."""
    return {judge.name: judge.judge(observations) for judge in JUDGES}


def count_findings(verdicts: dict[str, Verdict]) -> int:
    """Return the number of findings of all judges."""
    return sum(len(verdict.findings) for verdict in verdicts.values())


def report_lines(
    schedule: Schedule, observations: Observations, verdicts: dict[str, Verdict]
) -> list[str]:
    """Return the lines of the report: faults, promises, calls and timeline."""
    return [
        *_fault_lines(schedule),
        *_promise_lines(verdicts, _began_at(observations)),
        *_call_lines(observations),
        *_timeline(observations),
    ]


def _began_at(observations: Observations) -> float:
    return min((attempt.sent_at for attempt in observations.attempts), default=0.0)


def _fault_lines(schedule: Schedule) -> list[str]:
    counts = Counter(entry.fault for entry in schedule.planned)
    seconds: Counter[str] = Counter()
    for entry in schedule.planned:
        seconds[entry.fault] += entry.ends_s - entry.begins_s  # type: ignore[assignment]
    lines = [f"{'fault':<28}{'times':>8}{'seconds':>9}"]
    return lines + [f"{name:<28}{counts[name]:>8}{seconds[name]:>9.1f}" for name in sorted(counts)]


def _promise_lines(verdicts: dict[str, Verdict], began_at: float) -> list[str]:
    lines = ["", f"{'promise':<28}{'judged':>8}{'broken':>9}"]
    for name, verdict in verdicts.items():
        lines.append(f"{name:<28}{verdict.checked:>8}{len(verdict.findings):>9}")
        lines += _finding_lines(verdict.findings[:_MAX_SHOWN_FINDINGS], began_at)
    return lines


def _finding_lines(findings: Iterable[Finding], began_at: float) -> list[str]:
    return [
        f"    at {finding.at - began_at:.2f} s {finding.request_id} {finding.text}"
        for finding in findings
    ]


def _call_lines(observations: Observations) -> list[str]:
    calls = Counter(call.route for call in observations.calls)
    answered = Counter(call.route for call in observations.calls if call.answered)
    lines = ["", f"{'calls of route':<28}{'all':>8}{'answered':>9}"]
    lines += [f"{route:<28}{calls[route]:>8}{answered[route]:>9}" for route in sorted(calls)]
    paused_s = sum(pause.lasted_s for pause in observations.pauses)
    return [*lines, f"The machine paused the soak for {paused_s:.2f} s in total."]


def _timeline(observations: Observations) -> list[str]:
    """Return a line for each time step: calls that began in it, answered ones, and faults."""
    began_at = _began_at(observations)
    last = max((call.began_at for call in observations.calls), default=began_at)
    lines = ["", f"{'from':>6}{'calls':>7}{'answered':>9}  faults"]
    for step in range(int((last - began_at) / _TIMELINE_STEP_S) + 1):
        start = began_at + step * _TIMELINE_STEP_S
        end = start + _TIMELINE_STEP_S
        calls = [
            call
            for call in observations.calls
            if start <= call.began_at < end and call.key != "few"
        ]
        answered = sum(call.answered for call in calls)
        faults = [
            f"{span.name}({','.join(span.targets)})"
            for span in observations.spans
            if span.began_at < end and span.ended_at > start
        ]
        lines.append(
            f"{step * _TIMELINE_STEP_S:>5.0f}s{len(calls):>7}{answered:>9}  {' '.join(faults)}"
        )
    return lines
