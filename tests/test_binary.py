"""The single-file binary runs as one process and starts no child processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from springrock.emulator.deployment import Addresses, SettingsWriter, Shape
from tests.processes import wait_until

ROOT = Path(__file__).parent.parent
CHILD_MINOR_FAULTS_FIELD = 10
CHILD_USER_TIME_FIELD = 15


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    target = tmp_path_factory.mktemp("dist") / "springrock"
    command = ["make", "binary", f"BINARY={target}", f"STAGE={target.parent / 'stage'}"]
    subprocess.run(command, cwd=ROOT, check=True, capture_output=True)
    return target


def process_stat_field(pid: int, index: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[index - 2])


def child_pids(pid: int) -> str:
    return "".join(path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/children"))


def test_it_serves_without_child_processes(binary: Path, tmp_path: Path) -> None:
    shape = Shape.from_small(zones=1, boxes_per_zone=1, engines=1)
    settings = tmp_path / "box.jsonc"
    writer = SettingsWriter(shape, Addresses.for_shape(shape))
    settings.write_text(json.dumps(writer.box("zone-1-a")))
    log = tmp_path / "log"
    with log.open("wb") as stream:
        process = subprocess.Popen(
            [sys.executable, binary, "serve", str(settings)],
            env={**os.environ, "SHIV_ROOT": str(tmp_path / "unpacked")},
            stdout=stream,
            stderr=stream,
        )
        try:
            wait_until(
                lambda: b'"box: Start."' in log.read_bytes(),
                within_s=60,
                what="the box logs its start",
            )
            assert child_pids(process.pid) == ""
            # The kernel adds the usage of children once they are reaped; 0 shows there were none.
            assert process_stat_field(process.pid, CHILD_MINOR_FAULTS_FIELD) == 0
            assert process_stat_field(process.pid, CHILD_USER_TIME_FIELD) == 0
        finally:
            process.terminate()
            process.wait(timeout=30)
    assert process.returncode == 0


def test_it_prints_its_version(binary: Path, tmp_path: Path) -> None:
    environment = {**os.environ, "SHIV_ROOT": str(tmp_path)}
    command = [sys.executable, binary, "--version"]
    result = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    assert result.stdout == "springrock 0.1.0\n"
