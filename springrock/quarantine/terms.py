"""When a request is sent to no more replicas, and for how long."""

from __future__ import annotations

from typing import NamedTuple


class QuarantineTerms(NamedTuple):
    """What convicts a request.

    Attributes:
        crashes: So many replicas must have crashed under it, without a run to a good end since.
        for_s: So long a crash is held against it: what it needs to run well may have been mended.
    """

    crashes: int = 3
    for_s: float = 900.0
