"""Known failures: tests that KNOWN-RED.txt lists may fail, and every run prints the list.

A line of the file reads `TEST | CAUSE | ISSUE`. A test named by its whole id may fail; a line that
names something wider is printed, and nothing is passed over for it.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

_LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownFailure(NamedTuple):
    """One line of the list."""

    test: str
    cause: str

    @classmethod
    def from_line(cls, line: str) -> KnownFailure:
        """Return the failure that a line tells of."""
        test, _, rest = line.partition(" | ")
        return cls(test.strip(), rest.strip())


def known_failures() -> list[KnownFailure]:
    """Return the list; it may be missing."""
    if not _LIST.exists():
        return []
    return [KnownFailure.from_line(line) for line in _LIST.read_text().splitlines() if line.strip()]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the listed tests fail."""
    causes = {known.test: known.cause for known in known_failures()}
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list."""
    for known in known_failures():
        terminalreporter.write_line(f"KNOWN-RED: {known.test}: {known.cause}")
