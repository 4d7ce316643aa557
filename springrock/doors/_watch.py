"""Notices that a caller closed its connection while its request is being served."""

from __future__ import annotations

import socket
from typing import Any

import gevent

from springrock.errors import CallerGone


class CallerWatch:
    """Raises `CallerGone` in the task that made it, once the caller is gone.

    Use as a context manager around the serving of one request.

    Args:
        connection: The caller's socket; nobody else may read it meanwhile.
    """

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._served_by = gevent.getcurrent()
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Begin watching."""
        self._task = gevent.spawn(self._watch)

    def stop(self) -> None:
        """Stop watching; after this nothing is raised any more."""
        if self._task is not None:
            self._task.kill()
            self._task = None

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
            gevent.kill(self._served_by, CallerGone("the caller closed its connection"))
            return
