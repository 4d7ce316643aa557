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
        """Stop watching; afterwards `CallerGone` is no longer raised."""
        if self._watch_task is not None:
            self._watch_task.kill()
            self._watch_task = None

    def _watch(self) -> None:
        while True:
            try:
                data = self._connection.recv(1, socket.MSG_PEEK)
            except TimeoutError:
                continue
            except OSError:
                data = b""
            if data:
                return
            gevent.kill(self._serving_task, CallerGone("the caller closed its connection"))
            return
