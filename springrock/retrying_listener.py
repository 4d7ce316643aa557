"""A listening socket that accepts again after a passing lack of resources.

The accept loop of the websockets library ends for good at the first error, as it takes every error
for the close of its socket.
"""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

_PAUSE_S = 0.05
_PASSING_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
    }
)
"""Errors of one `accept` (Linux, accept(2)); the next one may succeed."""


class RetryingListener(socket.socket):
    """A listening socket that accepts on after an error that may pass.

    Attributes:
        on_failure: Called with the first error of each series.
    """

    on_failure: Callable[[OSError], None] = staticmethod(lambda error: None)

    @classmethod
    def from_address(
        cls, host: str, port: int, *, on_failure: Callable[[OSError], None]
    ) -> RetryingListener:
        """Return a socket that listens at an address."""
        listener = cls(fileno=socket.create_server((host, port)).detach())
        listener.on_failure = on_failure
        return listener

    def accept(self) -> tuple[socket.socket, Any]:
        """Wait for a connection.

        Raises:
            OSError: If the socket was closed, or cannot accept connections at all.
        """
        failing = False
        while True:
            try:
                return super().accept()
            except OSError as error:
                if error.errno not in _PASSING_ERRORS:
                    raise
                if not failing:
                    self.on_failure(error)
                failing = True
            time.sleep(_PAUSE_S)
