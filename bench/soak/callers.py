"""Callers, which make one call after the other, with an API key, a deadline and retries."""

from __future__ import annotations

import http.client
import random
import socket
import threading
import time
import zlib
from typing import NamedTuple

from bench.soak.bodies import event_ids
from bench.soak.observations import LEFT, Attempt, Call, Framing
from bench.soak.shape import (
    ADAPTERS,
    KEYS,
    MOVABLE,
    RESUMABLE,
    SHARED_PART,
    STREAM_EVENTS,
    STREAMS,
)
from springrock.clock import monotonic
from springrock.platform import names
from springrock.settings import split_address
from tests.routed.deployment import HOST, MODEL

BODY = b"hello"
CALL_TIMEOUT_S = 3.0
"""The time limit of a call over all its attempts."""

_READ_BYTES = 65_536
_MAX_KEPT_BYTES = 2**20
"""Of a body that is longer than any sound one, only this much is kept."""

LATE_S = 1.0
"""Time after its deadline in which a caller that has given up waits for the end of its connection,
to tell a late one from none."""

_RARE_PARTS = 20
_MIN_ATTEMPT_S = 0.05
_RETRY_PAUSE_S = 0.1
_MAX_WAIT_FRACTION = 1 / 3
"""The largest part of the remaining time that a caller waits before a retry, whatever `Retry-After`
says."""

_STAYS_PROBABILITY = 0.4
"""The probability that a caller which leaves some streams reads one to its end."""

_KEEP_ALIVE_S = 3.0
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_LAST_CHUNK = b"0\r\n\r\n"
_FINAL_STATUSES = (400, 401, 404, 413)


class Role(NamedTuple):
    """The behaviour of a caller.

    Attributes:
        routes: The routes to draw from.
        keys: The names of the keys to draw from.
        pause_s: The average pause between two calls.
        retries: Whether the caller retries.
        leaves: Whether the caller closes the connections of some streams, and takes them up.
    """

    routes: tuple[str, ...]
    keys: tuple[str, ...]
    pause_s: float
    retries: bool = True
    leaves: bool = False


PLAIN = Role(("lookup", "join", "open", MOVABLE), ("one", "two", "goes"), 0.06)
STREAMING = Role(("items", "minutes"), ("one", "two", "goes"), 0.1)
LEAVING = Role(("items",), ("one", "two"), 0.1, leaves=True)
LIMITED = Role(("lookup",), ("few",), 0.05, retries=False)
ROLES = (PLAIN,) * 10 + (STREAMING,) * 6 + (LIMITED,) * 2 + (LEAVING,) * 3


class Callers:
    """All callers; each runs in its own thread.

    Args:
        boxes: The boxes' addresses for clients, by name.
        seed: The seed of the calls.
    """

    def __init__(self, boxes: dict[str, str], *, seed: int) -> None:
        self.attempts: list[Attempt] = []
        self.calls: list[Call] = []
        self._stop = threading.Event()
        self._callers = [
            Caller(number, role, boxes, random.Random(f"{seed}/{number}"), self)
            for number, role in enumerate(ROLES)
        ]
        self._threads = [
            threading.Thread(target=caller.run, args=(self._stop,), daemon=True)
            for caller in self._callers
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let each caller end its current call, and wait until all have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()


class _PooledConnection(NamedTuple):
    connection: http.client.HTTPConnection
    used_at: float


class Caller:
    """A caller, which makes one call after the other."""

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
        self._pool: dict[str, _PooledConnection] = {}

    def run(self, stop: threading.Event) -> None:
        """Make calls until `stop` is set."""
        while not stop.wait(self._rng.expovariate(1 / self._role.pause_s)):
            self.call()

    def call(self) -> None:
        """Make one call, with retries; a stream that broke off is taken up at another box."""
        route = self._rng.choice(self._role.routes)
        key = self._rng.choice(self._role.keys)
        adapter = self._rng.choice(ADAPTERS) if route in STREAMS else ""
        call = f"{self._number}-{self._count}"
        began_at = monotonic()
        ends_at = began_at + CALL_TIMEOUT_S
        attempt: Attempt | None = None
        while True:
            attempt = self._attempt(call, route, key, adapter, ends_at, before=attempt)
            self._callers.attempts.append(attempt)
            if not self._should_retry(attempt):
                break
            time.sleep(self._wait_s(attempt, ends_at))
            if ends_at - monotonic() < _MIN_ATTEMPT_S:
                break
        self._callers.calls.append(
            Call(
                call=call,
                route=route,
                key=key,
                began_at=began_at,
                ended_at=monotonic(),
                answered=attempt.answered or attempt.last_event == STREAM_EVENTS,
                last=f"{attempt.request_id} at {attempt.box}: {attempt.status} {attempt.error}",
            )
        )

    def _should_retry(self, attempt: Attempt) -> bool:
        if attempt.answered or not self._role.retries or attempt.status in _FINAL_STATUSES:
            return False
        if attempt.last_event == STREAM_EVENTS:
            return False
        return (
            attempt.repeatable or attempt.status in _NOT_RUN_STATUSES or attempt.error == "refused"
        )

    def _wait_s(self, attempt: Attempt, ends_at: float) -> float:
        requested_s = attempt.retry_after_s or _RETRY_PAUSE_S
        left_s = ends_at - monotonic()
        return max(0.0, min(requested_s, left_s * _MAX_WAIT_FRACTION))

    def _attempt(
        self,
        call: str,
        route: str,
        key: str,
        adapter: str,
        ends_at: float,
        *,
        before: Attempt | None,
    ) -> Attempt:
        """Send an attempt that takes up the stream of the one before, if that brought any event."""
        self._count += 1
        boxes = sorted(self._boxes)
        resumes, last_event_id = "", 0
        if before is not None and route in RESUMABLE and before.last_event:
            resumes, last_event_id = before.stream, before.last_event
            boxes.remove(before.box)
        attempt = Attempt(
            request_id=f"{self._number:04x}{self._count:012x}",
            call=call,
            box=self._rng.choice(boxes),
            route=route,
            key=key,
            adapter=adapter,
            sent_at=monotonic(),
            last_event_id=last_event_id,
            resumes=resumes,
            leaves_after=self._draw_leaving(STREAM_EVENTS - last_event_id),
        )
        connection = self._connection_to(attempt)
        attempt_once(attempt, connection, ends_at=ends_at)
        if attempt.is_complete and connection.sock is not None:
            self._pool[attempt.box] = _PooledConnection(connection, attempt.ended_at)
        else:
            connection.close()
        return attempt

    def _draw_leaving(self, events: int) -> int:
        """Draw after how many of a stream's events the caller leaves; 0 for never."""
        if not self._role.leaves or events < 2 or self._rng.random() < _STAYS_PROBABILITY:
            return 0
        return self._rng.randrange(1, events)

    def _connection_to(self, attempt: Attempt) -> http.client.HTTPConnection:
        pooled = self._pool.pop(attempt.box, None)
        if pooled is not None and attempt.sent_at - pooled.used_at < _KEEP_ALIVE_S:
            return pooled.connection
        if pooled is not None:
            pooled.connection.close()
        host, port = split_address(self._boxes[attempt.box])
        return http.client.HTTPConnection(host, port)


def attempt_once(
    attempt: Attempt, connection: http.client.HTTPConnection, *, ends_at: float
) -> None:
    """Send an attempt and record its outcome in it."""
    attempt.settled_at = float("inf")
    try:
        _exchange(attempt, connection, ends_at)
    except ConnectionRefusedError:
        attempt.error = "refused"
    except TimeoutError:
        attempt.error = TimeoutError.__name__
        attempt.ended_at = attempt.ended_at or monotonic()
        return
    except (OSError, http.client.HTTPException) as error:
        attempt.error = type(error).__name__
    attempt.ended_at = attempt.settled_at = monotonic()


def _exchange(attempt: Attempt, connection: http.client.HTTPConnection, ends_at: float) -> None:
    left_s = max(_MIN_ATTEMPT_S, ends_at - monotonic())
    attempt.deadline_at = monotonic() + left_s
    connection.timeout = left_s
    if connection.sock is not None:
        connection.sock.settimeout(left_s)
    connection.request("POST", attempt.path, body=BODY, headers=_headers_of(attempt, left_s))
    sock = connection.sock
    try:
        _receive(attempt, connection, sock)
    except TimeoutError:
        attempt.ended_at = monotonic()
        attempt.settled_at = _settled_at(attempt, sock)
        raise


def _receive(attempt: Attempt, connection: http.client.HTTPConnection, sock: socket.socket) -> None:
    response = connection.getresponse()
    attempt.status = response.status
    attempt.seal = response.getheader("Springrock-Response-Seal", "")
    attempt.instance = response.getheader(names.INSTANCE_ID, "")
    attempt.says_leaving = response.getheader(names.LEAVING) == "1"
    attempt.echoed_id = response.getheader(names.REQUEST_ID, "")
    retry_after = response.getheader("Retry-After")
    attempt.retry_after_s = None if retry_after is None else float(retry_after)
    attempt.framing = _framing_of(response)
    while block := response.read1(_READ_BYTES):
        attempt.body += block
        if attempt.leaves_after and len(event_ids(attempt.body)) >= attempt.leaves_after:
            attempt.error = LEFT
            return
        if len(attempt.body) >= _MAX_KEPT_BYTES:
            attempt.is_complete = _skip_rest(attempt, sock)
            return
        if monotonic() > attempt.deadline_at + LATE_S:
            raise TimeoutError("the answer goes on after its deadline")
    attempt.is_complete = attempt.framing is Framing.CHUNKS or response.length == 0
    response.close()


def _skip_rest(attempt: Attempt, sock: socket.socket) -> bool:
    """Read an answer that is longer than any sound one; return whether it has a last chunk.

    It is not parsed, as many callers that parse long answers lag behind what their boxes send.
    """
    while (left_s := attempt.deadline_at + LATE_S - monotonic()) > 0:
        sock.settimeout(left_s)
        data = sock.recv(_MAX_KEPT_BYTES)
        if not data or data.endswith(_LAST_CHUNK):
            return bool(data)
    raise TimeoutError("the answer goes on after its deadline")


def _settled_at(attempt: Attempt, sock: socket.socket) -> float:
    """Return when an answer began or, if it had, its connection ended; infinite if it did not."""
    while (left_s := attempt.deadline_at + LATE_S - monotonic()) > 0:
        sock.settimeout(left_s)
        try:
            data = sock.recv(_READ_BYTES)
        except TimeoutError:
            break
        except OSError:
            return monotonic()
        if not data or not attempt.status or data.endswith(_LAST_CHUNK):
            return monotonic()
    return float("inf")


def _framing_of(response: http.client.HTTPResponse) -> Framing:
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION if response.length is None else Framing.LENGTH


def _prompt_of(attempt: Attempt) -> str:
    """Return the parts of a prompt, the last of which no other call has."""
    number = zlib.crc32(attempt.call.encode())
    parts = [SHARED_PART, attempt.crashing_part, f"91bd{number % _RARE_PARTS:02x}", f"{number:08x}"]
    return ",".join(f"{part}:100" for part in parts if part)


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
    if attempt.route in STREAMS:
        headers[names.PROMPT_PARTS] = _prompt_of(attempt)
    if attempt.resumes:
        headers[names.LAST_EVENT_ID] = str(attempt.last_event_id)
        headers[names.RESUMES] = attempt.resumes
    return headers
