"""Answers that do not end, for clients of a `ScriptedReplica`."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

import gevent
import pytest

from springrock.clock import monotonic
from tests.forwarding.scripted import Script, read_request

SENDING_S = 4.0
"""How long an endless answer is sent, so that a client without a bound fails and does not hang."""

TRICKLE_PAUSE_S = 0.02
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"400\r\n" + b" " * 1024 + b"\r\n"

FLOODS = {
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 100),
    "a status line": (b"HTTP/1.1 200 O", b"K" * 1000),
    "a header": (b"HTTP/1.1 200 OK\r\nName: ", b"x" * 1000),
    "a chunk size": (CHUNKED, b"0" * 1000),
    "chunks": (CHUNKED, _CHUNK * 10),
    "chunks of one byte": (CHUNKED, b"1\r\n \r\n" * 100),
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"Name: value\r\n" * 100),
    "a body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b" " * 10_000),
}
"""Answers that are sent without a pause: how each begins, and what follows again and again."""

TRICKLES = {
    "a head": (b"HTTP/1.1 200 OK\r\nName: ", b"x"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a body with a length": (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", b" "),
    "a chunk size": (CHUNKED, b"0"),
    "chunks": (CHUNKED, b"1\r\n \r\n"),
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", b"Name: value\r\n"),
}
"""Answers that are sent with a pause between their parts."""

ENDLESS = [
    pytest.param(*parts, pause_s, id=f"{what}, {how}")
    for how, answers, pause_s in (
        ("at once", FLOODS, 0.0),
        ("trickled", TRICKLES, TRICKLE_PAUSE_S),
    )
    for what, parts in answers.items()
]
"""Parameters of `endless`."""


def endless(first: bytes, block: bytes, pause_s: float = 0.0) -> Script:
    """Return a script that sends a block again and again until its client closes."""

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        ends_at = monotonic() + SENDING_S
        with contextlib.suppress(OSError):
            connection.sendall(first)
            while monotonic() < ends_at:
                connection.sendall(block)
                time.sleep(pause_s)

    return _script


_FEW_TURNS_S = 0.05
"""A block that ends within one turn need not let other tasks run."""


@contextlib.contextmanager
def ending_within(seconds: float) -> Iterator[None]:
    """Fail if the block takes longer."""
    began_at = monotonic()
    yield
    took_s = monotonic() - began_at
    assert took_s < seconds, f"took {took_s:.2f} s"


@contextlib.contextmanager
def other_tasks_running() -> Iterator[None]:
    """Fail if no other task runs while the block reads for longer than a few turns take."""
    began_at = monotonic()
    turns = 0

    def _count_turns() -> None:
        nonlocal turns
        while True:
            gevent.sleep(0)
            turns += 1

    task = gevent.spawn(_count_turns)
    try:
        yield
    finally:
        task.kill(block=False)
    assert turns > 1 or monotonic() - began_at < _FEW_TURNS_S
