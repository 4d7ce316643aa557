"""Serves a WSGI application with gevent's HTTP server, with a graceful stop."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

from springrock.clock import Deadline
from springrock.errors import AnswerCut, CallerGone
from springrock.settings import split_address

SOCKET_KEY = "springrock.socket"
"""The key of the caller's socket in the WSGI environment."""

TARGET_KEY = "springrock.target"
"""The key of the request target, exactly as sent, in the WSGI environment."""

HEADERS_KEY = "springrock.headers"
"""The key of the request's headers, as pairs exactly as sent, in the WSGI environment."""

_SEND_PERIOD_S = 1.0
"""How often to try to send: a system that has little room does not report that it has some."""

RESPONSE_KEY = "springrock.response"
"""The key of the `Response` to the request in the WSGI environment."""


class Response:
    """The response to one request, as the server sends it.

    Attributes:
        sent_bytes: Bytes sent to the caller, head and framing included.
        send_error: The error of the caller's connection that ended the sending, if any.
        on_end: Called once when the response has ended, with what broke it off, or None.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.send_error: OSError | None = None
        self.on_end: Callable[[BaseException | None], None] | None = None

    def end(self, error: BaseException | None) -> None:
        """Tell the application that the response has ended; safe to call again."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(error)


class _Server(WSGIServer):
    """A WSGI server with a send time-out for its connections."""

    def __init__(self, address: tuple[str, int], app: Any, *, send_timeout_s: float) -> None:
        # Without SERVER_NAME, gevent does a reverse DNS look-up of the address, which can be slow.
        environ = {"SERVER_NAME": address[0]}
        super().__init__(
            address, app, handler_class=_Handler, log=None, error_log=None, environ=environ
        )
        self.send_timeout_s = send_timeout_s


class _Handler(WSGIHandler):
    """Passes the socket to the application, so that it can detect that the caller disconnected."""

    def handle(self) -> None:
        """Serve the connection; a caller that disconnects between two requests is no error."""
        try:
            super().handle()
        except CallerGone:
            return

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = self.headers.items()
        self._response = environ[RESPONSE_KEY] = Response()
        assert isinstance(self.server, _Server)
        self.socket.settimeout(self.server.send_timeout_s)
        return environ

    def run_application(self) -> None:
        """Produce and send one response; tell the application how it ended."""
        try:
            super().run_application()
        except BaseException as error:
            self._response.end(error)
            raise
        self._response.end(None)

    def _sendall(self, data: bytes) -> None:
        try:
            self._send_parts(memoryview(data))
        except OSError as error:
            self._response.send_error = error
            raise

    def _send_parts(self, data: memoryview) -> None:
        """Send all of the data; each part that the caller accepts begins the timeout anew.

        The timeout of `sendall` is for all of the data, and goes by a clock that can jump.

        Raises:
            OSError: If the connection failed, or the caller accepted nothing within the timeout.
        """
        assert isinstance(self.server, _Server)
        deadline = Deadline(self.server.send_timeout_s)
        while data:
            sent = self._send_part(data, timeout_s=min(_SEND_PERIOD_S, deadline.left_s))
            if sent:
                deadline = Deadline(self.server.send_timeout_s)
                data = data[sent:]
            elif deadline.passed:
                raise TimeoutError("the caller accepted no bytes within the timeout")

    def _send_part(self, data: memoryview, *, timeout_s: float) -> int:
        """Return how many bytes were sent; 0 if none were accepted within the timeout."""
        connection: Any = self.socket
        try:
            sent: int = connection.send(data, 0, timeout=timeout_s)
        except TimeoutError:
            return 0
        self.response_length += sent
        self._response.sent_bytes += sent
        return sent

    def handle_error(self, kind: Any, value: Any, traceback: Any) -> None:
        """Handle an error; close the connection without a last chunk if the answer broke off."""
        if self.headers_sent and not self.response_use_chunked:
            _reset_on_close(self.socket)
        if isinstance(value, AnswerCut | CallerGone):
            self.close_connection = True
            return
        super().handle_error(kind, value, traceback)


def _reset_on_close(connection: Any) -> None:
    """Make the close of a connection a reset.

    Without chunks, a caller takes any other close for the end of its answer.
    """
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class HttpServer:
    """Serves a WSGI application on one address.

    Args:
        app: The WSGI application.
        address: ``HOST:PORT``; port 0 selects a free port.
        send_timeout_s: The connection of a client that accepts no bytes for this long is closed.
    """

    def __init__(self, app: Any, address: str, *, send_timeout_s: float = 20.0) -> None:
        self._server = _Server(split_address(address), app, send_timeout_s=send_timeout_s)

    def start(self) -> None:
        """Bind the address and serve in the background."""
        self._server.start()

    @property
    def address(self) -> str:
        """The bound ``HOST:PORT``."""
        return f"{self._server.server_host}:{self._server.server_port}"

    def stop(self, *, finish_within_s: float = 1.0) -> None:
        """Stop accepting, let open requests finish, then close the remaining connections."""
        self._server.stop(timeout=finish_within_s)
