"""A start imports only modules that an entry box runs, and the build compiles them in advance."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tomllib
from importlib.util import cache_from_source
from pathlib import Path

from bench.start import make_box_settings

ROOT = Path(__file__).parent.parent
NOT_FOR_A_START = {
    "bottle": "the doors of `springrock serve` and the stand-ins",
    "defopt": "the other commands",
    "docutils": "the other commands",
    "expression": "`springrock serve`",
    "gevent.resolver": "names of machines; addresses are numeric",
    "lark": "settings that are not plain JSON, and the operators' language",
    "springrock.operator_client": "`springrock ask`",
    "springrock.box": "`springrock serve`",
    "springrock.coordination": "`springrock serve`",
    "springrock.demo": "`springrock demo`",
    "springrock.doors.caller": "`springrock serve`",
    "springrock.doors.operator": "`springrock serve`",
    "springrock.emulator": "the stand-ins",
    "springrock.jsonc_grammar": "settings that are not plain JSON",
    "springrock.kernel": "`springrock serve`",
    "springrock.language": "`springrock serve`",
    "springrock.serving": "`springrock serve`",
    "springrock.statements": "`springrock serve`",
}
"""Modules that an entry box does not need at its start, and what does need them."""

_BUILD_A_BOX = """
import importlib.metadata, json, sys
from pathlib import Path

def entry_points(**_):
    raise AssertionError("plug-ins are sought in the metadata of installed packages")

importlib.metadata.entry_points = entry_points
import springrock.__main__
import gevent
from springrock.entry_process import EntryBox, EntrySettings, read_settings
box = EntryBox(read_settings(sys.argv[1], EntrySettings))
box.start()
while b"springrock_store_calls_total" not in box.metrics.render():
    gevent.sleep(0.01)
print(json.dumps(sorted(sys.modules)))
"""


def settings_with_comments() -> str:
    return "// As the platform lays it.\n" + json.dumps(make_box_settings(), indent=1)


def modules_of_a_start(folder: Path) -> set[str]:
    path = folder / "box.jsonc"
    path.write_text(settings_with_comments())
    command = [sys.executable, "-c", _BUILD_A_BOX, str(path)]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert run.returncode == 0, run.stderr
    return set(json.loads(run.stdout))


def test_a_start_imports_only_what_an_entry_box_runs(tmp_path: Path) -> None:
    modules = modules_of_a_start(tmp_path)
    assert "springrock.entry" in modules
    imported = {
        name: user
        for name, user in NOT_FOR_A_START.items()
        if any(module == name or module.startswith(f"{name}.") for module in modules)
    }
    assert imported == {}


def test_the_build_compiles_bytecode_that_is_validated_by_source_hash(tmp_path: Path) -> None:
    build = tomllib.loads((ROOT / "deploy/system.toml").read_text())["build"]
    shutil.copytree(
        ROOT / "springrock", tmp_path / "springrock", ignore=shutil.ignore_patterns("__pycache__")
    )
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    create_installed_packages(tmp_path)
    program = tmp_path / "bin" / "python3"
    program.parent.mkdir()
    program.symlink_to(sys.executable)
    environment = {**os.environ, "PATH": f"{program.parent}:{os.environ['PATH']}"}
    subprocess.run(["sh", "-c", build], cwd=tmp_path, env=environment, check=True)
    sources = [*(tmp_path / "springrock").rglob("*.py"), tmp_path / "target/deps/package.py"]
    assert {flags_of_bytecode(source) for source in sources} == {_HASHED_AND_CHECKED}


_HASHED_AND_CHECKED = 0b11
"""PEP 552 flags of bytecode that is valid if its recorded hash matches the source."""


def flags_of_bytecode(source: Path) -> int | None:
    bytecode = Path(cache_from_source(str(source)))
    return int.from_bytes(bytecode.read_bytes()[4:8], "little") if bytecode.exists() else None


def create_installed_packages(folder: Path) -> None:
    """Create packages that are newer than the lock file, so that the build installs none."""
    lock = folder / "requirements-run.lock"
    lock.touch()
    packages = folder / "target" / "deps"
    packages.mkdir(parents=True)
    (packages / "package.py").write_text("NAME = 'package'\n")
    an_hour_ago = packages.stat().st_mtime - 3600
    os.utime(lock, (an_hour_ago, an_hour_ago))
