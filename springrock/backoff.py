"""How long an upstream wants nothing, as it said itself with a refusal."""

from __future__ import annotations

from springrock.clock import monotonic


class Backoff:
    """One rest that an upstream asks for, anew with each refusal."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until = 0.0

    def extend(self, seconds: float) -> None:
        """Let it last for so long from now on; a shorter time changes nothing."""
        self._until = max(self._until, monotonic() + seconds)

    @property
    def active(self) -> bool:
        """Whether it is not over."""
        # All candidates of each choice are asked, and hardly one has ever wanted rest.
        return self._until > 0.0 and monotonic() < self._until

    @property
    def left_s(self) -> float:
        """Seconds until it is over."""
        return max(0.0, self._until - monotonic())
