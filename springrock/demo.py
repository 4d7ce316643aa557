"""The demo: a mixed load in one process, with a live summary and a check of the guarantees."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import gevent

from springrock.emulator.deployment import Shape
from springrock.emulator.embedded import EmbeddedDeployment
from springrock.emulator.load import LoadRun, LoadSettings, Outcome, WorkloadPlan
from springrock.log import log_to

_SUMMARY_INTERVAL_S = 1.0
_HEADER = (
    "  time   answered  in flight  refused    stall p50   stall max   loads   batch fill   model"
)

SHAPES = {"vanua": Shape.from_vanua_voice, "agency": Shape.from_agency}


def workloads_of(service: str) -> list[WorkloadPlan]:
    """Return the workloads of the demo; calls to services go to the given pool."""

    def _service_call(name: str, path: str, **options: Any) -> WorkloadPlan:
        return WorkloadPlan(
            name=name, kind="service", pool=service, path=path, deadline_s=5.0, **options
        )

    return [
        WorkloadPlan(name="call-summaries", share=4, kind="chat", worth=2.0, tokens=40),
        WorkloadPlan(name="minutes", share=2, kind="completion", worth=3.0, tokens=60),
        _service_call("roster-joins", "join", share=2, repeatable=False),
        _service_call("catalogue-lookups", "plates/1887", share=2, method="GET"),
        _service_call("annotation-writes", "annotations", share=1, repeatable=False),
    ]


class _ProgressSummary:
    """Formats one line of progress for each second of the load."""

    def __init__(self, deployment: EmbeddedDeployment, run: LoadRun) -> None:
        self._deployment = deployment
        self._run = run
        self._second = 0

    def line(self) -> str:
        """Return the progress line for the next second."""
        self._second += 1
        outcomes = self._run.outcomes
        answered = [item for item in outcomes if item.run_state == "answered"]
        stalls = sorted(item.stall_s for item in answered if item.tokens)
        loads = sum(engine.loads for engine in self._deployment.engines)
        fill = max(engine.batch_fill for engine in self._deployment.engines)
        return (
            f"{self._second:5d}s  {len(answered):9d}  {self._run.in_flight:9d}  "
            f"{len(outcomes) - len(answered):7d}  {_median(stalls):9.2f}s  "
            f"{max(stalls, default=0.0):9.2f}s  {loads:6d}  {fill:10.0%}   "
            f"{self._deployment.shape.base_model}"
        )


def _median(ordered: list[float]) -> float:
    return ordered[len(ordered) // 2] if ordered else 0.0


def violated_guarantees(outcomes: list[Outcome], violations: dict[str, int]) -> list[str]:
    """Return a message for each guarantee that was violated."""
    violated = [f"{name}: {count} times" for name, count in sorted(violations.items())]
    wrong = sum(item.wrong for item in outcomes)
    if wrong:
        violated.append(f"answers that belong to another request: {wrong}")
    cut_off = sum(item.cause in ("silent_cut", "garbage", "transport") for item in outcomes)
    if cut_off:
        violated.append(f"answers cut off without an error: {cut_off}")
    unretryable = sum(item.run_state == "not_run" and item.retry_after_s <= 0 for item in outcomes)
    if unretryable:
        violated.append(f"refusals without a retry time: {unretryable}")
    return violated


def run_demo(*, seconds: float, seed: int, shape: str) -> int:
    """Run the demo; return exit code 0 only if no guarantee was violated."""
    with open("springrock-demo.log", "w", encoding="utf-8") as stream:
        log_to(stream)
        return _run(seconds, seed, SHAPES[shape](boxes_per_zone=2, adapters=300))


def _run(seconds: float, seed: int, shape: Shape) -> int:
    deployment = EmbeddedDeployment(shape)
    print(
        f"springrock demo: {len(deployment.boxes)} boxes in {len(shape.zones)} availability zones, "
        f"{shape.engines} engines x {shape.adapter_slots} slots, {shape.adapters} adapters, "
        f"{shape.loads_per_s:g} loads a second"
    )
    deployment.start()
    load = LoadSettings(
        boxes=list(deployment.addresses.callers.values()),
        base_model=shape.base_model,
        adapters=shape.adapters,
        workloads=workloads_of(shape.service),
        seed=seed,
        seconds=seconds,
        requests_per_s=12.0,
        zipf=1.5,
    )
    run = LoadRun(load, model_name=shape.model_name)
    summary = _ProgressSummary(deployment, run)
    print(_HEADER)
    task = gevent.spawn(run.run)
    while not task.ready():
        task.join(timeout=_SUMMARY_INTERVAL_S)
        print(summary.line(), flush=True)
    task.get()
    deployment.stop()
    return _print_result(run.outcomes, deployment.violations)


def _print_result(outcomes: list[Outcome], violations: dict[str, int]) -> int:
    print("\nOutcomes by workload:")
    outcome_counts = Counter((item.workload, item.run_state, item.cause) for item in outcomes)
    for (workload, run_state, cause), count in sorted(outcome_counts.items()):
        print(f"  {workload:20s} {run_state:10s} {cause:20s} {count}")
    violated = violated_guarantees(outcomes, violations)
    if not outcomes:
        violated.append("no request was served")
    for line in violated:
        print(f"VIOLATED  {line}", file=sys.stderr)
    if not violated:
        print("No guarantee was violated.")
    return 1 if violated else 0
