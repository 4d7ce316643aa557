"""The small pages of a forwarding box: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import bottle

from springrock.httpd import HttpServer, new_app
from springrock.metrics import ForwardingMetrics


class ReadinessPage:
    """Answers whether the balancer should send clients here.

    Args:
        address: Where to listen.
        path: The path of the question.
        ready: Tells.
    """

    def __init__(self, address: str, path: str, *, ready: Callable[[], bool]) -> None:
        self._ready = ready
        app = new_app()
        app.get(path)(self._answer)
        self._server = HttpServer(app, address)

    def start(self) -> None:
        """Begin listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(finish_within_s=0.1)

    def _answer(self) -> Any:
        if self._ready():
            return b"ready\n"
        return bottle.HTTPResponse(b"not ready\n", status=503)


class MetricsPage:
    """Shows the metrics to Prometheus.

    Args:
        address: Where to listen.
        metrics: The metrics.
    """

    def __init__(self, address: str, metrics: ForwardingMetrics) -> None:
        self._metrics = metrics
        app = new_app()
        app.get("/metrics")(self._answer)
        self._server = HttpServer(app, address)

    def start(self) -> None:
        """Begin listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop(finish_within_s=0.1)

    def _answer(self) -> Any:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self._metrics.render()
