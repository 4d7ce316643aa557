"""Has another replica asked to go on with a stream while the one that runs it is silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.errors import SpringrockError
from springrock.forwarding.events import Event
from springrock.forwarding.resumption import Resumption
from springrock.forwarding.stream_run import StreamRun

STALL_TIMEOUT_S = 1.5
"""A replica counts as silent after this time without an event."""

NewResumption = Callable[[Callable[[], None]], Resumption]
"""Returns a search, given what to call when a replica has won."""


_SENT_BEFORE = "another replica sent the next event before"
_AT_WORK_BESIDE = "silent in this run alone, while another replica is at work on it"


class Overtaken(SpringrockError):
    """Another replica goes on with a stream."""


class SilenceGuard:
    """Guards the reading of one run.

    After a silence it begins a search for another replica, while the task that reads the run waits
    on. Whichever replica sends the next event first goes on with the stream.

    Args:
        run: The run.
        may_resume: Whether another replica may go on with the stream.
        new_resumption: Creates a search.
        on_silent: Called once in each silence, before a search begins.
    """

    def __init__(
        self,
        run: StreamRun,
        *,
        may_resume: Callable[[], bool],
        new_resumption: NewResumption,
        on_silent: Callable[[], None] = lambda: None,
    ) -> None:
        self._run = run
        self._may_resume = may_resume
        self._new_resumption = new_resumption
        self._on_silent = on_silent
        self._reader = gevent.getcurrent()
        self._waiting_since: float | None = None
        self._was_silent = False
        self._timer: gevent.Greenlet[..., Any] | None = None
        self._resumption: Resumption | None = None

    def start(self) -> None:
        """Begin to watch for silences."""
        self._watch_for(STALL_TIMEOUT_S)

    def read(self) -> list[Event]:
        """Return the next events of the run, as `StreamRun.read` does.

        Raises:
            Overtaken: If another replica has sent the next event before, or is at work on it while
                this one is silent in this run alone.
            OutcomeUnknown: If the run broke off, or was not complete by the deadline.
        """
        self._waiting_since = monotonic()
        try:
            events = self._run.read()
        finally:
            self._waiting_since = None
        if self._resumption is not None and self._resumption.won:
            raise Overtaken(_SENT_BEFORE)
        if self._was_silent:
            self._was_silent = False
            self._end_resumption()
            self._watch_for(STALL_TIMEOUT_S)
        return events

    def release_resumption(self) -> Resumption:
        """Stop guarding; return the search, or a new one, which the caller must cancel."""
        resumption = self._resumption
        self._resumption = None
        self.close()
        if resumption is None:
            resumption = self._new_resumption(lambda: None)
            resumption.start(give_up=lambda: None)
        return resumption

    def close(self) -> None:
        """Stop guarding and end the search, if there is one."""
        if self._timer is not None:
            self._timer.kill(block=False)
        self._end_resumption()

    def _watch_for(self, seconds: float) -> None:
        self._timer = gevent.spawn_later(seconds, self._check)

    def _check(self) -> None:
        """Begin a search if the run is silent; else check again when it may be."""
        waited_s = 0.0 if self._waiting_since is None else monotonic() - self._waiting_since
        if waited_s < STALL_TIMEOUT_S:
            self._watch_for(STALL_TIMEOUT_S - waited_s)
            return
        self._was_silent = True
        self._on_silent()
        if not self._may_resume():
            return
        self._resumption = self._new_resumption(lambda: self._schedule_interrupt(_SENT_BEFORE))
        self._resumption.start(self._run, give_up=lambda: self._schedule_interrupt(_AT_WORK_BESIDE))

    def _end_resumption(self) -> None:
        if self._resumption is not None:
            self._resumption.cancel()
            self._resumption = None

    def _schedule_interrupt(self, reason: str) -> None:
        gevent.get_hub().loop.run_callback(self._interrupt, self._resumption, reason)

    def _interrupt(self, resumption: Resumption | None, reason: str) -> None:
        """Interrupt the read that a search was begun for, unless it ended; called in the hub."""
        is_current = resumption is not None and resumption is self._resumption
        if is_current and self._waiting_since is not None:
            self._reader.throw(Overtaken(reason))
