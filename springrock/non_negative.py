"""Parses numbers in headers."""

from __future__ import annotations

import math


def read_non_negative(text: str) -> float | None:
    """Return the finite, non-negative number that a text holds; None if it holds none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
