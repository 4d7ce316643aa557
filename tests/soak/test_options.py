from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import pytest

from bench.soak.errors import (
    BadBoxes,
    BadFolder,
    BadMinutes,
    BadSeed,
    SeedAndReplay,
    SoakInputError,
    TooManyBoxes,
    UnknownFault,
    UnknownMechanism,
)
from bench.soak.mechanisms import MECHANISMS
from bench.soak.options import PROCESS_MB, check_memory, read_options
from bench.soak.registry import DuplicateName, Registry
from bench.soak.shape import Shape


@pytest.mark.parametrize(
    ("arguments", "error"),
    [
        (["--seed", "seven"], BadSeed),
        (["--seed", "-1"], BadSeed),
        (["--seed", "1.5"], BadSeed),
        (["--seed", ""], BadSeed),
        (["--replay", "x"], BadSeed),
        (["--seed", "1", "--replay", "1"], SeedAndReplay),
        (["--minutes", "soon"], BadMinutes),
        (["--minutes", "nan"], BadMinutes),
        (["--minutes", "inf"], BadMinutes),
        (["--minutes", "-1"], BadMinutes),
        (["--minutes", "0.1"], BadMinutes),
        (["--boxes", "some"], BadBoxes),
        (["--boxes", "1"], BadBoxes),
        (["--boxes", "1000000"], TooManyBoxes),
        (["--without", "gravity"], UnknownMechanism),
        (["--only", "gravity"], UnknownFault),
        (["--keep", "/dev/null/x"], BadFolder),
    ],
)
def test_bad_input_is_a_typed_error(arguments: list[str], error: type[SoakInputError]) -> None:
    with pytest.raises(error):
        read_options(arguments)


def test_processes_may_take_half_of_the_memory() -> None:
    needed_mb = Shape.from_boxes(4).processes * PROCESS_MB
    check_memory(4, memory_mb=2 * needed_mb)
    with pytest.raises(TooManyBoxes, match=f"{needed_mb} MB"):
        check_memory(4, memory_mb=2 * needed_mb - 2)


def test_a_seed_and_a_replay_are_played_alike() -> None:
    assert read_options(["--seed", "5"]) == read_options(["--replay", "5"])


def test_minutes_may_be_fractions() -> None:
    assert read_options(["--seed", "5", "--minutes", "0.5"]).seconds == 30.0


def test_the_command_prints_the_error_and_starts_nothing(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "bench.soak", "--without", "gravity", "--keep", str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    known = ", ".join(sorted(MECHANISMS))
    message = f"UnknownMechanism: unknown mechanism 'gravity'; known are {known}\n"
    assert done.stderr == message
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("mechanism", sorted(MECHANISMS))
def test_every_mechanism_can_be_disabled(mechanism: str) -> None:
    with tempfile.NamedTemporaryFile("w", suffix=".jsonc") as settings:
        settings.write("{}")
        settings.flush()
        done = subprocess.run(
            [sys.executable, "-m", "bench.soak.mutant", mechanism, "check", settings.name],
            capture_output=True,
            text=True,
            check=False,
        )
    assert "is missing" in done.stderr or "required" in done.stderr, done.stderr
    assert "Traceback" not in done.stderr


def test_a_name_is_registered_once() -> None:
    class _Named:
        name = "one"

    registry: Registry[_Named] = Registry()
    registry.register(_Named)
    with pytest.raises(DuplicateName):
        registry.register(_Named)
