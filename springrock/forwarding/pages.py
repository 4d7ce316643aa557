"""The readiness and metrics pages of a forwarding box.

They are plain WSGI applications, as is the door: importing a web framework for two pages would
lengthen every start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from springrock.httpd import HttpServer
from springrock.intake import Intake, IntakeLimits
from springrock.metrics import ForwardingMetrics
from springrock.request_reader import ReadLimits

_TEXT = "text/plain; charset=utf-8"
_METRICS_TEXT = "text/plain; version=0.0.4"
_INTAKE_LIMITS = IntakeLimits(held_bytes=1_048_576, connections=64)
"""For each page: clients of the box, however many, must not keep the balancer out."""

_READ_LIMITS = ReadLimits(head_s=5.0, head_bytes=16_384, body_s=5.0, body_bytes=65_536)


class _Response(NamedTuple):
    body: bytes
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = _TEXT


class _Page:
    """An HTTP server for one page.

    Args:
        address: Where to listen.
        path: The path of the page.
        respond: Returns the response to a GET or HEAD request.
    """

    def __init__(self, address: str, path: str, respond: Callable[[], _Response]) -> None:
        self._path = path
        self._respond = respond
        self._server = HttpServer(
            self._serve,
            address,
            read_limits=lambda: _READ_LIMITS,
            intake=Intake(_INTAKE_LIMITS),
        )

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(finish_within_s=0.1)

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = self._response_to(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
        ]
        if response.status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append(("Allow", "GET, HEAD"))
        start_response(f"{response.status.value} {response.status.phrase}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _response_to(self, method: str, path: str) -> _Response:
        if path != self._path:
            return _Response(b"not found\n", HTTPStatus.NOT_FOUND)
        if method not in ("GET", "HEAD"):
            return _Response(b"method not allowed\n", HTTPStatus.METHOD_NOT_ALLOWED)
        return self._respond()


class ReadinessPage(_Page):
    """Tells load balancers whether the box accepts requests, by status 200 or 503.

    Args:
        address: Where to listen.
        path: The path of the page.
        ready: Returns whether the box accepts requests.
    """

    def __init__(self, address: str, path: str, *, ready: Callable[[], bool]) -> None:
        def _respond() -> _Response:
            if ready():
                return _Response(b"ready\n")
            return _Response(b"not ready\n", HTTPStatus.SERVICE_UNAVAILABLE)

        super().__init__(address, path, _respond)


class MetricsPage(_Page):
    """Serves the metrics at /metrics in the text format of Prometheus.

    Args:
        address: Where to listen.
        metrics: The metrics to serve.
    """

    def __init__(self, address: str, metrics: ForwardingMetrics) -> None:
        super().__init__(
            address, "/metrics", lambda: _Response(metrics.render(), content_type=_METRICS_TEXT)
        )
