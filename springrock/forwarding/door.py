"""The HTTP server for clients: reads requests, writes replies and detects disconnects."""

from __future__ import annotations

import contextlib
import math
import traceback
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from springrock.clock import monotonic
from springrock.doors._watch import CallerWatch
from springrock.errors import BadRequest, CallerGone, ReadBound, RequestNotRead
from springrock.forwarding.answer_end import EndedBy, ended_by
from springrock.forwarding.configuration import ClientLimits
from springrock.forwarding.dialect import Dialect
from springrock.forwarding.fault_watch import FaultWatch
from springrock.forwarding.forwarder import Forwarder
from springrock.forwarding.message import ClientRequest, Headers
from springrock.forwarding.reply import Reply, own_reply
from springrock.httpd import (
    HEADERS_KEY,
    READER_KEY,
    RESPONSE_KEY,
    SOCKET_KEY,
    TARGET_KEY,
    HttpServer,
    Response,
)
from springrock.intake import Intake
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.request_body import RequestBody
from springrock.request_reader import ReadLimits, RequestReader

_SEND_TIMEOUT_S = 20.0
_LEAST_IDLE_S = 20.0
"""Clients may rely on a connection for somewhat less than the configured time."""

_BODY_TIMEOUT_S = 60.0
_REASON_BY_BOUND = {
    ReadBound.BODY_TIME: "request_not_read_in_time",
    ReadBound.BODY_BYTES: "body_too_large",
    ReadBound.FRAMING_BYTES: "body_too_large",
    ReadBound.TRAILER_BYTES: "trailers_too_large",
    ReadBound.FRAMING: "malformed_request",
    ReadBound.OVERLOAD: "too_much_at_once",
}
_RETRY_AFTER_OVERLOAD_S = 1.0
_LOGGED_FRAMES = 3
_MAX_LOGGED_ERROR = 200


class ForwardingDoor:
    """Serves clients over HTTP.

    Args:
        address: The address to listen on, ``HOST:PORT``.
        forwarder: Forwards the requests.
        dialect: Parses the requests of clients.
        limits: Returns the limits for clients.
        log: The log to write to.
        metrics: The metrics to count in.
        intake: Bounds what all connections hold together.

    Attributes:
        closing: Whether each reply asks the client to close its connection.
        refusing: Whether new requests are refused, as they could not end before the box stops.
        faults: Tells whether all requests fail by a fault of this box.
    """

    def __init__(
        self,
        address: str,
        *,
        forwarder: Forwarder,
        dialect: Dialect,
        limits: Callable[[], ClientLimits],
        log: Log,
        metrics: ForwardingMetrics,
        intake: Intake | None = None,
    ) -> None:
        self._forwarder = forwarder
        self._dialect = dialect
        self._limits = limits
        self._log = log
        self._metrics = metrics
        self._server = HttpServer(
            self._serve,
            address,
            send_timeout_s=_SEND_TIMEOUT_S,
            read_limits=self._read_limits,
            on_unread_head=lambda error: self._log_unread(error, request=""),
            deadline_header=dialect.deadline_header,
            intake=intake,
        )
        self._open: set[_OpenRequest] = set()
        self._reading_ends_at = math.inf
        self.closing = False
        self.refusing = False
        self.faults = FaultWatch()

    @property
    def open_requests(self) -> int:
        """Number of requests in the box whose answers have not been sent completely."""
        return len(self._open)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def end_reading(self, *, at: float) -> None:
        """Refuse the requests that are not read whole by a time, as the box ends soon after.

        Args:
            at: The time, on the local monotonic clock; they are refused within a second of it.
        """
        self._reading_ends_at = at
        for open_request in self._open:
            if open_request.reading:
                open_request.reader.end_by(at)

    def stop(self) -> None:
        """Stop listening; the requests that are still open end with the process."""
        self._server.stop(finish_within_s=0.2)
        for request in list(self._open):
            request.record_stop()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        open_request = _OpenRequest(self, environ, self._log)
        self._open.add(open_request)
        request_body: RequestBody = environ["wsgi.input"]
        reply = self._read_and_reply(open_request, request_body)
        headers = list(reply.head.headers)
        if self.closing or not request_body.at_end:
            headers.append(("Connection", "close"))  # type: ignore[arg-type]
        open_request.reply = reply
        response: Response = environ[RESPONSE_KEY]
        response.due_at = reply.due_at
        start_response(f"{reply.head.status} {reply.head.reason}", headers)
        if isinstance(reply.body, list):
            open_request.watch.stop()
            return reply.body
        return _watched_body(reply.body, open_request.watch)

    def _read_limits(self) -> ReadLimits:
        limits = self._limits()
        return ReadLimits(
            idle_s=max(_LEAST_IDLE_S, limits.idle_s),
            head_s=limits.header_s,
            head_bytes=limits.header_bytes,
            body_s=_BODY_TIMEOUT_S,
            body_bytes=limits.body_bytes,
        )

    def _read_and_reply(self, open_request: _OpenRequest, request_body: RequestBody) -> Reply:
        open_request.reader.end_by(self._reading_ends_at)
        try:
            body = request_body.read()
        except RequestNotRead as error:
            self._log_unread(error, request=self.request_id_of(open_request))
            if error.bound is ReadBound.BODY_TIME and monotonic() >= self._reading_ends_at:
                return own_reply(503, "stopping", retry_after_s=0.0)
            retry_after_s = _RETRY_AFTER_OVERLOAD_S if error.bound is ReadBound.OVERLOAD else None
            return own_reply(
                error.status, _REASON_BY_BOUND[error.bound], retry_after_s=retry_after_s
            )
        open_request.reading = False
        # From here on only the watch reads from the socket.
        open_request.watch.start()
        return self._reply_or_record_fault(open_request, body)

    def _log_unread(self, error: RequestNotRead, *, request: str) -> None:
        self._log.info("A request was not read to its end.", request=request, **error.fields)

    def _reply_or_record_fault(self, open_request: _OpenRequest, body: bytes) -> Reply:
        """Return the reply; an exception that is not the client's leaving is this box's fault."""
        try:
            reply = self._reply(open_request, body)
        except CallerGone:
            raise
        except Exception:
            self.faults.record_fault()
            raise
        self.faults.record_handled()
        return reply

    def _reply(self, open_request: _OpenRequest, body: bytes) -> Reply:
        if self.refusing:
            return own_reply(503, "stopping", retry_after_s=0.0)
        try:
            request = open_request.parse(self._dialect, body)
        except BadRequest as error:
            self._log.info("Refused a malformed request.", error=str(error))
            return own_reply(400, "malformed_request")
        return self._forwarder.forward(request)

    def request_id_of(self, open_request: _OpenRequest) -> str:
        """Return the client's id of a request; empty if it cannot be read."""
        if not open_request.request_id:
            # The request may have ended because it cannot be parsed, for whatever reason.
            with contextlib.suppress(Exception):
                open_request.parse(self._dialect, b"")
        return open_request.request_id

    def record_finished(self, open_request: _OpenRequest, outcome: str) -> None:
        """Record the end of a request."""
        self._open.discard(open_request)
        self._metrics.requests.labels(outcome).inc()
        self._metrics.request_seconds.observe(open_request.age_s)


def _watched_body(body: Iterable[bytes], watch: CallerWatch) -> Iterator[bytes]:
    """Yield a body as it arrives; close it and stop the watch at its end."""
    try:
        yield from body
    finally:
        close = getattr(body, "close", None)
        if close is not None:
            close()
        watch.stop()


class _OpenRequest:
    """A request whose answer has not been sent completely; logs an end before that once.

    Args:
        door: The door that serves it.
        environ: The WSGI environment.
        log: The log to write to.

    Attributes:
        reader: Reads the request.
        watch: Watches for the client's leaving.
        reading: Whether the request is still being read.
        request_id: The client's id of the request; empty until it is parsed.
        reply: The reply, once there is one.
    """

    def __init__(self, door: ForwardingDoor, environ: dict[str, Any], log: Log) -> None:
        self._door = door
        self._environ = environ
        self._log = log
        self.reader: RequestReader = environ[READER_KEY]
        self._received_at: float = self.reader.began_at
        self._logged = False
        self._response: Response = environ[RESPONSE_KEY]
        self._response.on_end = self._end
        self.watch = CallerWatch(environ[SOCKET_KEY])
        self.reading = True
        self.request_id = ""
        self.reply: Reply | None = None

    @property
    def age_s(self) -> float:
        """Seconds since the first byte of the request was received."""
        return monotonic() - self._received_at

    def parse(self, dialect: Dialect, body: bytes) -> ClientRequest:
        """Return the client's request.

        Raises:
            BadRequest: If it is malformed.
        """
        request = dialect.read_request(
            method=self._environ["REQUEST_METHOD"],
            target=self._environ[TARGET_KEY],
            headers=Headers.from_pairs(self._environ[HEADERS_KEY]),
            body=body,
            received_at=self._received_at,
        )
        self.request_id = request.request_id
        return request

    def record_stop(self) -> None:
        """Log that the box stops before the answer is complete."""
        self._log_end(EndedBy.STOPPING, "open", None)

    def _end(self, error: BaseException | None) -> None:
        """Stop the watch and record the end of the request, whichever way it ends."""
        try:
            self.watch.stop()
        finally:
            outcome = self._outcome(error)
            self._door.record_finished(self, outcome)
            if error is not None:
                sending = error is self._response.send_error
                cause = ended_by(error, reading=self.reading, sending=sending)
                self._log_end(cause, outcome, error)

    def _outcome(self, error: BaseException | None) -> str:
        if error is None:
            return "" if self.reply is None else self.reply.reason or str(self.reply.head.status)
        if isinstance(error, CallerGone) or error is self._response.send_error:
            return "gone"
        return "fault" if self.reply is None else "cut"

    def _log_end(self, cause: EndedBy, outcome: str, error: BaseException | None) -> None:
        if self._logged:
            return
        self._logged = True
        fault = cause is EndedBy.FAULT
        fields: dict[str, object] = {}
        if fault and error is not None:
            frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
            fields["raised_at"] = [f"{frame.name}:{frame.lineno}" for frame in frames]
            fields["failing"] = self._door.faults.failing
        self._log.info(
            "A request failed by a fault of this box." if fault else "An answer ended early.",
            request=self._door.request_id_of(self),
            target=self._environ[TARGET_KEY],
            ended_by=cause,
            outcome=outcome,
            error="" if error is None else repr(error.__cause__ or error)[:_MAX_LOGGED_ERROR],
            status=0 if self.reply is None else self.reply.head.status,
            sent_bytes=self._response.sent_bytes,
            age_ms=round(self.age_s * 1000),
            **fields,
        )
