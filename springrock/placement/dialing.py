"""Opens connections to the links of other boxes."""

from __future__ import annotations

from gevent.socket import create_connection
from websockets.sync.client import ClientConnection, connect

from springrock import gevent_websockets as _  # noqa: F401
from springrock.placement.link_server import CLOSE_TIMEOUT_S, FRAME_LIMIT_BYTES
from springrock.settings import split_address

DIAL_TIMEOUT_S = 0.6
"""Timeout of the connection, and then of the first answer."""


def dial(address: str) -> ClientConnection:
    """Return a connection to the box at an address; raises one of `LINK_FAILURES`."""
    raw_socket = create_connection(split_address(address), timeout=DIAL_TIMEOUT_S)
    raw_socket.settimeout(None)
    return connect(
        f"ws://{address}/",
        sock=raw_socket,
        compression=None,
        proxy=None,
        max_size=FRAME_LIMIT_BYTES,
        open_timeout=DIAL_TIMEOUT_S,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
    ).__enter__()
