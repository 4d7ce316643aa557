"""Draws the schedule of faults: a pure function of the seed, the length and the shape."""

from __future__ import annotations

import random
from typing import NamedTuple

from bench.soak.faults import FAULTS, Fault
from bench.soak.shape import Shape

CYCLE_S = 30.0
"""The minimum length of a cycle, unless the play is shorter. A cycle ends with a quiet span, in
which everything must be served again."""

QUIET_S = 11.0
"""The length of a quiet span: the bound on recovery, and then some time to judge all calls."""

_LEAD_IN_S = 1.0
"""Time at the start of a cycle without faults."""

_GAP_RANGE_S = (0.2, 1.8)
_SECOND_FAULT_PROBABILITY = 0.5
"""The probability that a second fault begins at the same time as the first."""

_TARGET_COOLDOWN_S = 1.0
"""Time after a fault in which its targets get no other fault, as processes take time to start."""


class PlannedFault(NamedTuple):
    """One fault of a schedule; times are in seconds from the start of the callers."""

    begins_s: float
    ends_s: float
    fault: str
    targets: tuple[str, ...]


class Schedule(NamedTuple):
    """All faults of a play.

    Attributes:
        seed: The seed that the schedule was drawn from.
        seconds: The length of the play.
        planned: The faults, in the order of their start.
        quiets: The spans without any fault, each from the end of the last one.
    """

    seed: int
    seconds: float
    planned: tuple[PlannedFault, ...]
    quiets: tuple[tuple[float, float], ...]

    def lines(self) -> list[str]:
        """Return the schedule as lines of text."""
        lines = [f"seed {self.seed}, {self.seconds:.0f} s, {len(self.planned)} faults"]
        lines += [
            f"  {one.begins_s:6.1f} to {one.ends_s:6.1f} s  {one.fault:<20} {' '.join(one.targets)}"
            for one in self.planned
        ]
        return lines


def draw_schedule(seed: int, *, seconds: float, shape: Shape, only: str = "") -> Schedule:
    """Draw the faults of a play.

    Args:
        seed: The seed.
        seconds: The length of the play.
        shape: The boxes and replicas.
        only: The only fault to draw, one time after the other; empty for all faults.
    """
    rng = random.Random(seed)
    planned: list[PlannedFault] = []
    quiets: list[tuple[float, float]] = []
    cycles = max(1, int(seconds / CYCLE_S))
    length_s = seconds / cycles
    for number in range(cycles):
        starts_s = number * length_s
        ends_s = starts_s + length_s - QUIET_S
        begins_s = starts_s + _LEAD_IN_S
        separate_rng = random.Random(f"{seed}/{number}")
        if only:
            planned += _draw_one_kind(separate_rng, shape, begins_s, ends_s, FAULTS[only])
        else:
            planned += _draw_cycle(rng, shape, begins_s, ends_s)
            planned += _draw_separate(separate_rng, shape, begins_s, ends_s, planned)
        quiets.append((ends_s, starts_s + length_s))
    return Schedule(seed, seconds, tuple(sorted(planned)), tuple(quiets))


def _draw_one_kind(
    rng: random.Random, shape: Shape, start_s: float, end_s: float, fault: Fault
) -> list[PlannedFault]:
    """Draw one fault again and again, each time after the one before has ended."""
    planned: list[PlannedFault] = []
    now_s = start_s
    while end_s - now_s >= fault.shortest_s:
        ends_s = min(end_s, now_s + rng.uniform(fault.shortest_s, fault.longest_s))
        targets = fault.targets(rng, shape)
        planned.append(PlannedFault(round(now_s, 3), round(ends_s, 3), fault.name, targets))
        now_s = ends_s + _TARGET_COOLDOWN_S + rng.uniform(*_GAP_RANGE_S)
    return planned


def _draw_cycle(
    rng: random.Random, shape: Shape, start_s: float, end_s: float
) -> list[PlannedFault]:
    claimed_until: dict[str, float] = {}
    planned: list[PlannedFault] = []
    now_s = start_s
    while now_s < end_s:
        count = 2 if rng.random() < _SECOND_FAULT_PROBABILITY else 1
        for _ in range(count):
            fault = _draw_fault(rng, shape, now_s, end_s, claimed_until)
            if fault is not None:
                planned.append(fault)
        now_s += rng.uniform(*_GAP_RANGE_S)
    return planned


def _draw_separate(
    rng: random.Random, shape: Shape, start_s: float, end_s: float, scheduled: list[PlannedFault]
) -> list[PlannedFault]:
    """Draw the faults that use a separate random generator, each at most once.

    A fault that conflicts with one of `scheduled` is drawn again, or left out after some attempts.
    """
    planned: list[PlannedFault] = []
    for fault in sorted(FAULTS, key=lambda fault: fault.separate_order):
        if rng.random() >= fault.separate_probability or end_s - start_s < fault.shortest_s:
            continue
        for _ in range(fault.separate_draws):
            begins_s = rng.uniform(start_s, end_s - fault.shortest_s)
            ends_s = min(end_s, begins_s + rng.uniform(fault.shortest_s, fault.longest_s))
            targets = fault.targets(rng, shape)
            candidate = PlannedFault(round(begins_s, 3), round(ends_s, 3), fault.name, targets)
            if not any(_conflict(candidate, other) for other in (*scheduled, *planned)):
                planned.append(candidate)
                break
    return planned


def _conflict(one: PlannedFault, other: PlannedFault) -> bool:
    """Whether two faults affect the same resource at once, or shortly one after the other."""
    is_apart = (
        one.ends_s + _TARGET_COOLDOWN_S <= other.begins_s
        or other.ends_s + _TARGET_COOLDOWN_S <= one.begins_s
    )
    return not is_apart and (_reserves_claimed(one, other) or _reserves_claimed(other, one))


def _reserves_claimed(one: PlannedFault, other: PlannedFault) -> bool:
    """Whether a fault reserves a resource that another one claims."""
    reserved = FAULTS[one.fault].reserves(one.targets)
    return not reserved.isdisjoint(FAULTS[other.fault].claims(other.targets))


def _draw_fault(
    rng: random.Random, shape: Shape, now_s: float, end_s: float, claimed_until: dict[str, float]
) -> PlannedFault | None:
    """Draw a fault that begins now; return None if there is no time or a target is in use."""
    faults = list(FAULTS)
    fault = rng.choices(faults, weights=[fault.weight for fault in faults])[0]
    targets = fault.targets(rng, shape)
    ends_s = min(end_s, now_s + rng.uniform(fault.shortest_s, fault.longest_s))
    if ends_s - now_s < fault.shortest_s:
        return None
    claims = fault.claims(targets)
    if any(claimed_until.get(claim, 0.0) > now_s for claim in claims):
        return None
    claimed_until.update(dict.fromkeys(claims, ends_s + _TARGET_COOLDOWN_S))
    return PlannedFault(round(now_s, 3), round(ends_s, 3), fault.name, targets)
