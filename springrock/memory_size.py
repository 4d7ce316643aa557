"""How much memory a process may use."""

from __future__ import annotations

import os
from pathlib import Path

_CGROUP_LIMIT = Path("/sys/fs/cgroup/memory.max")


def memory_bytes(*, cgroup_limit: Path = _CGROUP_LIMIT) -> int:
    """Return the memory of the machine, or of the control group if that has less.

    Args:
        cgroup_limit: The file with the limit of the control group (Linux, cgroup v2).
    """
    machine = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    try:
        return min(machine, int(cgroup_limit.read_text()))
    except (OSError, ValueError):
        return machine
