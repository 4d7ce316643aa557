"""Makes the threads of websockets wait in a way that is safe under gevent.

The library's threads wait in a selector and close the socket from other threads while it is
registered there. gevent keeps a registered descriptor armed, and says that closing it then may
end the process; it did (tests/test_gevent_websockets.py). A wait on the socket itself is ended by
gevent when the socket is closed. Importing this module puts such a wait in place.
"""

from __future__ import annotations

import selectors
import socket
from types import SimpleNamespace
from typing import Any

from websockets.sync import connection as _connection
from websockets.sync import server as _server

_READABLE = "socket"
"""The mark under which the library registers the socket that it reads."""


class _SocketWait:
    """Stands where the library expects a selector."""

    def __init__(self) -> None:
        self._keys: list[selectors.SelectorKey] = []

    def register(self, fileobj: Any, events: int, data: Any = None) -> None:
        """Note a socket; closed ones are refused as a selector does."""
        if fileobj.fileno() < 0:
            raise ValueError("the socket is closed")
        self._keys.append(selectors.SelectorKey(fileobj, fileobj.fileno(), events, data))

    def select(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait until the socket can be read; nothing if it was closed.

        A listening socket is not waited for: its accept waits, and is ended by a close.
        """
        key = next((key for key in self._keys if key.data == _READABLE), None)
        if key is None:
            return []
        while True:
            try:
                key.fileobj.recv(1, socket.MSG_PEEK)  # type: ignore[union-attr]
            except TimeoutError:
                continue
            except OSError:
                return []
            return [(key, selectors.EVENT_READ)]

    def close(self) -> None:
        """Forget all sockets."""
        self._keys.clear()


_selectors = SimpleNamespace(DefaultSelector=_SocketWait, EVENT_READ=selectors.EVENT_READ)
_connection.selectors = _selectors  # type: ignore[attr-defined, assignment]
_server.selectors = _selectors  # type: ignore[attr-defined, assignment]
