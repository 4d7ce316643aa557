"""Detects that a caller closes its connection while its request is being served."""

from __future__ import annotations

import socket
from typing import Any

import gevent

from springrock.errors import CallerGone


class CallerWatch:
    """Raises `CallerGone` in the task that created it when the caller closes its connection.

    Use as a context manager around the serving of one request.

    Args:
        connection: The caller's socket; nothing else may read from it while the watch runs.
    """

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._serving_task = gevent.getcurrent()
        self._watch_task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Begin watching."""
        self._watch_task = gevent.spawn(self._watch)

    def stop(self) -> None:
        """Stop watching; a client that leaves from now on raises no `CallerGone`."""
        task, self._watch_task = self._watch_task, None
        if task is not None:
            task.kill()

    def _watch(self) -> None:
        error: OSError | None = None
        while True:
            try:
                data = self._connection.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                continue
            except OSError as failure:
                data, error = b"", failure
            # While `stop` waits for this task, it must not be interrupted.
            if data or self._watch_task is None:
                return
            gevent.kill(self._serving_task, _caller_gone(error))
            return


def _caller_gone(error: OSError | None) -> CallerGone:
    """Return the exception to raise; its cause is the error of the connection, if any."""
    gone = CallerGone("the caller closed its connection" if error is None else str(error))
    gone.__cause__ = error
    return gone
