"""Tests of the soak with fixed seeds, and of its clean-up when it is interrupted."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec
import pytest

from bench.soak.judges import JUDGES, Verdict
from tests.processes import wait_until

MINUTES = "0.3334"
PASSED = 0
FAILED = 1
NOT_JUDGED = 3
MAX_PLAYS = 3
"""A play during which the machine paused the soak cannot be judged, and is repeated."""

INTERRUPTED = 130

PLAYS = [
    pytest.param(("--seed", "1"), id="1"),
    pytest.param(("--seed", "3"), id="3"),
    pytest.param(("--seed", "10", "--only", "paused_in_series"), id="10_paused_in_series"),
]


def soak(*arguments: str, keep: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "bench.soak", *arguments, "--keep", str(keep)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def processes_with(text: str) -> list[int]:
    """Return the ids of running processes with a text in their command."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            command = (entry / "cmdline").read_text() if entry.name.isdigit() else ""
        except OSError:
            continue
        if text in command and int(entry.name) != os.getpid():
            found.append(int(entry.name))
    return found


@dataclass
class Played:
    """The result of a play.

    Attributes:
        code: The exit code.
        output: What the command printed.
        folder: The folder for the logs of a failed seed.
        verdicts: The verdicts by judge; empty unless the play failed.
    """

    code: int
    output: str
    folder: Path
    verdicts: dict[str, Verdict]


@pytest.fixture(scope="module", params=PLAYS)
def played(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Played:
    for _ in range(MAX_PLAYS):
        played = play(request.param, tmp_path_factory.mktemp("soak"))
        if played.code != NOT_JUDGED:
            break
    return played


def play(arguments: tuple[str, ...], folder: Path) -> Played:
    process = soak(*arguments, "--minutes", MINUTES, keep=folder)
    output, _ = process.communicate(timeout=120)
    verdicts = [
        msgspec.json.decode(path.read_bytes(), type=dict[str, Verdict])
        for path in folder.glob("*/findings.json")
    ]
    return Played(process.returncode, output, folder, verdicts[0] if verdicts else {})


@pytest.mark.parametrize("promise", JUDGES.names)
def test_a_promise_holds_under_a_fixed_seed(played: Played, promise: str) -> None:
    assert played.code in (PASSED, FAILED), played.output
    if played.code == FAILED:
        assert played.verdicts[promise].findings == [], played.output


def test_only_a_failed_seed_keeps_its_logs(played: Played) -> None:
    kept_names = [path.name for path in played.folder.rglob("*")]
    if played.code == PASSED:
        assert kept_names == []
        return
    assert {"report.txt", "findings.json", "box-1.log", "store.log"} <= set(kept_names)
    assert "Again: python -m bench.soak --replay" in played.output


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_soak_ends_its_processes_and_removes_its_files(
    number: int, tmp_path: Path
) -> None:
    process = soak("--seed", "3", keep=tmp_path)
    wait_until(
        lambda: any(path.name == "box-1.log" for path in tmp_path.rglob("*.log")),
        within_s=60,
        what="a box is started",
    )
    process.send_signal(number)
    output, _ = process.communicate(timeout=60)
    assert process.returncode == INTERRUPTED, output
    assert processes_with(str(tmp_path)) == []
    assert list(tmp_path.iterdir()) == []
