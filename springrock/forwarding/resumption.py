"""Finds another replica that goes on with a stream while its own is silent or has broken off.

Silence does not prove that a replica has failed, so its run is read on meanwhile. It is given up
only when another replica has sent the next event, or when two replicas are at work on the stream.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.forwarding.choosing import ChosenReplica, ReplicaChooser
from springrock.forwarding.errors import ExchangeError, Rejection
from springrock.forwarding.overlap import Overlap
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.stream_run import StreamRun

_FIND_TIMEOUT_S = 2.0
"""Time allowed for finding a replica that may be sent the request."""

_FIND_AGAIN_S = 0.5
"""Pause between two searches while the silent replica may still go on."""

_NEXT_REPLICA_AFTER_S = 2.0
"""Another replica is tried if the one before has sent no event within this time."""

_OVERLAP_CHECK_S = 0.1

PrepareRun = Callable[[ChosenReplica], StreamRun]
"""Returns a run at a replica that is not open yet."""


class _OpenRun(NamedTuple):
    """A run that may send the next event.

    Attributes:
        overlap: The time in which it and the run that was begun next are both at work.
        give_up: Closes the run.
    """

    run: StreamRun
    overlap: Overlap
    give_up: Callable[[], None]


class Resumption:
    """A search for a replica that goes on with a stream.

    The first replica that sends an event wins; the runs at the others are closed. A replica that
    was sent the request is waited for until the deadline, beside the next one.

    Args:
        progress: The request.
        chooser: Chooses replicas.
        prepare: Prepares a run at a replica.
        on_won: Called when a replica has won, in a task of the search.

    Attributes:
        refused: Why no further replica was tried when this was last decided; empty if one was.
    """

    def __init__(
        self,
        progress: RequestProgress,
        *,
        chooser: ReplicaChooser,
        prepare: PrepareRun,
        on_won: Callable[[], None] = lambda: None,
    ) -> None:
        self._progress = progress
        self._chooser = chooser
        self._prepare = prepare
        self._on_won = on_won
        self._tasks: list[gevent.Greenlet[..., Any]] = []
        self._finder: Any = None
        self._open_runs: list[_OpenRun] = []
        self._overlap_watch: gevent.Greenlet[..., Any] | None = None
        self._winner: StreamRun | None = None
        self._ended = False
        self._is_last_hope = Event()
        self._task_ended = Event()
        self.refused = ""

    @property
    def won(self) -> bool:
        """Whether a replica has sent the next event."""
        return self._winner is not None

    def start(self, silent: StreamRun | None = None, *, give_up: Callable[[], None]) -> None:
        """Begin the search.

        Args:
            silent: The silent run that is read on, if any.
            give_up: Called in a task of the search if that run is to be given up.
        """
        if silent is not None:
            self._open_runs.append(_OpenRun(silent, Overlap(), give_up))
        self._start_task(after_s=0.0)

    def await_winner(self) -> StreamRun | None:
        """Wait for a replica, now that the stream depends on the search alone.

        Returns:
            The run at the replica that won, which the caller must close; None if no further replica
            may be tried and all that were sent the request have failed.
        """
        self._is_last_hope.set()
        while not self.won and not all(task.ready() for task in self._tasks):
            self._task_ended.clear()
            self._task_ended.wait()
        winner, self._winner = self._winner, None
        return winner

    def cancel(self) -> None:
        """End the search and close its runs; without effect on a run that was returned."""
        self._end()
        if self._winner is not None:
            self._winner.close()
            self._winner = None

    def _end(self) -> None:
        self._ended = True
        current = gevent.getcurrent()
        gevent.killall([task for task in self._tasks if task is not current], block=False)
        if self._overlap_watch is not None:
            self._overlap_watch.kill(block=False)

    def _start_task(self, *, after_s: float) -> gevent.Greenlet[..., Any]:
        """Try replicas one after the other, in a task beside those that run already."""
        task = gevent.spawn_later(after_s, self._try_replicas)
        task.link(lambda _: self._task_ended.set())
        self._tasks.append(task)
        return task

    def _try_replicas(self) -> None:
        self._finder = gevent.getcurrent()
        while not self._ended:
            was_last_hope = self._is_last_hope.is_set()
            chosen = self._find()
            if chosen is not None:
                if self._try(self._prepare(chosen)):
                    return
            elif was_last_hope:
                return
            else:
                self._is_last_hope.wait(_FIND_AGAIN_S)

    def _find(self) -> ChosenReplica | None:
        """Return a replica that may be sent the request; None if there is none."""
        progress = self._progress
        if not progress.resuming or not progress.may_run_again:
            self.refused = "may_have_run"
            return None
        until = min(progress.ends_at, monotonic() + _FIND_TIMEOUT_S)
        try:
            chosen = self._chooser.next_replica(progress, until=until)
        except Rejection as rejection:
            self.refused = rejection.reason
            return None
        self.refused = ""
        return chosen

    def _try(self, run: StreamRun) -> bool:
        """Send the request to a replica; return whether this task need not try another."""
        current: Any = gevent.getcurrent()
        next_task = self._start_task(after_s=_NEXT_REPLICA_AFTER_S)
        open_run = _OpenRun(run, Overlap(), lambda: current.kill(block=False))
        self._add_open_run(open_run)
        try:
            if self._open(run):
                self._win(run)
                return True
        finally:
            self._open_runs.remove(open_run)
            if self._winner is not run:
                run.close()
        if self._finder is not current:
            return True
        next_task.kill(block=False)
        return False

    def _open(self, run: StreamRun) -> bool:
        """Return whether a replica sent the next event before all others."""
        try:
            head = run.open(silent_after_s=_NEXT_REPLICA_AFTER_S)
        except ExchangeError:
            return False
        return head.succeeded and not self._ended

    def _win(self, run: StreamRun) -> None:
        self._winner = run
        self._end()
        self._on_won()
        self._task_ended.set()

    def _add_open_run(self, open_run: _OpenRun) -> None:
        self._open_runs.append(open_run)
        self._probe_open_runs()
        if self._overlap_watch is None:
            self._overlap_watch = gevent.spawn(self._watch_overlaps)

    def _probe_open_runs(self) -> None:
        """Find out which replicas are at work, as a slow one is heard as rarely as a paused one."""
        if len(self._open_runs) > 1:
            for open_run in self._open_runs:
                open_run.run.probe()

    def _watch_overlaps(self) -> None:
        while not self._ended:
            gevent.sleep(_OVERLAP_CHECK_S)
            self._give_up_earlier_runs()

    def _give_up_earlier_runs(self) -> None:
        """Give up each run whose replica is at work beside that of the run that was begun next."""
        self._probe_open_runs()
        for earlier, later in list(zip(self._open_runs, self._open_runs[1:], strict=False)):
            if earlier.overlap.is_too_long(
                now=monotonic(),
                earlier_heard_at=earlier.run.replica_heard_at,
                later_sent_at=later.run.began_at,
                later_heard_at=later.run.replica_heard_at,
            ):
                earlier.give_up()
