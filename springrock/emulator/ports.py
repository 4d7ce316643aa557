"""Free loopback ports for stand-ins and boxes that must know each other's addresses."""

from __future__ import annotations

import socket

_HOST = "127.0.0.1"


def free_addresses(count: int) -> list[str]:
    """Return so many different loopback addresses whose ports were free just now."""
    sockets = []
    try:
        for _ in range(count):
            plain = socket.socket()
            plain.bind((_HOST, 0))
            sockets.append(plain)
        return [f"{_HOST}:{plain.getsockname()[1]}" for plain in sockets]
    finally:
        for plain in sockets:
            plain.close()
