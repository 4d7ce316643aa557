"""Comparison with golden files.

Set SPRINGROCK_GOLDEN=write to rewrite the files; review the difference before committing it.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterable
from pathlib import Path

Substitution = tuple[re.Pattern[str], str]


def check(folder: Path, name: str, text: str, *, changing: Iterable[Substitution]) -> None:
    """Compare a text with a golden file.

    Args:
        folder: The folder of the golden files.
        name: The name of the file, without its extension.
        text: The text of this run.
        changing: Patterns of the parts that differ between runs, and their replacements.
    """
    for pattern, replacement in changing:
        text = pattern.sub(replacement, text)
    path = folder / f"{name}.txt"
    if os.environ.get("SPRINGROCK_GOLDEN") == "write":
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text()
