"""Patches the websockets library so that connections are safe and fair under gevent.

The library's threads wait in a selector, and other threads close the socket while it is registered
there. gevent keeps watching a registered descriptor, and closing it then can crash the process
(see tests/test_gevent_websockets.py). gevent does end a wait on the socket itself when the socket
is closed. Importing this module replaces the library's selectors by such a wait. While bytes keep
coming, no wait lets other tasks run, so the wait also takes turns with them.
"""

from __future__ import annotations

import selectors
import socket
from types import SimpleNamespace
from typing import Any

from websockets.sync import connection as _connection
from websockets.sync import server as _server

from springrock.clock import monotonic
from springrock.turn import Turn

_WAIT_S = 0.001
"""A wait that took less found bytes."""

_READ_BYTES = 8_192
"""How much of a link is read between two turns: 64 KB may hold 32,768 frames."""

_READABLE = "socket"
"""The `data` value with which the library registers the socket that it reads."""


class _SocketSelector:
    """Replaces a selector; waits on the registered socket itself."""

    def __init__(self) -> None:
        self._keys: list[selectors.SelectorKey] = []
        self._turn = Turn()

    def register(self, fileobj: Any, events: int, data: Any = None) -> None:
        """Register a socket.

        Raises:
            ValueError: If the socket is closed, as a selector does.
        """
        if fileobj.fileno() < 0:
            raise ValueError("the socket is closed")
        self._keys.append(selectors.SelectorKey(fileobj, fileobj.fileno(), events, data))

    def select(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Let other tasks run and wait until the socket is readable; return nothing if closed.

        Does not wait for a listening socket: its `accept` blocks until the socket is closed.
        """
        key = next((key for key in self._keys if key.data == _READABLE), None)
        if key is None:
            return []
        self._turn.pause_if_over()
        began_at = monotonic()
        while True:
            try:
                key.fileobj.recv(1, socket.MSG_PEEK)  # type: ignore[union-attr]
            except TimeoutError:
                continue
            except OSError:
                return []
            if monotonic() - began_at >= _WAIT_S:
                self._turn.begin()
            return [(key, selectors.EVENT_READ)]

    def close(self) -> None:
        """Unregister all sockets."""
        self._keys.clear()


_selectors = SimpleNamespace(DefaultSelector=_SocketSelector, EVENT_READ=selectors.EVENT_READ)
_connection.Connection.recv_bufsize = _READ_BYTES
_connection.selectors = _selectors  # type: ignore[attr-defined, assignment]
_server.selectors = _selectors  # type: ignore[attr-defined, assignment]
