"""The structured lines of entry boxes, found in whatever log holds them."""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable, Iterator
from typing import Any


def said_in(lines: Iterable[str], texts: Collection[str]) -> Iterator[dict[str, Any]]:
    """Yield what the lines with one of some texts say; anything else is passed over.

    Args:
        lines: Lines that end in a JSON object each, whatever stands before it.
        texts: The sentences looked for, with their prefixes.
    """
    for line in lines:
        if not any(text in line for text in texts):
            continue
        try:
            yield json.loads(line[line.index("{") :])
        except ValueError:
            continue
