"""Checks out earlier commits, for tests in which boxes of two builds run together."""

from __future__ import annotations

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

LAST_RELEASE = "a8434609a7bb"
"""The previous release, which users upgrade from."""

BEFORE_COMPARING = "37c928e27cbe"
"""The last release whose boxes handle a passed-on request by whatever they know."""

BEFORE_BRITTLE = "1f33d5a0ba4d"
"""The last release whose placers keep no places for brittle replicas."""

BEFORE_PASSING_ON = "924fd91cc65e"
"""The last release whose boxes pass no requests on and are passed none."""

BEFORE_LIMITS = "e68fd97b5235"
"""The last release whose placers issue no permits for replicas that name a limit."""

_ROOT = Path(__file__).parent.parent


class HistoryMissing(Exception):
    """The repository lacks a commit, as a shallow clone does."""


def build_at(commit: str, folder: Path) -> Path:
    """Extract the source tree of a commit below a folder and return its path.

    Raises:
        HistoryMissing: If the repository lacks the commit.
    """
    archive = subprocess.run(
        ["git", "archive", "--format=tar", commit, "springrock"], cwd=_ROOT, capture_output=True
    )
    if archive.returncode:
        message = archive.stderr.decode(errors="replace").strip()
        raise HistoryMissing(f"no build of {commit}; is this a shallow clone? {message}")
    tree = folder / commit
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as packed:
        packed.extractall(tree, filter="data")
    return tree
