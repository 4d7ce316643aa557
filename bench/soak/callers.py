"""Callers: each wants one thing after the other, with a key, a deadline, patience and retries."""

from __future__ import annotations

import http.client
import random
import threading
import time
from typing import NamedTuple

from bench.soak.observations import Attempt, Call
from bench.soak.shape import ADAPTERS, KEYS, MOVABLE, STREAMS
from springrock.clock import monotonic
from springrock.platform import names
from springrock.settings import split_address
from tests.routed.deployment import HOST, MODEL

BODY = b"hello"
PATIENCE_S = 3.0
"""How long a caller waits for all its attempts together."""

_READ_BYTES = 65_536
_SHORTEST_ATTEMPT_S = 0.05
_RETRY_PAUSE_S = 0.1
_LONGEST_WAIT_PART = 1 / 3
"""Of the time left, what a caller waits at most when it is told to come back."""

_KEPT_S = 3.0
_NOT_RUN = (408, 421, 429, 503)
_FINAL = (400, 401, 404, 413)


class Role(NamedTuple):
    """What a caller does.

    Attributes:
        routes: The routes that it draws from.
        keys: The keys that it draws from.
        pause_s: How long it rests between two calls, on average.
        retries: Whether it tries again.
    """

    routes: tuple[str, ...]
    keys: tuple[str, ...]
    pause_s: float
    retries: bool = True


PLAIN = Role(("lookup", "join", "open", MOVABLE), ("one", "two", "goes"), 0.06)
STREAMING = Role(("items", "minutes"), ("one", "two", "goes"), 0.1)
PRESSING = Role(("lookup",), ("few",), 0.05, retries=False)
ROLES = (PLAIN,) * 10 + (STREAMING,) * 6 + (PRESSING,) * 2


class Callers:
    """All callers, each a thread.

    Args:
        boxes: The boxes' addresses for clients, by name.
        seed: The seed of what they want.
    """

    def __init__(self, boxes: dict[str, str], *, seed: int) -> None:
        self.attempts: list[Attempt] = []
        self.calls: list[Call] = []
        self._stop = threading.Event()
        self._callers = [
            _Caller(number, role, boxes, random.Random(f"{seed}/{number}"), self)
            for number, role in enumerate(ROLES)
        ]
        self._threads = [
            threading.Thread(target=caller.run, args=(self._stop,), daemon=True)
            for caller in self._callers
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let each caller end its call, and wait for that."""
        self._stop.set()
        for thread in self._threads:
            thread.join()


class _Kept(NamedTuple):
    connection: http.client.HTTPConnection
    used_at: float


class _Caller:
    def __init__(
        self,
        number: int,
        role: Role,
        boxes: dict[str, str],
        rng: random.Random,
        callers: Callers,
    ) -> None:
        self._number = number
        self._role = role
        self._boxes = boxes
        self._rng = rng
        self._callers = callers
        self._count = 0
        self._kept: dict[str, _Kept] = {}

    def run(self, stop: threading.Event) -> None:
        """Call until told to stop."""
        while not stop.wait(self._rng.expovariate(1 / self._role.pause_s)):
            self._call()

    def _call(self) -> None:
        route = self._rng.choice(self._role.routes)
        key = self._rng.choice(self._role.keys)
        adapter = self._rng.choice(ADAPTERS) if route in STREAMS else ""
        call = f"{self._number}-{self._count}"
        began_at = monotonic()
        ends_at = began_at + PATIENCE_S
        while True:
            attempt = self._attempt(call, route, key, adapter, ends_at)
            self._callers.attempts.append(attempt)
            if not self._tries_again(attempt):
                break
            time.sleep(self._wait_s(attempt, ends_at))
            if ends_at - monotonic() < _SHORTEST_ATTEMPT_S:
                break
        self._callers.calls.append(
            Call(
                call=call,
                route=route,
                key=key,
                began_at=began_at,
                ended_at=monotonic(),
                answered=attempt.answered,
                last=f"{attempt.request_id} at {attempt.box}: {attempt.status} {attempt.error}",
            )
        )

    def _tries_again(self, attempt: Attempt) -> bool:
        if attempt.answered or not self._role.retries or attempt.status in _FINAL:
            return False
        return attempt.repeatable or attempt.status in _NOT_RUN or attempt.error == "refused"

    def _wait_s(self, attempt: Attempt, ends_at: float) -> float:
        reported_s = attempt.retry_after_s or _RETRY_PAUSE_S
        left_s = ends_at - monotonic()
        return max(0.0, min(reported_s, left_s * _LONGEST_WAIT_PART))

    def _attempt(self, call: str, route: str, key: str, adapter: str, ends_at: float) -> Attempt:
        self._count += 1
        attempt = Attempt(
            request_id=f"{self._number:04x}{self._count:012x}",
            call=call,
            box=self._rng.choice(sorted(self._boxes)),
            route=route,
            key=key,
            adapter=adapter,
            sent_at=monotonic(),
        )
        connection = self._connection_to(attempt)
        attempt_once(attempt, connection, ends_at=ends_at)
        if attempt.whole and connection.sock is not None:
            self._kept[attempt.box] = _Kept(connection, attempt.ended_at)
        else:
            connection.close()
        return attempt

    def _connection_to(self, attempt: Attempt) -> http.client.HTTPConnection:
        kept = self._kept.pop(attempt.box, None)
        if kept is not None and attempt.sent_at - kept.used_at < _KEPT_S:
            return kept.connection
        if kept is not None:
            kept.connection.close()
        host, port = split_address(self._boxes[attempt.box])
        return http.client.HTTPConnection(host, port)


def attempt_once(
    attempt: Attempt, connection: http.client.HTTPConnection, *, ends_at: float
) -> None:
    """Send an attempt and note what comes of it."""
    try:
        _exchange(attempt, connection, ends_at)
    except ConnectionRefusedError:
        attempt.error = "refused"
    except (OSError, http.client.HTTPException) as error:
        attempt.error = type(error).__name__
    attempt.ended_at = monotonic()


def _exchange(attempt: Attempt, connection: http.client.HTTPConnection, ends_at: float) -> None:
    left_s = max(_SHORTEST_ATTEMPT_S, ends_at - monotonic())
    connection.timeout = left_s
    if connection.sock is not None:
        connection.sock.settimeout(left_s)
    connection.request("POST", attempt.path, body=BODY, headers=_headers_of(attempt, left_s))
    response = connection.getresponse()
    attempt.status = response.status
    attempt.seal = response.getheader("Springrock-Response-Seal", "")
    attempt.instance = response.getheader(names.INSTANCE_ID, "")
    attempt.says_leaving = response.getheader(names.LEAVING) == "1"
    attempt.echoed_id = response.getheader(names.REQUEST_ID, "")
    retry_after = response.getheader("Retry-After")
    attempt.retry_after_s = None if retry_after is None else float(retry_after)
    while block := response.read1(_READ_BYTES):
        attempt.body += block
    attempt.whole = response.length in (None, 0)
    response.close()


def _headers_of(attempt: Attempt, left_s: float) -> dict[str, str]:
    headers = {
        "Host": HOST,
        names.REQUEST_ID: attempt.request_id,
        names.DEADLINE_MS: str(int(left_s * 1000)),
    }
    if attempt.key:
        headers[names.API_KEY] = KEYS[attempt.key]
    if attempt.adapter:
        headers[names.MODEL] = f"{MODEL}/{attempt.adapter}"
    return headers
