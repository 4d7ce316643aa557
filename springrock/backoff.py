"""The back-off period that an upstream requests when it refuses a request."""

from __future__ import annotations

from springrock.clock import monotonic


class Backoff:
    """The back-off period of one upstream, which each refusal may extend."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until = 0.0

    def extend(self, seconds: float) -> None:
        """Extend the period to this many seconds from now; never shortens it."""
        self._until = max(self._until, monotonic() + seconds)

    @property
    def active(self) -> bool:
        """Whether the period has not ended yet."""
        # Checked for every candidate of every choice; most have never requested a back-off, and
        # then the clock need not be read.
        return self._until > 0.0 and monotonic() < self._until

    @property
    def left_s(self) -> float:
        """Seconds until the period ends; 0 if it has ended."""
        return max(0.0, self._until - monotonic())
