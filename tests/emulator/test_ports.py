"""Ports that are given out: no two processes get the same one, however many they take."""

from __future__ import annotations

import subprocess
import sys

_PROCESSES = 3
_PORTS_OF_EACH = 600
_TAKE = f"""
import sys
from springrock.emulator.ports import free_addresses
print(" ".join(free_addresses({_PORTS_OF_EACH})), flush=True)
sys.stdin.read()
"""


def test_processes_that_take_ports_at_once_get_different_ones() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", _TAKE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(_PROCESSES)
    ]
    try:
        taken: list[str] = []
        for process in processes:
            assert process.stdout is not None
            taken += process.stdout.readline().split()
    finally:
        for process in processes:
            process.communicate()
    assert len(taken) == _PROCESSES * _PORTS_OF_EACH
    assert len(set(taken)) == len(taken)
