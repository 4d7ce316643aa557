"""Sends selected answers without a length or chunks, so that their connection ends them."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import Any, NoReturn

from springrock.errors import AnswerCut
from springrock.httpd import SOCKET_KEY

UNFRAMED_KEY = "springrock.unframed"
"""Set in the WSGI environment by an application whose answer must be sent without a framing."""

CRASH_EXIT_STATUS = 70
"""Exit status of a replica that a request crashed, to distinguish it from a killed one."""

_LINGER_NOT = struct.pack("ii", 1, 0)


class BrokenBy(StrEnum):
    """What ends the connection of an answer that breaks off."""

    CLOSE = "close"
    RESET = "reset"
    CRASH = "crash"
    """The exit of the replica's process, which also stops listening."""


class AnswerReset(AnswerCut):
    """An answer ends with a reset of its connection."""


class UnframedAnswers:
    """WSGI middleware that sends an answer itself if the application asks for it.

    Args:
        app: The WSGI application.
    """

    def __init__(self, app: Any) -> None:
        self._app = app

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer a request.

        Raises:
            BrokenPipeError: After an unframed answer, so that the server closes the connection.
            AnswerReset: Instead, so that it resets the connection.
        """
        head: list[Any] = []

        def _hold_head(*arguments: Any) -> None:
            head[:] = arguments

        body: Iterable[bytes] = self._app(environ, _hold_head)
        if not environ.get(UNFRAMED_KEY):
            start_response(*head)
            return body
        try:
            _send(environ[SOCKET_KEY], head[0], head[1], body)
        except AnswerReset:
            reset_on_close(environ[SOCKET_KEY])
            raise
        except AnswerCut:
            # The server resets the connection of an answer without chunks that it sees break.
            pass
        finally:
            _close(body)
        raise BrokenPipeError(errno.EPIPE, "the connection ends the answer")


def reset_on_close(connection: Any) -> None:
    """Make the closing of a connection reset it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)


def broken_body(body: bytes, *, by: BrokenBy) -> Iterator[bytes]:
    """Yield the first half of a body, then break."""
    yield body[: len(body) // 2]
    break_off(by)


def break_off(by: BrokenBy) -> NoReturn:
    """End the answer that is being sent.

    Raises:
        AnswerCut: Unless the process exits.
    """
    if by is BrokenBy.CRASH:
        _stop_listening()
        os._exit(CRASH_EXIT_STATUS)
    if by is BrokenBy.RESET:
        raise AnswerReset("injected reset")
    raise AnswerCut("injected break")


def _stop_listening() -> None:
    """Stop listening, as the exit of the process may end its connections before its listeners."""
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError), socket.socket(fileno=os.dup(int(name))) as copy:
            if copy.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                copy.shutdown(socket.SHUT_RDWR)


def _send(
    connection: Any, status: str, headers: list[tuple[str, str]], body: Iterable[bytes]
) -> None:
    kept = [pair for pair in headers if pair[0].lower() not in ("content-length", "connection")]
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in kept)]
    head = "\r\n".join([*lines, "Connection: close", "", ""])
    connection.sendall(head.encode("latin-1"))
    for block in body:
        connection.sendall(block)


def _close(body: Iterable[bytes]) -> None:
    close = getattr(body, "close", None)
    if close is not None:
        close()
