"""The command line, run as a process."""

from __future__ import annotations

import os
import subprocess
import sys

from springrock.platform.names import SETTINGS_VARIABLE

SLOW_MODULES = ("defopt", "docutils", "lark")


def test_a_box_starts_without_importing_unneeded_parsers() -> None:
    environment = {**os.environ, SETTINGS_VARIABLE: "/missing/settings.jsonc"}
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "springrock", "entry"],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "cannot be read" in result.stderr
    imported = {line.rpartition("|")[2].strip() for line in result.stderr.splitlines()}
    assert "springrock.entry" in imported
    assert not imported.intersection(SLOW_MODULES)


def test_other_commands_print_help() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "springrock", "check", "--help"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0
    assert "--kind" in result.stdout
