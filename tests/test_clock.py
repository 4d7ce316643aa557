"""The clock for all decisions also advances while the machine is suspended.

A test cannot suspend the machine, and stopping the process has another effect on the clocks. So the
system's clocks are replaced by fakes that move as in a suspension.
"""

from __future__ import annotations

import ast
import time
from pathlib import Path

import pytest

from springrock import clock as clock_module
from springrock.clock import Deadline, steady_clock

ROOT = Path(__file__).parent.parent
_OTHER_CLOCKS = {"monotonic", "perf_counter", "clock_gettime"}


class FakeMachine:
    """Fakes of the clocks of a machine that can be suspended."""

    def __init__(self) -> None:
        self.awake_s = 1000.0
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return self.awake_s

    def clock_gettime(self, clock: int) -> float:
        assert clock == time.CLOCK_BOOTTIME
        return self.awake_s + self.suspended_s


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> FakeMachine:
    machine = FakeMachine()
    monkeypatch.setattr(time, "monotonic", machine.monotonic)
    monkeypatch.setattr(time, "clock_gettime", machine.clock_gettime)
    return machine


def test_time_in_suspension_counts_towards_a_deadline(
    machine: FakeMachine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock_module, "monotonic", steady_clock())
    lease = Deadline(3.0)
    machine.suspended_s += 4.0
    assert lease.passed
    assert lease.left_s == 0.0


def test_the_usual_monotonic_clock_is_the_fallback(
    machine: FakeMachine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    assert steady_clock()() == machine.awake_s


def test_the_clock_in_use_is_the_boot_time_clock() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    now = clock_module.monotonic()
    assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_no_module_reads_another_clock() -> None:
    """After a suspension, times of different clocks cannot be compared."""
    found = []
    for path in (ROOT / "springrock").rglob("*.py"):
        if path.name == "clock.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == "time"
                and node.attr in _OTHER_CLOCKS
            ):
                found.append(f"{path}:{node.lineno}")
    assert found == []
