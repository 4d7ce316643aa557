"""The command line, started as a process."""

from __future__ import annotations

import os
import subprocess
import sys

from springrock.platform.names import SETTINGS_VARIABLE

SLOW_TO_IMPORT = ("defopt", "docutils", "lark")


def test_a_box_starts_without_the_parsers_that_it_does_not_need() -> None:
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
    assert not imported.intersection(SLOW_TO_IMPORT)


def test_other_commands_have_a_help() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "springrock", "check", "--help"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0
    assert "--kind" in result.stdout
