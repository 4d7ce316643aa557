"""Moving averages of the time per token, request and adapter load on one replica."""

from __future__ import annotations

_REQUEST_WEIGHT = 0.1
_LOAD_WEIGHT = 0.2


class Estimate:
    """Moving averages that start at the values of the settings.

    Attributes:
        token_s: Seconds between tokens of one request.
        service_s: Seconds that a request runs.
        load_s: Seconds from the choice of a load to its end, including the wait for a turn.
    """

    def __init__(self, *, step_ms: float, load_s: float) -> None:
        self.token_s = step_ms / 1000
        self.service_s = self.token_s * 32
        self.load_s = load_s

    def record_service_time(self, seconds: float, tokens: int) -> None:
        """Update the averages with a completed request."""
        self.service_s += _REQUEST_WEIGHT * (seconds - self.service_s)
        if tokens > 0:
            self.token_s += _REQUEST_WEIGHT * (seconds / tokens - self.token_s)

    def record_load(self, seconds: float) -> None:
        """Update the average with a completed load."""
        self.load_s += _LOAD_WEIGHT * (seconds - self.load_s)
