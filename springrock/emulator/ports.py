"""Free loopback ports for stand-ins and boxes that must know each other's addresses.

They are taken from below the range that the kernel gives to outgoing connections, so that none
is taken between choosing and listening; each process begins its search at a place of its own.
"""

from __future__ import annotations

import itertools
import os
import socket

_HOST = "127.0.0.1"
_FIRST_PORT = 10_000
_PORTS = 20_000
_PORTS_EACH = 250

_offsets = itertools.count(os.getpid() * _PORTS_EACH)


def free_addresses(count: int) -> list[str]:
    """Return so many different loopback addresses whose ports were free just now."""
    found: list[str] = []
    while len(found) < count:
        port = _FIRST_PORT + next(_offsets) % _PORTS
        if _is_free(port):
            found.append(f"{_HOST}:{port}")
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            plain.bind((_HOST, port))
        except OSError:
            return False
    return True
