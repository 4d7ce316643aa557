"""Turns of a task that reads without waiting."""

from __future__ import annotations

import gevent

from springrock.clock import monotonic

_TURN_S = 0.005
_PAUSE_S = 0.001
"""A pause of 0 would resume the task before the event loop looks at its sockets and timers."""


class Turn:
    """The time in which a task does not let others run, as its reads find bytes and do not wait."""

    def __init__(self) -> None:
        self._began_at = monotonic()

    def begin(self) -> None:
        """Begin a turn, as the task has waited."""
        self._began_at = monotonic()

    def pause_if_over(self) -> None:
        """Let other tasks run if the turn has been long enough."""
        if monotonic() - self._began_at >= _TURN_S:
            gevent.sleep(_PAUSE_S)
            self.begin()
