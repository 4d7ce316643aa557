"""Sends requests that crash the replicas that run them, and has the crashed replicas restarted."""

from __future__ import annotations

import http.client
import random
import threading
import time
from collections.abc import Callable

from bench.soak.callers import attempt_once
from bench.soak.observations import Attempt
from bench.soak.shape import ADAPTERS, CRASHING, CRASHING_PART, STREAMS
from springrock.clock import monotonic
from springrock.settings import split_address

_PAUSE_S = 0.15
"""Pause between two attempts. Some twenty attempts, over all boxes, fit into the shortest fault."""

_TIMEOUT_S = 2.0
_EXIT_DELAY_S = 0.1
"""Time until the exit of a crashed process can be observed."""


class CrashingCaller(threading.Thread):
    """Sends one request repeatedly to random boxes, each time under a new id, until it is stopped.

    It may also send requests that have only a part of their prompts in common.

    Args:
        route: The route of the request.
        boxes: The boxes' addresses for clients, by name.
        seed: The seed of the random draws, also part of the request's path.
        by_part: Whether the requests differ, and crash replicas by a part that they share.
        attempts: The list to which each attempt is appended.
        restart: Restarts the replicas that have crashed.
    """

    def __init__(
        self,
        route: str,
        boxes: dict[str, str],
        *,
        seed: str,
        by_part: bool,
        attempts: list[Attempt],
        restart: Callable[[], None],
    ) -> None:
        super().__init__(daemon=True)
        self._route = route
        self._boxes = boxes
        self._rng = random.Random(seed)
        self._name = f"part-{seed}" if by_part else f"{CRASHING}-{seed}"
        self._path = "" if by_part else f"/{route}/{self._name}"
        self._part = f"{CRASHING_PART}{seed}" if by_part else ""
        # Without an adapter, a request waits for no load at an engine that has just come back.
        names_adapter = route in STREAMS and not by_part
        self._adapter = self._rng.choice(ADAPTERS) if names_adapter else ""
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
            request_id=f"{self._name}-{count}",
            call=self._path or f"{self._name}-{count}",
            box=self._rng.choice(sorted(self._boxes)),
            route=self._route,
            key="one",
            adapter=self._adapter,
            sent_at=monotonic(),
            repeated_path=self._path,
            crashing_part=self._part,
        )
        self._attempts.append(attempt)
        host, port = split_address(self._boxes[attempt.box])
        connection = http.client.HTTPConnection(host, port)
        attempt_once(attempt, connection, ends_at=attempt.sent_at + _TIMEOUT_S)
        connection.close()
