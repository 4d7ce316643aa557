"""Concurrent processes that allocate many ports never get the same port."""

from __future__ import annotations

import subprocess
import sys

_PROCESSES = 3
_PORTS_PER_PROCESS = 600
_ALLOCATE_SCRIPT = f"""
import sys
from springrock.emulator.ports import free_addresses
print(" ".join(free_addresses({_PORTS_PER_PROCESS})), flush=True)
sys.stdin.read()
"""


def test_concurrent_processes_allocate_different_ports() -> None:
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", _ALLOCATE_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(_PROCESSES)
    ]
    try:
        allocated: list[str] = []
        for process in processes:
            assert process.stdout is not None
            allocated += process.stdout.readline().split()
    finally:
        for process in processes:
            process.communicate()
    assert len(allocated) == _PROCESSES * _PORTS_PER_PROCESS
    assert len(set(allocated)) == len(allocated)
