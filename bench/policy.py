"""Compares placement policies in a deployment of the size that a co-operative runs, over several
seeds.

Run: python -m bench.policy [--seconds N] [--rate N] [--seeds N]
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

import msgspec

from springrock.emulator.deployment import Shape
from springrock.emulator.load import LoadSettings, Outcome, WorkloadPlan
from springrock.emulator.report import COLUMNS, Report, as_table
from tests.cluster import Cluster

POLICIES = {
    "LRU, arrival, least loaded": {
        "eviction": "lru",
        "load_order": "arrival",
        "routing": "least_loaded",
    },
    "random": {"eviction": "random", "load_order": "arrival", "routing": "random"},
    "value, worth, residency": {},
}
_CONCURRENT_RUNS = 3


def run_once(name: str, seed: int, *, seconds: float, rate: float) -> Report:
    """Run one policy with one seed."""
    shape = replace(Shape.from_vanua_voice(boxes_per_zone=1), services=1)
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), shape, policy=POLICIES[name]) as cluster,
    ):
        load = LoadSettings(
            boxes=list(cluster.addresses.callers.values()),
            base_model=shape.base_model,
            adapters=shape.adapters,
            workloads=[WorkloadPlan(name="minutes", tokens=32, deadline_s=12.0)],
            seed=seed,
            seconds=seconds,
            requests_per_s=rate,
            zipf=1.2,
        )
        outcomes = _send(load, Path(folder))
        counters = [cluster.counters(engine) for engine in cluster.addresses.engines]
        assert cluster.violations() == {}
        return Report.from_outcomes(name, outcomes, counters)


def _send(load: LoadSettings, folder: Path) -> list[Outcome]:
    """Send the load from a separate process, so that concurrent runs do not slow each other."""
    settings, out = folder / "load.json", folder / "outcomes.json"
    settings.write_bytes(msgspec.json.encode(load))
    command = [sys.executable, "-m", "springrock", "load", str(settings), "--out", str(out)]
    subprocess.run(command, check=True, capture_output=True)
    return msgspec.json.decode(out.read_bytes(), type=list[Outcome])


def mean_of(reports: list[Report]) -> tuple[Report, str]:
    """Return the means of several runs, and the range of their worth in time as text."""
    numbers = {
        column: statistics.fmean(getattr(report, column) for report in reports)
        for column in COLUMNS
        if column != "name"
    }
    worth = sorted(report.worth_in_time for report in reports)
    worth_range = f"{reports[0].name}: worth in time {worth[0]:.3f} to {worth[-1]:.3f}"
    return msgspec.structs.replace(reports[0], **numbers), worth_range


def main(arguments: list[str]) -> int:
    """Run all policies; print the range of each one's worth in time and a table of means."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rate", type=float, default=10.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args(arguments)
    jobs = [(name, seed) for seed in range(1, options.seeds + 1) for name in POLICIES]
    with ThreadPoolExecutor(_CONCURRENT_RUNS) as pool:
        reports = list(
            pool.map(lambda job: run_once(*job, seconds=options.seconds, rate=options.rate), jobs)
        )
    means = []
    for name in POLICIES:
        mean, worth_range = mean_of([report for report in reports if report.name == name])
        means.append(mean)
        print(worth_range)
    print(as_table(means))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
