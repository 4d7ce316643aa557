"""Commands of the load tool: run a load, save its outcomes, print reports."""

from __future__ import annotations

from pathlib import Path

import gevent
import msgspec

from springrock.emulator.load import LoadRun, LoadSettings, Outcome
from springrock.emulator.report import Report, as_table
from springrock.settings import read_settings

_PROGRESS_INTERVAL_S = 5.0


def run_load(path: str, *, out: str) -> int:
    """Run a load and print its report.

    Args:
        path: The file of load settings.
        out: File to save the outcomes to; empty for none.

    Returns:
        1 if any answer differed from the expected one for its request, otherwise 0.
    """
    settings = read_settings(path, LoadSettings)
    run = LoadRun(settings, model_name=lambda index: _model_name(settings.base_model, index))
    task = gevent.spawn(run.run)
    while not task.ready():
        task.join(timeout=_PROGRESS_INTERVAL_S)
        print(f"{len(run.outcomes)} ended, {run.in_flight} in flight", flush=True)
    task.get()
    if out:
        Path(out).write_bytes(msgspec.json.encode(run.outcomes))
    print(as_table([Report.from_outcomes(path, run.outcomes, [])]))
    return 1 if any(item.wrong for item in run.outcomes) else 0


def print_reports(paths: list[str]) -> int:
    """Print a table of reports for files of saved outcomes."""
    reports = []
    for path in paths:
        outcomes = msgspec.json.decode(Path(path).read_bytes(), type=list[Outcome])
        reports.append(Report.from_outcomes(path, outcomes, []))
    print(as_table(reports))
    return 0


def _model_name(base: str, index: int) -> str:
    return f"{base}:style-{index:05d}@1"
