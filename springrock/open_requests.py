"""The number of requests that a box is handling."""

from __future__ import annotations

from gevent.event import Event

from springrock.clock import Deadline
from springrock.metrics import Metrics


class OpenRequests:
    """Counts the requests that the box is handling.

    Args:
        metrics: The metrics that show the count.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._idle = Event()
        self._idle.set()
        self.count = 0

    def enter(self) -> None:
        """Record the start of a request."""
        self.count += 1
        self._idle.clear()
        self._metrics.open_requests.set(self.count)

    def leave(self) -> None:
        """Record the end of a request."""
        self.count -= 1
        self._metrics.open_requests.set(self.count)
        if not self.count:
            self._idle.set()

    def wait_until_idle(self, deadline: Deadline) -> bool:
        """Wait until no request is left; return whether that happened before the deadline."""
        return bool(self._idle.wait(timeout=deadline.left_s))
