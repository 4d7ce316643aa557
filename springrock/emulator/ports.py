"""Allocation of loopback ports for stand-ins and boxes that must know each other's addresses.

The ports lie below the kernel's ephemeral range, so that no outgoing connection can occupy one
between its allocation and the start of the listener. Concurrent processes never allocate the same
port: each process reserves whole blocks of ports for its lifetime by staying bound to the first
port of each block.
"""

from __future__ import annotations

import os
import socket

_HOST = "127.0.0.1"
_FIRST_PORT = 10_000
_BLOCK_COUNT = 400
_PORTS_PER_BLOCK = 50


class _PortAllocator:
    """Allocates ports from the blocks that this process has reserved."""

    def __init__(self) -> None:
        self._guards: list[socket.socket] = []
        self._next_block = os.getpid()
        self._block_ports: list[int] = []

    def allocate(self) -> int:
        """Return an unused port that this process has not allocated before.

        Raises:
            OSError: If no block of ports can be reserved.
        """
        while True:
            if not self._block_ports:
                self._block_ports = self._reserve_block()
            port = self._block_ports.pop(0)
            if _is_free(port):
                return port

    def _reserve_block(self) -> list[int]:
        for _ in range(_BLOCK_COUNT):
            first_port = _FIRST_PORT + self._next_block % _BLOCK_COUNT * _PORTS_PER_BLOCK
            self._next_block += 1
            if self._bind_guard(first_port):
                return list(range(first_port + 1, first_port + _PORTS_PER_BLOCK))
        raise OSError("every block of loopback ports is in use")

    def _bind_guard(self, port: int) -> bool:
        guard = socket.socket()
        try:
            guard.bind((_HOST, port))
        except OSError:
            guard.close()
            return False
        self._guards.append(guard)
        return True


_port_allocator = _PortAllocator()


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses whose ports are unused at present.

    Args:
        count: Number of addresses.

    Raises:
        OSError: If no block of ports can be reserved.
    """
    return [f"{_HOST}:{_port_allocator.allocate()}" for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
