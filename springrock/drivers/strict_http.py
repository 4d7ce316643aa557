"""HTTP connections on which an answer that is cut off inside a line is broken.

The standard library takes such a line, and the end of a connection inside a head, for whole.
"""

from __future__ import annotations

import io
import socket
from http.client import HTTPResponse, RemoteDisconnected

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool


class _LineReader(io.BufferedReader):
    """Reads a connection, and raises where it ends inside a line.

    Attributes:
        in_head: Whether the head of an answer is being read, which ends with an empty line.
    """

    in_head = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, up to a size.

        Raises:
            RemoteDisconnected: If the connection ended before the end of the line or of the head.
        """
        line = super().readline(size)
        is_cut = len(line) != size and not line.endswith(b"\n")
        if is_cut and (line or self.in_head):
            raise RemoteDisconnected(
                "the connection ended inside a line or before the end of a head"
            )
        return line


class _StrictResponse(HTTPResponse):
    """An answer whose head and chunk sizes have to be whole."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.fp.close()
        self._reader = _LineReader(sock.makefile("rb", buffering=0))
        self.fp = self._reader

    def begin(self) -> None:
        """Read the head."""
        self._reader.in_head = True
        try:
            super().begin()
        finally:
            self._reader.in_head = False


class _StrictConnection(HTTPConnection):
    response_class = _StrictResponse


class _StrictConnectionPool(HTTPConnectionPool):
    ConnectionCls = _StrictConnection


def strict_pool_manager(*, maxsize: int = 1) -> urllib3.PoolManager:
    """Return a pool of such connections that makes no retries.

    Args:
        maxsize: The most idle connections to one address.
    """
    manager = urllib3.PoolManager(retries=False, maxsize=maxsize)
    manager.pool_classes_by_scheme = {"http": _StrictConnectionPool}
    return manager
