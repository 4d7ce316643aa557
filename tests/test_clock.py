"""The one clock of all decisions, and what a suspended machine does to it.

A suspension cannot be brought about here; stopping a process does not show the difference. So the
system's clocks are stood in for, and moved as a suspension moves them.
"""

from __future__ import annotations

import ast
import time
from pathlib import Path

import pytest

from springrock import clock as clock_module
from springrock.clock import Deadline, steady_clock

ROOT = Path(__file__).parent.parent
_CLOCKS = {"monotonic", "perf_counter", "clock_gettime"}


class Machine:
    """The clocks of a machine."""

    def __init__(self) -> None:
        self.awake_s = 1000.0
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return self.awake_s

    def clock_gettime(self, clock: int) -> float:
        assert clock == time.CLOCK_BOOTTIME
        return self.awake_s + self.suspended_s


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    machine = Machine()
    monkeypatch.setattr(time, "monotonic", machine.monotonic)
    monkeypatch.setattr(time, "clock_gettime", machine.clock_gettime)
    return machine


def test_time_in_which_the_machine_was_suspended_has_passed(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock_module, "monotonic", steady_clock())
    lease = Deadline(3.0)
    machine.suspended_s += 4.0
    assert lease.passed
    assert lease.left_s == 0.0


def test_without_such_a_clock_the_usual_one_is_taken(
    machine: Machine, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delattr(time, "CLOCK_BOOTTIME")
    assert steady_clock()() == machine.awake_s


def test_the_clock_in_use_is_that_of_the_system() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    now = clock_module.monotonic()
    assert before <= now <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_no_module_reads_another_clock() -> None:
    """A time of one clock says nothing beside one of another after a suspension."""
    found = []
    for path in (ROOT / "springrock").rglob("*.py"):
        if path.name == "clock.py":
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == "time"
                and node.attr in _CLOCKS
            ):
                found.append(f"{path}:{node.lineno}")
    assert found == []
