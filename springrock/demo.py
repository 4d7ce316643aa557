"""The demo: both users' work in one process, with a live summary and a verdict on the promises."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import gevent

from springrock.emulator.deployment import Shape
from springrock.emulator.embedded import EmbeddedDeployment
from springrock.emulator.load import LoadRun, LoadSettings, Outcome, WorkloadPlan
from springrock.log import log_to

_SUMMARY_EVERY_S = 1.0
_HEADER = (
    "  time   answered  in flight  refused    stall p50   stall max   loads   batch fill   model"
)

SHAPES = {"vanua": Shape.from_vanua_voice, "agency": Shape.from_agency}


def workloads_of(service: str) -> list[WorkloadPlan]:
    """Return the scripted work of both users, with the calls sent to one service pool."""

    def _call(name: str, path: str, **more: Any) -> WorkloadPlan:
        return WorkloadPlan(
            name=name, kind="service", pool=service, path=path, deadline_s=5.0, **more
        )

    return [
        WorkloadPlan(name="call-summaries", share=4, kind="chat", worth=2.0, tokens=40),
        WorkloadPlan(name="minutes", share=2, kind="completion", worth=3.0, tokens=60),
        _call("roster-joins", "join", share=2, repeatable=False),
        _call("catalogue-lookups", "plates/1887", share=2, method="GET"),
        _call("annotation-writes", "annotations", share=1, repeatable=False),
    ]


class _Summary:
    """Prints one line a second."""

    def __init__(self, deployment: EmbeddedDeployment, run: LoadRun) -> None:
        self._deployment = deployment
        self._run = run
        self._second = 0

    def line(self) -> str:
        """Return the line of this moment."""
        self._second += 1
        outcomes = self._run.outcomes
        answered = [item for item in outcomes if item.run_state == "answered"]
        stalls = sorted(item.stall_s for item in answered if item.tokens)
        loads = sum(engine.loads for engine in self._deployment.engines)
        fill = max(engine.batch_fill for engine in self._deployment.engines)
        return (
            f"{self._second:5d}s  {len(answered):9d}  {self._run.in_flight:9d}  "
            f"{len(outcomes) - len(answered):7d}  {_middle(stalls):9.2f}s  "
            f"{max(stalls, default=0.0):9.2f}s  {loads:6d}  {fill:10.0%}   "
            f"{self._deployment.shape.base_model}"
        )


def _middle(ordered: list[float]) -> float:
    return ordered[len(ordered) // 2] if ordered else 0.0


def broken_promises(outcomes: list[Outcome], violations: dict[str, int]) -> list[str]:
    """Return what broke, in words; empty if every promise held."""
    broken = [f"{name}: {count} times" for name, count in sorted(violations.items())]
    wrong = sum(item.wrong for item in outcomes)
    if wrong:
        broken.append(f"answers that were not the caller's own: {wrong}")
    silent = sum(item.cause in ("silent_cut", "garbage", "transport") for item in outcomes)
    if silent:
        broken.append(f"answers cut without a word: {silent}")
    late = sum(item.run_state == "not_run" and item.retry_after_s <= 0 for item in outcomes)
    if late:
        broken.append(f"refusals that do not say when to come back: {late}")
    return broken


def run_demo(*, seconds: float, seed: int, shape: str) -> int:
    """Run the demo; return 0 only if every promise held."""
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
    summary = _Summary(deployment, run)
    print(_HEADER)
    task = gevent.spawn(run.run)
    while not task.ready():
        task.join(timeout=_SUMMARY_EVERY_S)
        print(summary.line(), flush=True)
    task.get()
    deployment.stop()
    return _verdict(run.outcomes, deployment.violations)


def _verdict(outcomes: list[Outcome], violations: dict[str, int]) -> int:
    print("\nEndings by workload:")
    endings = Counter((item.workload, item.run_state, item.cause) for item in outcomes)
    for (workload, run_state, cause), count in sorted(endings.items()):
        print(f"  {workload:20s} {run_state:10s} {cause:20s} {count}")
    broken = broken_promises(outcomes, violations)
    if not outcomes:
        broken.append("nothing was served")
    for line in broken:
        print(f"BROKEN  {line}", file=sys.stderr)
    if not broken:
        print("Every promise held.")
    return 1 if broken else 0
