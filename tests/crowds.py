"""Crowds of clients that send large requests at once, and what the process before them holds."""

from __future__ import annotations

import contextlib
import itertools
import selectors
import socket
from collections.abc import Iterator, Sequence
from pathlib import Path

from springrock.clock import monotonic
from springrock.settings import split_address

BLOCK_BYTES = 65_536
_GIVE_UP_S = 60.0
"""A crowd whose bytes are neither accepted nor refused for this long is given up."""


def chunks(size: int, *, chunk_bytes: int) -> bytes:
    """Return a body of some bytes in chunks, whole."""
    whole, rest = divmod(size, chunk_bytes)
    body = (b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)) * whole
    if rest:
        body += b"%x\r\n%s\r\n" % (rest, b"x" * rest)
    return body + b"0\r\n\r\n"


class _Member:
    """One client: it sends its request as fast as it is read, and keeps its connection open."""

    def __init__(self, address: tuple[str, int], parts: Sequence[bytes]) -> None:
        self.connection = socket.create_connection(address, timeout=_GIVE_UP_S)
        self.connection.setblocking(False)
        self._parts = iter(parts)
        self._left = memoryview(next(self._parts, b""))
        self.done = not self._left
        self.received = b""

    def send(self) -> None:
        """Send what the other side accepts."""
        try:
            sent = self.connection.send(self._left[:BLOCK_BYTES])
        except BlockingIOError:
            return
        except OSError:
            self.done = True
            return
        self._left = self._left[sent:]
        if not self._left:
            self._left = memoryview(next(self._parts, b""))
            self.done = not self._left

    def receive(self) -> None:
        """Take what the other side has answered; an answer or a close ends the sending."""
        try:
            data = self.connection.recv(BLOCK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.received += data
        self.done = True

    def read_status(self) -> int:
        """Wait for the answer; return its status, 0 for a closed connection."""
        self.connection.settimeout(_GIVE_UP_S)
        if not self.received:
            self.receive()
        return int(self.received.split()[1]) if self.received else 0


class Crowd:
    """Clients that are connected at once; those that are not refused stay open until it is left.

    Args:
        address: ``HOST:PORT`` of the process.
        requests: What each client sends, in parts. A client's parts are repeated views of the same
            bytes where it sends much.
    """

    def __init__(self, address: str, requests: Sequence[Sequence[bytes]]) -> None:
        self._address = split_address(address)
        self._requests = requests
        self.members: list[_Member] = []

    def send_all(self) -> None:
        """Let all clients send at once, until each has sent all or was refused."""
        until = monotonic() + _GIVE_UP_S
        with selectors.DefaultSelector() as selector:
            for request in self._requests:
                with contextlib.suppress(OSError):
                    member = _Member(self._address, request)
                    self.members.append(member)
                    if not member.done:
                        events = selectors.EVENT_READ | selectors.EVENT_WRITE
                        selector.register(member.connection, events, member)
                _step(selector, 0.0)
            while selector.get_map() and monotonic() < until:
                _step(selector, 0.1)

    def read_statuses(self) -> list[int]:
        """Wait for an answer to each client; return the statuses, 0 for a closed connection."""
        return [member.read_status() for member in self.members]

    def close(self) -> None:
        """Close all connections."""
        for member in self.members:
            member.connection.close()


def _step(selector: selectors.BaseSelector, timeout_s: float) -> None:
    for key, events in selector.select(timeout_s):
        member: _Member = key.data
        if events & selectors.EVENT_READ:
            member.receive()
        elif events & selectors.EVENT_WRITE:
            member.send()
        if member.done:
            selector.unregister(member.connection)


@contextlib.contextmanager
def crowd(address: str, requests: Sequence[Sequence[bytes]]) -> Iterator[Crowd]:
    """Let a crowd send its requests, and keep it connected."""
    found = Crowd(address, requests)
    try:
        found.send_all()
        yield found
    finally:
        found.close()


def endless(beginning: bytes, repeated: bytes, *, at_most: int) -> list[bytes]:
    """Return the parts of a request that repeats a block up to some bytes."""
    return [beginning, *itertools.repeat(repeated, at_most // len(repeated))]


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has held since its start."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
