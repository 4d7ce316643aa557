"""A model of the retry budget of many boxes, played in virtual time with drawn starts and kills.

Each box spends all retries that it may. No window may contain more retries of all boxes together
than a fifth of their requests and the allowance.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from springrock.forwarding import budget as budget_module
from springrock.forwarding import retry_limits as limits_module
from springrock.forwarding.budget import RetryBudget, RetryLimits
from springrock.forwarding.retry_limits import OwnRetryLimits, RetryTerms

RATIO = 0.2
ALLOWANCE = 60.0
WINDOW_S = 10.0
BOXES = 12
TICKS_PER_S = 4
LENGTH_S = 60.0
TERMS = RetryTerms(RATIO, ALLOWANCE, WINDOW_S, least_boxes=BOXES)


class WithoutFirstWindow(OwnRetryLimits):
    """A mutation: a process has its limits at once."""

    def current(self) -> RetryLimits:
        return RetryLimits(RATIO, ALLOWANCE / BOXES, WINDOW_S)


class GrowingAllowance(OwnRetryLimits):
    """A mutation: the part of the allowance grows over the first window."""

    def current(self) -> RetryLimits:
        age_s = limits_module.monotonic() - self._started_at
        return RetryLimits(RATIO, ALLOWANCE / BOXES * min(1.0, age_s / WINDOW_S), WINDOW_S)


class FullRatio(OwnRetryLimits):
    """A mutation: a process has the whole ratio in its first window, but no allowance."""

    def current(self) -> RetryLimits:
        return super().current()._replace(ratio=RATIO)


@dataclass
class Clock:
    """The virtual time, in seconds."""

    now: float = 1000.0

    def __call__(self) -> float:
        return self.now


@dataclass
class Play:
    """The requests and retries of all boxes."""

    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def worst_excess(self) -> float:
        """Return by how much the retries of some window exceed what is allowed."""
        excess = [
            bisect_right(self.retries, start + WINDOW_S)
            - number
            - (RATIO * self._requests_for(start) + ALLOWANCE)
            for number, start in enumerate(self.retries)
        ]
        return max(excess, default=0.0)

    def _requests_for(self, start: float) -> int:
        """Return the most requests in this window or in one that begins half or one earlier."""
        return max(
            bisect_right(self.requests, start - shift + WINDOW_S)
            - bisect_left(self.requests, start - shift)
            for shift in (0.0, WINDOW_S / 2, WINDOW_S)
        )


def new_budget(kind: type[OwnRetryLimits]) -> RetryBudget:
    """Return the budget of a process that starts now."""
    return RetryBudget(kind(lambda: TERMS, boxes=lambda known_for_s: BOXES).current)


def play(seed: int, clock: Clock, kind: type[OwnRetryLimits]) -> Play:
    """Play one drawn sequence of requests, failures, kills and starts."""
    rng = random.Random(seed)
    kill_chance = rng.choice([0.0, 0.01, 0.1])
    kill_all_chance = rng.choice([0.0, 0.02, 0.05])
    request_chance = rng.choice([0.0, 0.2, 1.0])
    is_failing = False
    result = Play()
    budgets = [new_budget(kind) for _ in range(BOXES)]
    for _ in range(round(LENGTH_S * TICKS_PER_S)):
        clock.now += 1 / TICKS_PER_S
        is_failing ^= rng.random() < 0.03
        kills_all = rng.random() < kill_all_chance
        for number, budget in enumerate(budgets):
            if rng.random() < request_chance:
                budget.record_request()
                result.requests.append(clock.now)
            while is_failing and budget.try_spend():
                result.retries.append(clock.now)
            if kills_all or rng.random() < kill_chance:
                budgets[number] = new_budget(kind)
    return result


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(budget_module, "monotonic", clock)
    monkeypatch.setattr(limits_module, "monotonic", clock)
    yield clock


def worst_of(clock: Clock, kind: type[OwnRetryLimits], seeds: int) -> float:
    return max(play(seed, clock, kind).worst_excess() for seed in range(seeds))


def test_no_window_exceeds_the_budget_whatever_restarts(clock: Clock) -> None:
    assert worst_of(clock, OwnRetryLimits, 60) <= 0.0


@pytest.mark.parametrize("kind", [WithoutFirstWindow, GrowingAllowance, FullRatio])
def test_the_model_finds_limits_that_a_restart_gives_anew(
    clock: Clock, kind: type[OwnRetryLimits]
) -> None:
    assert worst_of(clock, kind, 60) > 0.0


def test_a_process_has_its_part_after_its_first_window(clock: Clock) -> None:
    limits = OwnRetryLimits(lambda: TERMS, boxes=lambda known_for_s: 2 * BOXES)
    clock.now += WINDOW_S - 0.01
    assert limits.current() == RetryLimits(RATIO / 4, 0.0, WINDOW_S)
    clock.now += 0.01
    assert limits.current() == RetryLimits(RATIO, ALLOWANCE / (2 * BOXES), WINDOW_S)


def test_a_box_that_does_not_know_how_many_share_the_allowance_has_no_part(clock: Clock) -> None:
    limits = OwnRetryLimits(
        lambda: TERMS, boxes=lambda known_for_s: None if known_for_s >= WINDOW_S else BOXES
    )
    clock.now += 2 * WINDOW_S
    assert limits.current() == RetryLimits(RATIO, 0.0, WINDOW_S)
