"""Runs one play: starts processes and callers, injects scheduled faults, collects observations."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path
from typing import NamedTuple

from bench.soak.callers import Callers
from bench.soak.deployment import SoakDeployment
from bench.soak.faults import FAULTS
from bench.soak.memory import MemoryMeter
from bench.soak.observations import FaultSpan, Observations, QuietSpan
from bench.soak.pauses import PauseMeter
from bench.soak.schedule import PlannedFault, Schedule
from bench.soak.shape import Shape
from springrock.clock import monotonic

_MUTANT_MODULE = "bench.soak.mutant"


class _Switch(NamedTuple):
    """The start or the end of a scheduled fault.

    Attributes:
        at_s: Seconds from the start of the callers.
        starts: Whether the fault starts.
        number: The index of the fault in the schedule.
    """

    at_s: float
    starts: bool
    number: int


def play(
    schedule: Schedule,
    *,
    shape: Shape,
    folder: Path,
    without: str = "",
    guard: Callable[[], AbstractContextManager[None]] = nullcontext,
) -> Observations:
    """Play a schedule and return the observations.

    Args:
        schedule: The faults.
        shape: The boxes and replicas.
        folder: The folder for the settings and logs of all processes.
        without: The mechanism that is disabled in the boxes; empty for none.
        guard: A context that is entered while a process is started.
    """
    deployment = SoakDeployment(folder, shape=shape, guard=guard)
    if without:
        deployment.box_module = _MUTANT_MODULE
        deployment.box_command = (without, "entry", "--settings")
    with deployment:
        meter = PauseMeter()
        memory_meter = MemoryMeter(deployment.processes, shape.boxes)
        callers = Callers(deployment.clients, seed=schedule.seed)
        meter.start()
        memory_meter.start()
        callers.start()
        began_at = monotonic()
        try:
            spans = _switch_faults(schedule, deployment, began_at)
            _sleep_until(began_at + schedule.seconds)
        finally:
            callers.stop()
            memory_meter.stop()
            meter.stop()
        deployment.dump_stacks_of_silent_boxes()
        return Observations(
            attempts=[*callers.attempts, *deployment.crashing_attempts],
            calls=callers.calls,
            replica_events=deployment.replica_events(),
            spans=spans,
            changes=deployment.changes,
            versions=deployment.versions,
            pauses=meter.pauses,
            quiets=_quiets_of(schedule, spans, began_at),
            replica_names=deployment.replica_names(),
            memory=memory_meter.samples,
        )


def _switch_faults(
    schedule: Schedule, deployment: SoakDeployment, began_at: float
) -> list[FaultSpan]:
    spans: dict[int, FaultSpan] = {}
    for switch in _switches_of(schedule.planned):
        planned_fault = schedule.planned[switch.number]
        fault = FAULTS[planned_fault.fault]
        _sleep_until(began_at + switch.at_s)
        if switch.starts:
            spans[switch.number] = FaultSpan(
                name=planned_fault.fault,
                targets=planned_fault.targets,
                claimed=fault.claims(planned_fault.targets),
                began_at=monotonic(),
            )
            fault.begin(deployment, planned_fault.targets)
        else:
            fault.end(deployment, planned_fault.targets)
            spans[switch.number].ended_at = monotonic()
    return list(spans.values())


def _switches_of(planned: tuple[PlannedFault, ...]) -> list[_Switch]:
    switches = [_Switch(one.begins_s, True, number) for number, one in enumerate(planned)]
    switches += [_Switch(one.ends_s, False, number) for number, one in enumerate(planned)]
    return sorted(switches)


def _quiets_of(schedule: Schedule, spans: list[FaultSpan], began_at: float) -> list[QuietSpan]:
    """Return the actual quiet spans; each begins when the last fault has actually ended."""
    quiets = []
    for start_s, end_s in schedule.quiets:
        end = began_at + end_s
        ended = [span.ended_at for span in spans if span.began_at < end]
        quiets.append(QuietSpan(max([began_at + start_s, *ended]), end))
    return quiets


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - monotonic()))
