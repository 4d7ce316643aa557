"""Free loopback ports for stand-ins and boxes that must know each other's addresses.

They are taken from below the range that the kernel gives to outgoing connections, so that none
is taken between choosing and listening. Programs that choose at the same moment cannot choose the
same: a process chooses from blocks that are its own for as long as it lives, as it stays bound to
the first port of each.
"""

from __future__ import annotations

import os
import socket

_HOST = "127.0.0.1"
_FIRST_PORT = 10_000
_BLOCKS = 400
_PORTS_EACH = 50


class _OwnPorts:
    """The ports that this process may give out."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._next_block = os.getpid()
        self._left: list[int] = []

    def take(self) -> int:
        """Return a port that is free now.

        Raises:
            OSError: If there is none.
        """
        while True:
            if not self._left:
                self._left = self._reserve_block()
            port = self._left.pop(0)
            if _is_free(port):
                return port

    def _reserve_block(self) -> list[int]:
        for _ in range(_BLOCKS):
            first = _FIRST_PORT + self._next_block % _BLOCKS * _PORTS_EACH
            self._next_block += 1
            if self._guard(first):
                return list(range(first + 1, first + _PORTS_EACH))
        raise OSError("every block of loopback ports is taken")

    def _guard(self, port: int) -> bool:
        guard = socket.socket()
        try:
            guard.bind((_HOST, port))
        except OSError:
            guard.close()
            return False
        self._guards.append(guard)
        return True


_own_ports = _OwnPorts()


def free_addresses(count: int) -> list[str]:
    """Return so many different loopback addresses whose ports were free just now.

    Raises:
        OSError: If no ports are left.
    """
    return [f"{_HOST}:{_own_ports.take()}" for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            plain.bind((_HOST, port))
        except OSError:
            return False
    return True
