"""Which faults befall what, and when: a pure function of the seed, the length and the shape."""

from __future__ import annotations

import random
from typing import NamedTuple

from bench.soak.faults import FAULTS
from bench.soak.shape import Shape

CYCLE_S = 30.0
"""After so long at most there is a quiet span, in which everything must be served again."""

QUIET_S = 11.0
"""The length of a quiet span: the bound of recovery, and some time in which all is judged."""

_LEAD_S = 1.0
"""Callers go on undisturbed for so long first."""

_BETWEEN_S = (0.2, 1.8)
_TOGETHER = 0.5
"""How often a second fault begins with the first."""

_DRAWS_APART = 8
"""So often a fault with a generator of its own is drawn that meets others."""

_REST_S = 1.0
"""What was befallen is left alone for so long, as processes that start take some time."""


class Planned(NamedTuple):
    """One fault, in seconds from the start of the callers."""

    begins_s: float
    ends_s: float
    fault: str
    targets: tuple[str, ...]


class Schedule(NamedTuple):
    """All faults of a play.

    Attributes:
        planned: The faults, in the order of their beginnings.
        quiets: The spans without any fault, each from the end of the last one.
    """

    seed: int
    seconds: float
    planned: tuple[Planned, ...]
    quiets: tuple[tuple[float, float], ...]

    def lines(self) -> list[str]:
        """Return the schedule as text."""
        lines = [f"seed {self.seed}, {self.seconds:.0f} s, {len(self.planned)} faults"]
        lines += [
            f"  {one.begins_s:6.1f} to {one.ends_s:6.1f} s  {one.fault:<20} {' '.join(one.targets)}"
            for one in self.planned
        ]
        return lines


def draw_schedule(seed: int, *, seconds: float, shape: Shape) -> Schedule:
    """Draw the faults of a play."""
    rng = random.Random(seed)
    planned: list[Planned] = []
    quiets: list[tuple[float, float]] = []
    cycles = max(1, int(seconds / CYCLE_S))
    length_s = seconds / cycles
    for number in range(cycles):
        starts_s = number * length_s
        ends_s = starts_s + length_s - QUIET_S
        planned += _draw_cycle(rng, shape, starts_s + _LEAD_S, ends_s)
        apart = random.Random(f"{seed}/{number}")
        planned += _draw_apart(apart, shape, starts_s + _LEAD_S, ends_s, planned)
        quiets.append((ends_s, starts_s + length_s))
    return Schedule(seed, seconds, tuple(sorted(planned)), tuple(quiets))


def _draw_cycle(rng: random.Random, shape: Shape, start_s: float, end_s: float) -> list[Planned]:
    taken: dict[str, float] = {}
    planned: list[Planned] = []
    now_s = start_s
    while now_s < end_s:
        count = 2 if rng.random() < _TOGETHER else 1
        for _ in range(count):
            one = _draw_one(rng, shape, now_s, end_s, taken)
            if one is not None:
                planned.append(one)
        now_s += rng.uniform(*_BETWEEN_S)
    return planned


def _draw_apart(
    rng: random.Random, shape: Shape, start_s: float, end_s: float, beside: list[Planned]
) -> list[Planned]:
    """Draw the faults that have a generator of their own, each once at most.

    One that would befall what another fault befalls meanwhile is drawn again, or left out.
    """
    planned: list[Planned] = []
    for fault in sorted(FAULTS, key=lambda fault: fault.drawn_after):
        if rng.random() >= fault.drawn_apart or end_s - start_s < fault.shortest_s:
            continue
        for _ in range(_DRAWS_APART):
            begins_s = rng.uniform(start_s, end_s - fault.shortest_s)
            ends_s = min(end_s, begins_s + rng.uniform(fault.shortest_s, fault.longest_s))
            targets = fault.targets(rng, shape)
            one = Planned(round(begins_s, 3), round(ends_s, 3), fault.name, targets)
            if not any(_meet(one, other) for other in (*beside, *planned)):
                planned.append(one)
                break
    return planned


def _meet(one: Planned, other: Planned) -> bool:
    """Whether two faults befall the same thing at once, or one right after the other."""
    apart = one.ends_s + _REST_S <= other.begins_s or other.ends_s + _REST_S <= one.begins_s
    claimed = FAULTS[one.fault].claims(one.targets) & FAULTS[other.fault].claims(other.targets)
    return not apart and bool(claimed)


def _draw_one(
    rng: random.Random, shape: Shape, now_s: float, end_s: float, taken: dict[str, float]
) -> Planned | None:
    """Draw a fault that begins now; None if it finds no room, or what it befalls is taken."""
    faults = list(FAULTS)
    fault = rng.choices(faults, weights=[fault.weight for fault in faults])[0]
    targets = fault.targets(rng, shape)
    ends_s = min(end_s, now_s + rng.uniform(fault.shortest_s, fault.longest_s))
    if ends_s - now_s < fault.shortest_s:
        return None
    claims = fault.claims(targets)
    if any(taken.get(claim, 0.0) > now_s for claim in claims):
        return None
    taken.update(dict.fromkeys(claims, ends_s + _REST_S))
    return Planned(round(now_s, 3), round(ends_s, 3), fault.name, targets)
