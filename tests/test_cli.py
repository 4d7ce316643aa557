"""The command line, run as a process."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from springrock.platform.names import SETTINGS_VARIABLE

SLOW_MODULES = ("defopt", "docutils", "lark")
MISSING = "/missing/settings.jsonc"


@pytest.mark.parametrize("options", [(), ("--settings", MISSING), ("-s", MISSING)])
def test_a_box_starts_without_importing_unneeded_parsers(options: tuple[str, ...]) -> None:
    environment = {**os.environ, SETTINGS_VARIABLE: "" if options else MISSING}
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "springrock", "entry", *options],
        env=environment,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "cannot be read" in result.stderr
    assert MISSING in result.stderr
    imported = {line.rpartition("|")[2].strip() for line in result.stderr.splitlines()}
    assert "springrock.entry" in imported
    assert not imported.intersection(SLOW_MODULES)


@pytest.mark.parametrize("options", [("--settings",), ("--settings", "--x"), ("--unknown",)])
def test_wrong_options_of_a_box_are_usage_errors(options: tuple[str, ...]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "springrock", "entry", *options],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "usage:" in result.stderr


def test_other_commands_print_help() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "springrock", "check", "--help"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0
    assert "--kind" in result.stdout
