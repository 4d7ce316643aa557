"""The one reader of the numbers that stand in headers."""

from __future__ import annotations

import math


def read_non_negative(text: str) -> float | None:
    """Return a finite number that is not negative; None if the text is none."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
