"""Measures the processor time that an entry box uses from its start to its first log line.

Nothing listens at the store address in the box's settings, so that only the start is measured.

Run: python -m bench.start [--times N] [--python PROGRAM]; the box inherits the environment.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import defopt

from springrock.emulator.ports import free_addresses
from springrock.platform.names import SETTINGS_VARIABLE

_FIRST_LINE = b'"box: Start."'


def make_box_settings() -> dict[str, object]:
    """Return settings of an entry box whose store does not answer."""
    clients, readiness, boxes, metrics, store = free_addresses(5)
    return {
        "box": {"name": "box-1", "availability_zone": "zone-1", "zones": ["zone-1", "zone-2"]},
        "listen": {
            "clients_address": clients,
            "readiness_address": readiness,
            "boxes_address": boxes,
            "metrics_address": metrics,
        },
        "store": {"address": store},
    }


def cpu_s_of_start(settings: Path, *, python: str = sys.executable) -> float:
    """Start a box, kill it at its first log line, and return the processor seconds it used.

    Args:
        settings: The box's settings file.
        python: The Python interpreter that runs it.

    Raises:
        RuntimeError: If the box ended before it wrote that line.
    """
    process = subprocess.Popen(
        [python, "-m", "springrock", "entry"],
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    with process.stdout as lines:
        has_started = any(_FIRST_LINE in line for line in lines)
        process.kill()
        _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if not has_started:
        raise RuntimeError("the box ended before it wrote its first log line")
    return usage.ru_utime + usage.ru_stime


def report(*, times: int = 15, python: str = sys.executable) -> None:
    """Print the processor time that starts of an entry box use.

    Args:
        times: Number of starts.
        python: The Python interpreter that runs the box.
    """
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "box.jsonc"
        settings.write_text(json.dumps(make_box_settings()))
        used_s = sorted(cpu_s_of_start(settings, python=python) for _ in range(times))
    print(
        f"{times} starts, processor seconds to the first line: "
        f"median {statistics.median(used_s):.3f}, least {used_s[0]:.3f}, most {used_s[-1]:.3f}"
    )


if __name__ == "__main__":
    defopt.run(report, argv=sys.argv[1:])
