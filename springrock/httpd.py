"""Serves a WSGI application with gevent's HTTP server, with a graceful stop."""

from __future__ import annotations

import contextlib
import io
import math
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

from springrock.clock import Deadline, monotonic
from springrock.errors import AnswerCut, CallerGone, ReadBound, RequestNotRead
from springrock.intake import Intake, IntakeLimits, NoRoom, Reservation
from springrock.non_negative import read_non_negative
from springrock.request_body import RequestBody
from springrock.request_reader import ReadLimits, RequestReader
from springrock.settings import split_address

SOCKET_KEY = "springrock.socket"
"""The key of the caller's socket in the WSGI environment."""

TARGET_KEY = "springrock.target"
"""The key of the request target, exactly as sent, in the WSGI environment."""

HEADERS_KEY = "springrock.headers"
"""The key of the request's headers, as pairs exactly as sent, in the WSGI environment."""

READER_KEY = "springrock.reader"
"""The key of the `RequestReader` of the caller's connection in the WSGI environment."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_READ_BUFFER_BYTES = 8_192

_RECEIVE_BUFFER_BYTES = 65_536
"""What the system keeps of a connection that is not read; it takes up to twice as much."""

_RETRY_AFTER_OVERLOAD_S = 1

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
        due_at: When the caller waits no longer, on the clock `monotonic`. It may take the send
            timeout more to accept the response.
    """

    def __init__(self) -> None:
        self.due_at = math.inf
        self.sent_bytes = 0
        self.send_error: OSError | None = None
        self.on_end: Callable[[BaseException | None], None] | None = None

    def end(self, error: BaseException | None) -> None:
        """Tell the application that the response has ended; safe to call again."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(error)


class _Server(WSGIServer):
    """A WSGI server with bounds for what is read from its connections and sent on them."""

    # More at once could take all descriptors before any connection is evicted.
    max_accept = 16

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        *,
        send_timeout_s: float,
        read_limits: Callable[[], ReadLimits],
        on_unread_head: Callable[[RequestNotRead], None],
        deadline_header: str,
        intake: Intake,
    ) -> None:
        # Without SERVER_NAME, gevent does a reverse DNS look-up of the address, which can be slow.
        environ = {"SERVER_NAME": address[0]}
        super().__init__(
            address, app, handler_class=_Handler, log=None, error_log=None, environ=environ
        )
        self.intake = intake
        self.send_timeout_s = send_timeout_s
        self.read_limits = read_limits
        self.on_unread_head = on_unread_head
        self.deadline_prefix = f"{deadline_header.lower()}:".encode() if deadline_header else b""

    @classmethod
    def get_listener(cls, *arguments: Any, **options: Any) -> Any:
        """Return a socket that listens; its connections inherit the size of their buffers."""
        listener = super().get_listener(*arguments, **options)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        return listener

    def handle(self, sock: Any, address: Any) -> None:
        """Serve a connection; close it if there are too many that cannot be evicted."""
        try:
            reservation = self.intake.open(lambda: _end_reading(sock))
        except NoRoom:
            sock.close()
            return
        try:
            _Handler(sock, address, self, reservation).handle()
        finally:
            reservation.close()


class _HeadLines:
    """The lines of a head; lets its reading end with the deadline that one of them states.

    Args:
        source: Where the lines come from.
        reader: Reads from the connection, with bounds.
        deadline_prefix: The name of the header with the milliseconds, in lower case with its colon;
            empty for none.
    """

    def __init__(self, source: Any, reader: RequestReader, deadline_prefix: bytes) -> None:
        self._source = source
        self._reader = reader
        self._deadline_prefix = deadline_prefix

    def readline(self, size: int) -> bytes:
        """Return the next line."""
        line: bytes = self._source.readline(size)
        if self._deadline_prefix and line.lower().startswith(self._deadline_prefix):
            value = line[len(self._deadline_prefix) :].decode("latin-1")
            self._reader.state_deadline((read_non_negative(value) or 0.0) / 1000)
        return line


class _Handler(WSGIHandler):
    """Reads requests within bounds and passes the socket to the application.

    The application needs the socket to detect that the caller disconnected.
    """

    def __init__(
        self, connection: Any, address: Any, server: _Server, reservation: Reservation
    ) -> None:
        self._reader = RequestReader(connection, reservation)
        super().__init__(
            connection, address, server, io.BufferedReader(self._reader, _READ_BUFFER_BYTES)
        )  # type: ignore[call-arg]
        self._server = server
        self._limits = server.read_limits()
        self._body: RequestBody | None = None

    def handle(self) -> None:
        """Serve the connection; a caller that disconnects between two requests is no error."""
        try:
            super().handle()
        except CallerGone:
            return

    def handle_one_request(self) -> Any:
        """Serve one request; return True if another may follow on the connection."""
        if not self._wait_for_request():
            return None
        try:
            result = super().handle_one_request()
        except RequestNotRead as error:
            return self._refuse_unread_head(error)
        return None if self._is_unread else result

    @property
    def _is_unread(self) -> bool:
        """Whether a part of the body was not read, so that no other request can follow."""
        return self._body is not None and not self._body.at_end

    def _wait_for_request(self) -> bool:
        """Return whether a request begins before the connection has rested for too long."""
        self._reader.begin_wait(self._server.read_limits())
        try:
            begun = bool(self.rfile.peek(1))
        except OSError:
            return False
        # The limits may have changed while the connection rested.
        self._limits = self._server.read_limits()
        self._reader.begin_head(self._limits)
        return begun

    def MessageClass(self, source: Any, *arguments: Any) -> Any:
        """Parse the headers of a request."""
        lines = _HeadLines(source, self._reader, self._server.deadline_prefix)
        return super().MessageClass(lines, *arguments)  # type: ignore[arg-type]

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, RequestNotRead):
            return self._refuse_unread_head(ex)
        return super()._handle_client_error(ex)  # type: ignore[misc]

    def _refuse_unread_head(self, error: RequestNotRead) -> None:
        self._server.on_unread_head(error)
        status = error.status
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        if error.bound is ReadBound.OVERLOAD:
            head += f"Retry-After: {_RETRY_AFTER_OVERLOAD_S}\r\n"
        with contextlib.suppress(OSError):
            self.socket.settimeout(self._server.send_timeout_s)
            self.socket.sendall(f"{head}Connection: close\r\nContent-Length: 0\r\n\r\n".encode())
            self._end_unread()

    def _end_unread(self) -> None:
        """End a connection after its last answer, although the caller may still send."""
        if self._body is not None:
            self._body.give_up()
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            self._reader.drain()

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        self._reader.begin_body(self._limits)
        expects = environ.get("HTTP_EXPECT", "").lower() == "100-continue"
        self._body = RequestBody(
            self.rfile,
            self._reader,
            length=self.content_length,
            chunked=environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            max_bytes=self._limits.body_bytes,
            max_trailer_bytes=self._limits.head_bytes,
            invite=self._send_continue if expects else None,
        )
        self.wsgi_input = self._body  # type: ignore[assignment]
        environ["wsgi.input"] = self._body
        environ[READER_KEY] = self._reader
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = self.headers.items()
        self._response = environ[RESPONSE_KEY] = Response()
        self.socket.settimeout(self._server.send_timeout_s)
        return environ

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Begin a response; the last one on the connection if the request was not read whole."""
        if self._reader.failed:
            kept = [pair for pair in headers if pair[0].lower() != "connection"]
            headers = [*kept, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _send_continue(self) -> None:
        self.socket.sendall(_CONTINUE)

    def run_application(self) -> None:
        """Produce and send one response; tell the application how it ended."""
        try:
            self._run_application()
        except BaseException as error:
            self._response.end(error)
            raise
        self._response.end(None)
        if self.close_connection and self._is_unread:
            self._end_unread()

    def _run_application(self) -> None:
        try:
            super().run_application()
        except RequestNotRead as error:
            if self.headers_sent:
                raise AnswerCut("the request was not read to its end") from error
            self._refuse_unread_body(error.status)

    def _refuse_unread_body(self, status: HTTPStatus) -> None:
        self.result = [b""]
        self.start_response(f"{status.value} {status.phrase}", [("Content-Length", "0")])
        self.write(b"")
        self.result = None

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
            OSError: If the connection failed, or the caller accepted nothing within the timeout, or
                not all within the timeout after it was due.
        """
        deadline = Deadline(self._server.send_timeout_s)
        ends_at = self._response.due_at + self._server.send_timeout_s
        while data:
            if monotonic() >= ends_at:
                raise TimeoutError("the caller did not accept the response in time")
            sent = self._send_part(data, timeout_s=min(_SEND_PERIOD_S, deadline.left_s))
            if sent:
                deadline = Deadline(self._server.send_timeout_s)
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


def _end_reading(connection: Any) -> None:
    """End a wait for bytes of a connection, as if its client had closed it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RD)


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
        read_limits: Returns what a client may send from now on, and how long it may take.
        on_unread_head: Called with the error of each head that was not read to its end.
        deadline_header: The header in which requests state their deadline, in milliseconds from
            their first byte; a request is read no longer than that. Empty for none.
        intake: Bounds what the connections of several servers hold together; None to bound those of
            this one by the machine.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        send_timeout_s: float = 20.0,
        read_limits: Callable[[], ReadLimits] = ReadLimits,
        on_unread_head: Callable[[RequestNotRead], None] = lambda error: None,
        deadline_header: str = "",
        intake: Intake | None = None,
    ) -> None:
        self._server = _Server(
            split_address(address),
            app,
            send_timeout_s=send_timeout_s,
            read_limits=read_limits,
            on_unread_head=on_unread_head,
            deadline_header=deadline_header,
            intake=intake or Intake(IntakeLimits.from_machine()),
        )

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
