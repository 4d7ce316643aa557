"""How much of an answer a box keeps."""

from __future__ import annotations

from typing import NamedTuple


class AnswerLimits(NamedTuple):
    """How much of an answer a box keeps.

    Attributes:
        kept_bytes: Of a longer plain answer, the rest is sent on as it arrives.
        event_bytes: The length of the longest event of a stream.
    """

    kept_bytes: int = 262_144
    event_bytes: int = 1_048_576


DEFAULT_LIMITS = AnswerLimits()
