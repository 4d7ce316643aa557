"""Reads the structured log lines of entry boxes from files that may hold other lines as well."""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable, Iterator
from typing import Any


def log_records(lines: Iterable[str], texts: Collection[str]) -> Iterator[dict[str, Any]]:
    """Yield the parsed records of log lines with one of the texts; skip all other lines.

    Args:
        lines: Log lines; a JSON object ends each structured line, after any prefix.
        texts: The log messages to select, with their prefixes.
    """
    for line in lines:
        if not any(text in line for text in texts):
            continue
        try:
            yield json.loads(line[line.index("{") :])
        except ValueError:
            continue
