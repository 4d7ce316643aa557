"""The HTTP server for clients: reads requests, writes replies and detects disconnects."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from springrock.clock import monotonic
from springrock.doors._watch import CallerWatch
from springrock.errors import BadRequest, CallerGone
from springrock.forwarding.dialect import Dialect
from springrock.forwarding.fault_watch import FaultWatch
from springrock.forwarding.forwarder import Forwarder
from springrock.forwarding.message import Headers
from springrock.forwarding.reply import Reply, own_reply
from springrock.httpd import HEADERS_KEY, SOCKET_KEY, TARGET_KEY, HttpServer
from springrock.log import Log
from springrock.metrics import ForwardingMetrics

_SEND_TIMEOUT_S = 20.0
_LOGGED_FRAMES = 3


class ForwardingDoor:
    """Serves clients over HTTP.

    Args:
        address: The address to listen on, ``HOST:PORT``.
        forwarder: Forwards the requests.
        dialect: Parses the requests of clients.
        body_limit_bytes: Returns the maximum length of a request body.
        log: The log to write to.
        metrics: The metrics to count in.

    Attributes:
        open_requests: Number of requests in the box that have not ended.
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
        body_limit_bytes: Callable[[], int],
        log: Log,
        metrics: ForwardingMetrics,
    ) -> None:
        self._forwarder = forwarder
        self._dialect = dialect
        self._body_limit_bytes = body_limit_bytes
        self._log = log
        self._metrics = metrics
        self._server = HttpServer(self._serve, address, send_timeout_s=_SEND_TIMEOUT_S)
        self.open_requests = 0
        self.closing = False
        self.refusing = False
        self.faults = FaultWatch()

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close the idle connections."""
        self._server.stop(finish_within_s=0.2)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        received_at = monotonic()
        self.open_requests += 1
        watch = CallerWatch(environ[SOCKET_KEY])
        request_end = _RequestEnd(self, watch, received_at)
        try:
            body = environ["wsgi.input"].read(self._body_limit_bytes() + 1)
            # From here on only the watch reads from the socket.
            watch.start()
            reply = self._reply_or_record_fault(environ, body, received_at)
            headers = list(reply.head.headers)
            if self.closing:
                headers.append(("Connection", "close"))  # type: ignore[arg-type]
            start_response(f"{reply.head.status} {reply.head.reason}", headers)
        except CallerGone:
            self._record_disconnect(environ)
            request_end.run("gone")
            raise
        except BaseException:
            request_end.run("fault")
            raise
        outcome = reply.reason or str(reply.head.status)
        if isinstance(reply.body, list):
            request_end.run(outcome)
            return reply.body
        return self._stream_body(environ, reply, request_end)

    def _reply_or_record_fault(
        self, environ: dict[str, Any], body: bytes, received_at: float
    ) -> Reply:
        """Return the reply; an exception that is not the client's leaving is this box's fault."""
        try:
            reply = self._reply(environ, body, received_at)
        except CallerGone:
            raise
        except Exception as error:
            self._record_fault(environ, error)
            raise
        self.faults.record_handled()
        return reply

    def _reply(self, environ: dict[str, Any], body: bytes, received_at: float) -> Reply:
        if self.refusing:
            return own_reply(503, "stopping", retry_after_s=0.0)
        if len(body) > self._body_limit_bytes():
            return own_reply(413, "body_too_large")
        try:
            request = self._dialect.read_request(
                method=environ["REQUEST_METHOD"],
                target=environ[TARGET_KEY],
                headers=Headers.from_pairs(environ[HEADERS_KEY]),
                body=body,
                received_at=received_at,
            )
        except BadRequest as error:
            self._log.info("Refused a malformed request.", error=str(error))
            return own_reply(400, "malformed_request")
        return self._forwarder.forward(request)

    def _stream_body(
        self, environ: dict[str, Any], reply: Reply, request_end: _RequestEnd
    ) -> Iterator[bytes]:
        outcome = "cut"
        try:
            yield from reply.body
            outcome = str(reply.head.status)
        except (CallerGone, GeneratorExit):
            outcome = "gone"
            self._record_disconnect(environ)
            raise
        finally:
            close = getattr(reply.body, "close", None)
            if close is not None:
                close()
            request_end.run(outcome)

    def _record_disconnect(self, environ: dict[str, Any]) -> None:
        self._log.info("A client disconnected.", target=environ[TARGET_KEY])

    def _record_fault(self, environ: dict[str, Any], error: Exception) -> None:
        self.faults.record_fault()
        frames = traceback.extract_tb(error.__traceback__)[-_LOGGED_FRAMES:]
        self._log.info(
            "A request failed by a fault of this box.",
            target=environ[TARGET_KEY],
            error=repr(error),
            raised_at=[f"{frame.name}:{frame.lineno}" for frame in frames],
            failing=self.faults.failing,
        )

    def record_finished(self, outcome: str, seconds: float) -> None:
        """Record the end of a request."""
        self.open_requests -= 1
        self._metrics.requests.labels(outcome).inc()
        self._metrics.request_seconds.observe(seconds)


class _RequestEnd:
    """The steps to take once at the end of a request, whichever way it ends."""

    def __init__(self, door: ForwardingDoor, watch: CallerWatch, received_at: float) -> None:
        self._door = door
        self._watch = watch
        self._received_at = received_at

    def run(self, outcome: str) -> None:
        """Stop the watch and record the end of the request."""
        self._watch.stop()
        self._door.record_finished(outcome, monotonic() - self._received_at)
