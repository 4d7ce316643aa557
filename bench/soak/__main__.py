"""The command `python -m bench.soak`: plays schedules of faults and reports broken promises."""

from __future__ import annotations

import random
import shutil
import sys
import tempfile
import time
import traceback
from collections.abc import Iterator
from pathlib import Path

import msgspec

from bench.soak.errors import SoakInputError
from bench.soak.interrupts import Interrupted, Interrupts
from bench.soak.options import PLAY_S, Options, read_options
from bench.soak.play import play
from bench.soak.report import count_findings, judge_all, report_lines
from bench.soak.schedule import draw_schedule
from bench.soak.shape import Shape

PASSED = 0
FAILED = 1
BAD_INPUT = 2
NOT_JUDGED = 3
NOT_PLAYED = 4
"""Processes could not be started or reached, so no promise was judged."""

INTERRUPTED = 130

_MAX_PAUSED_S = 2.0
"""If the machine paused the soak for longer in total, time bounds cannot be judged."""

_SEED_COUNT = 1_000_000


def main(arguments: list[str]) -> int:
    """Play the seeds that the arguments ask for; return the exit code."""
    try:
        options = read_options(arguments)
    except SoakInputError as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return BAD_INPUT
    interrupts = Interrupts()
    interrupts.listen()
    worst_code = PASSED
    try:
        for seed, seconds in _plays(options):
            worst_code = max(
                worst_code, _play_once(seed, seconds, options, interrupts), key=_severity
            )
    except Interrupted:
        print("Interrupted.")
        return INTERRUPTED
    return worst_code


def _severity(code: int) -> int:
    return (PASSED, NOT_JUDGED, NOT_PLAYED, FAILED).index(code)


def _plays(options: Options) -> Iterator[tuple[int, float]]:
    """Yield the seed and length of each play."""
    if options.seed is not None:
        yield options.seed, options.seconds
        return
    rng = random.SystemRandom()
    ends_at = time.monotonic() + options.seconds
    while time.monotonic() < ends_at:
        yield rng.randrange(_SEED_COUNT), min(PLAY_S, options.seconds)


def _play_once(seed: int, seconds: float, options: Options, interrupts: Interrupts) -> int:
    """Play one seed, print its report, and keep its folder unless it passed or was not judged."""
    shape = Shape.from_boxes(options.boxes)
    schedule = draw_schedule(seed, seconds=seconds, shape=shape, only=options.only)
    print("\n".join(schedule.lines()), flush=True)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep))
    keep = False
    try:
        observations = play(
            schedule, shape=shape, folder=folder, without=options.without, guard=interrupts.deferred
        )
        verdicts = judge_all(observations)
        lines = report_lines(schedule, observations, verdicts)
        code = _code_of(
            count_findings(verdicts), sum(pause.lasted_s for pause in observations.pauses)
        )
        lines += ["", _outcome(code, seed)]
        if code == FAILED:
            keep = True
            lines += [f"Logs and findings: {folder}", f"Again: {_command(seed, seconds, options)}"]
            (folder / "report.txt").write_text("\n".join([*schedule.lines(), *lines, ""]))
            (folder / "findings.json").write_bytes(msgspec.json.encode(verdicts))
        print("\n".join(lines), flush=True)
        return code
    except Exception:
        keep = True
        traceback.print_exc()
        print(f"Seed {seed}: not played.\nLogs: {folder}", flush=True)
        print(f"Again: {_command(seed, seconds, options)}", flush=True)
        return NOT_PLAYED
    finally:
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)


def _code_of(finding_count: int, paused_s: float) -> int:
    if paused_s > _MAX_PAUSED_S:
        return NOT_JUDGED
    return FAILED if finding_count else PASSED


def _outcome(code: int, seed: int) -> str:
    outcomes = {PASSED: "passed", FAILED: "FAILED", NOT_JUDGED: "not judged"}
    return f"Seed {seed}: {outcomes[code]}."


def _command(seed: int, seconds: float, options: Options) -> str:
    """Return the command that plays a seed again."""
    command = f"python -m bench.soak --replay {seed} --minutes {seconds / 60:g}"
    command += f" --boxes {options.boxes}"
    command += f" --only {options.only}" if options.only else ""
    return f"{command} --without {options.without}" if options.without else command


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
