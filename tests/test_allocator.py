"""Large blocks of memory are returned once they are freed."""

from __future__ import annotations

import subprocess
import sys

from springrock.allocator import separate_large_blocks

_GROWN_TOGETHER = """
from springrock.allocator import separate_large_blocks

def resident_mb():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * 4096 / 1048576

separate_large_blocks()
bytearray(30_000_000)
before = resident_mb()
kept = []
for _ in range(10):
    bodies = [bytearray() for _ in range(40)]
    for _ in range(16):
        for body in bodies:
            body += bytes(65_536)
    kept.append(bytes(100_000))
    del bodies, body
print(resident_mb() - before)
"""


def test_the_c_library_has_the_option() -> None:
    assert separate_large_blocks()


def test_bodies_that_grow_together_leave_no_gaps_behind() -> None:
    done = subprocess.run(
        [sys.executable, "-c", _GROWN_TOGETHER], capture_output=True, text=True, check=True
    )
    assert float(done.stdout) < 10.0
