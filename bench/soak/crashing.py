"""Requests that crash the replicas that run them, sent again and again, and who starts these."""

from __future__ import annotations

import http.client
import random
import threading
import time
from collections.abc import Callable

from bench.soak.callers import attempt_once
from bench.soak.observations import Attempt
from bench.soak.shape import ADAPTERS, CRASHING, STREAMS
from springrock.clock import monotonic
from springrock.settings import split_address

_PAUSE_S = 0.15
"""Between two tries: in the shortest span of such a fault some twenty, at all boxes."""

_TIMEOUT_S = 2.0
_ENDS_WITHIN_S = 0.1
"""A process that a request has crashed is seen to have ended after so long."""


class CrashingCaller(threading.Thread):
    """Sends one request at boxes drawn anew, under a new id each time, until it is stopped.

    Args:
        route: The route of the request.
        boxes: The boxes' addresses for clients, by name.
        seed: The seed of what it draws.
        attempts: Takes each attempt.
        restart: Starts replicas anew that have crashed.
    """

    def __init__(
        self,
        route: str,
        boxes: dict[str, str],
        *,
        seed: str,
        attempts: list[Attempt],
        restart: Callable[[], None],
    ) -> None:
        super().__init__(daemon=True)
        self._route = route
        self._boxes = boxes
        self._rng = random.Random(seed)
        self._path = f"/{route}/{CRASHING}-{seed}"
        self._adapter = self._rng.choice(ADAPTERS) if route in STREAMS else ""
        self._attempts = attempts
        self._restart = restart
        self._stop_asked = threading.Event()

    def run(self) -> None:
        """Send until told to stop."""
        count = 0
        while not self._stop_asked.wait(_PAUSE_S):
            count += 1
            self._send(count)
            self._restart()

    def stop(self) -> None:
        """Let it end its try, wait for that, and see that no replica is left crashed."""
        self._stop_asked.set()
        self.join()
        time.sleep(_ENDS_WITHIN_S)
        self._restart()

    def _send(self, count: int) -> None:
        attempt = Attempt(
            request_id=f"{self._path.rpartition('/')[2]}-{count}",
            call=self._path,
            box=self._rng.choice(sorted(self._boxes)),
            route=self._route,
            key="one",
            adapter=self._adapter,
            sent_at=monotonic(),
            of_request=self._path,
        )
        self._attempts.append(attempt)
        host, port = split_address(self._boxes[attempt.box])
        connection = http.client.HTTPConnection(host, port)
        attempt_once(attempt, connection, ends_at=attempt.sent_at + _TIMEOUT_S)
        connection.close()
