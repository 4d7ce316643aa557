"""Sends requests that crash the replicas that run them, and has the crashed replicas restarted."""

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
"""Pause between two attempts. Some twenty attempts, over all boxes, fit into the shortest fault."""

_TIMEOUT_S = 2.0
_EXIT_DELAY_S = 0.1
"""Time until the exit of a crashed process can be observed."""


class CrashingCaller(threading.Thread):
    """Sends one request repeatedly to random boxes, each time under a new id, until it is stopped.

    Args:
        route: The route of the request.
        boxes: The boxes' addresses for clients, by name.
        seed: The seed of the random draws, also part of the request's path.
        attempts: The list to which each attempt is appended.
        restart: Restarts the replicas that have crashed.
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
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Send attempts until `stop` is called."""
        count = 0
        while not self._stop_requested.wait(_PAUSE_S):
            count += 1
            self._send(count)
            self._restart()

    def stop(self) -> None:
        """Stop after the current attempt, wait for its end, and restart crashed replicas."""
        self._stop_requested.set()
        self.join()
        time.sleep(_EXIT_DELAY_S)
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
            repeated_path=self._path,
        )
        self._attempts.append(attempt)
        host, port = split_address(self._boxes[attempt.box])
        connection = http.client.HTTPConnection(host, port)
        attempt_once(attempt, connection, ends_at=attempt.sent_at + _TIMEOUT_S)
        connection.close()
