"""Running estimates of one replica: how long a token, a request and a load take there."""

from __future__ import annotations

_WEIGHT = 0.1
_LOAD_WEIGHT = 0.2


class Estimate:
    """Moving means, begun at the settings' values.

    Attributes:
        token_s: Seconds between tokens of one request.
        service_s: Seconds that a request runs.
        load_s: Seconds from the wish for a load to its end, the wait for a turn included.
    """

    def __init__(self, *, step_ms: float, load_s: float) -> None:
        self.token_s = step_ms / 1000
        self.service_s = self.token_s * 32
        self.load_s = load_s

    def record_service_time(self, seconds: float, tokens: int) -> None:
        """Learn from a request that ended whole."""
        self.service_s += _WEIGHT * (seconds - self.service_s)
        if tokens > 0:
            self.token_s += _WEIGHT * (seconds / tokens - self.token_s)

    def record_load(self, seconds: float) -> None:
        """Learn from a load that ended."""
        self.load_s += _LOAD_WEIGHT * (seconds - self.load_s)
