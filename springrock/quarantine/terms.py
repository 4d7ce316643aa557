"""When a request is quarantined, and for how long."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineTerms(NamedTuple):
    """The rules by which requests are quarantined.

    Attributes:
        crashes: How many replicas must have crashed while running a request, without a
            completed run since.
        for_s: For how many seconds a crash counts against a request. After that the cause may
            have been repaired.
    """

    crashes: int = 3
    for_s: float = 900.0
