"""Peers that answer a long upload at once, while it is still being written."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path

from tests.forwarding.scripted import Script, ScriptedReplica, reset

_RECEIVE_BUFFER_BYTES = 65_536


def _largest_send_buffer_bytes() -> int:
    return int(Path("/proc/sys/net/ipv4/tcp_wmem").read_text().split()[2])


LONG_UPLOAD = bytes(_largest_send_buffer_bytes() + 16 * _RECEIVE_BUFFER_BYTES)
"""More than the buffers of a connection to an `EarlyReplica` take."""

EarlyReplica = partial(ScriptedReplica, receive_buffer_bytes=_RECEIVE_BUFFER_BYTES)
"""A replica to which a long upload cannot be written unless it is read."""


def answering_early(data: bytes, end: Callable[[socket.socket], None]) -> Script:
    """Return a script that answers when the body of a request begins, and then ends."""

    def _script(connection: socket.socket) -> None:
        received = b""
        while not received.partition(b"\r\n\r\n")[2]:
            received += connection.recv(1)
        connection.sendall(data)
        end(connection)

    return _script


def close_unread(connection: socket.socket) -> None:
    """Close the connection; the system resets it, as there are bytes that were not read."""
    connection.close()


def read_and_close(connection: socket.socket) -> None:
    """End the answer in order, and close the connection when the upload has ended."""
    connection.shutdown(socket.SHUT_WR)
    while connection.recv(65_536):
        continue
    connection.close()


def finish_and_reset(connection: socket.socket) -> None:
    """End the answer in order, and reset the connection after that."""
    connection.shutdown(socket.SHUT_WR)
    reset(connection)


RESETS = (reset, close_unread)
ENDS_IN_ORDER = (read_and_close, finish_and_reset)
