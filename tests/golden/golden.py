"""Comparison with golden files.

Set SPRINGROCK_GOLDEN=write to write the files anew; read the difference before you commit it.
"""

from __future__ import annotations

import os
import re
from collections.abc import Iterable
from pathlib import Path

Substitution = tuple[re.Pattern[str], str]


def check(folder: Path, name: str, text: str, *, changing: Iterable[Substitution]) -> None:
    """Compare a text with the file of that name.

    Args:
        folder: Where the files are.
        name: The name of the file, without its ending.
        text: What came out now.
        changing: What differs from run to run, and what stands for it in the file.
    """
    for pattern, instead in changing:
        text = pattern.sub(instead, text)
    path = folder / f"{name}.txt"
    if os.environ.get("SPRINGROCK_GOLDEN") == "write":
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)
    assert text == path.read_text()
