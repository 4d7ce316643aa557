"""HTTP connections on which an answer with a cut or malformed head is broken.

The standard library takes a line that is cut off, and the end of a connection inside a head, for
whole, and drops the rest of a head after a malformed line.
"""

from __future__ import annotations

import io
import socket
from http.client import HTTPException, HTTPResponse, RemoteDisconnected

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from springrock.answer_head import MalformedHead, check_framing, check_lines


class _LineReader(io.BufferedReader):
    """Reads a connection, and raises where it ends inside a line.

    Attributes:
        head: The lines of the head that is being read; None outside of heads.
    """

    head: list[bytes] | None = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line, up to a size.

        Raises:
            RemoteDisconnected: If the connection ended before the end of the line or of the head.
        """
        line = super().readline(size)
        is_cut = len(line) != size and not line.endswith(b"\n")
        if self.head is not None:
            self.head.append(line)
        if is_cut and (line or self.head is not None):
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
        """Read the head.

        Raises:
            HTTPException: If it is malformed, or the connection ended inside it.
        """
        lines = self._reader.head = []
        try:
            super().begin()
        finally:
            self._reader.head = None
        try:
            check_lines(lines)
            check_framing(self.getheaders())
        except MalformedHead as error:
            raise HTTPException(str(error)) from None


class _StrictConnection(HTTPConnection):
    response_class = _StrictResponse


class _StrictConnectionPool(HTTPConnectionPool):
    ConnectionCls = _StrictConnection


def strict_pool_manager(*, maxsize: int = 1, num_pools: int = 10) -> urllib3.PoolManager:
    """Return a pool of such connections that makes no retries.

    Args:
        maxsize: The most idle connections to one address.
        num_pools: The most addresses with idle connections.
    """
    manager = urllib3.PoolManager(num_pools, retries=False, maxsize=maxsize)
    manager.pool_classes_by_scheme = {"http": _StrictConnectionPool}
    return manager
