"""Emulator of a plain service: answers any path, counts runs and repeated runs of requests."""

from __future__ import annotations

import socket
from collections import Counter
from typing import Any

import bottle
import gevent
import msgspec

from springrock.bottle_app import json_response, new_app
from springrock.emulator.settings import ServiceStandinSettings
from springrock.httpd import SOCKET_KEY, HttpServer
from springrock.wire.caller import REPEATABLE_HEADER, REQUEST_ID_HEADER


class ServiceFault(msgspec.Struct, frozen=True, kw_only=True):
    """Injected faults of a service; each posted set replaces the whole previous one.

    Attributes:
        refuse: Requests are refused before they run.
        lose_answers: Number of requests that run but are not answered; -1 for all.
    """

    refuse: bool = False
    lose_answers: int = 0


class ServiceStandin:
    """An emulated plain service, served over HTTP."""

    def __init__(self, settings: ServiceStandinSettings) -> None:
        self.settings = settings
        self.fault = ServiceFault()
        self.runs: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self.server = HttpServer(self._build_app(), settings.address)

    def start(self) -> None:
        """Start the HTTP server."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once, without waiting for open requests."""
        self.server.stop(finish_within_s=0)

    def _build_app(self) -> Any:
        app = new_app()
        app.post("/standin/faults")(self._post_fault)
        app.get("/standin/counters")(self._get_counters)
        app.route("/<path:path>", method=["GET", "POST", "PUT", "DELETE"])(self._run)
        return app

    def _run(self, path: str) -> Any:
        request = bottle.request
        request_id = request.get_header(REQUEST_ID_HEADER, "")
        # Closing a connection with unread bytes would reset it, and the answer would be lost.
        body = request.body.read()
        if self.fault.refuse:
            return json_response(b'{"reason":"busy"}', status=503, headers={"Retry-After": "1"})
        gevent.sleep(self.settings.work_ms / 1000)
        self.runs[request_id] += 1
        if request.get_header(REPEATABLE_HEADER) == "no" and self.runs[request_id] > 1:
            self.violations["second_run"] += 1
        if self.fault.lose_answers:
            losses_left = self.fault.lose_answers - 1 if self.fault.lose_answers > 0 else -1
            self.fault = msgspec.structs.replace(self.fault, lose_answers=losses_left)
            request.environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
        answer = {"path": f"/{path}", "method": request.method, "length": len(body)}
        return json_response(msgspec.json.encode({**answer, "request_id": request_id}))

    def _post_fault(self) -> Any:
        self.fault = msgspec.json.decode(bottle.request.body.read(), type=ServiceFault)
        return b""

    def _get_counters(self) -> Any:
        counters = {"violations": dict(self.violations), "runs": dict(self.runs)}
        return json_response(msgspec.json.encode(counters))
