"""The count of the requests that are in a box."""

from __future__ import annotations

from gevent.event import Event

from springrock.clock import Deadline
from springrock.metrics import Metrics


class OpenRequests:
    """Counts the requests that are in the box.

    Args:
        metrics: The metrics to show the count in.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._none = Event()
        self._none.set()
        self.count = 0

    def enter(self) -> None:
        """Count a request in."""
        self.count += 1
        self._none.clear()
        self._metrics.open_requests.set(self.count)

    def leave(self) -> None:
        """Count a request out."""
        self.count -= 1
        self._metrics.open_requests.set(self.count)
        if not self.count:
            self._none.set()

    def wait_for_none(self, deadline: Deadline) -> bool:
        """Wait until none is left; return whether that came in time."""
        return bool(self._none.wait(timeout=deadline.left_s))
