"""Builds of earlier commits, for tests in which boxes of two builds work side by side."""

from __future__ import annotations

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

LAST_LANDING = "0235fbf0bb83"
"""What users may run when they begin to upgrade to this build."""

BEFORE_LIMITS = "e68fd97b5235"
"""The last landing whose placers count nothing out to replicas that name a limit."""

_TREE = Path(__file__).parent.parent


class HistoryMissing(Exception):
    """The repository does not hold a commit, as in a shallow clone."""


def build_at(commit: str, folder: Path) -> Path:
    """Lay the tree of a commit out in a folder and return it.

    Raises:
        HistoryMissing: If the repository does not hold the commit.
    """
    archive = subprocess.run(
        ["git", "archive", "--format=tar", commit, "springrock"], cwd=_TREE, capture_output=True
    )
    if archive.returncode:
        said = archive.stderr.decode(errors="replace").strip()
        raise HistoryMissing(f"no build of {commit}; is this a shallow clone? {said}")
    tree = folder / commit
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as packed:
        packed.extractall(tree, filter="data")
    return tree
