"""A seeded, bounded, open-loop load on the callers' doors, each answer checked word for word."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Literal

import gevent
import msgspec
import urllib3
from msgspec import field

from springrock.clock import monotonic
from springrock.emulator.generation import expected_text
from springrock.settings import Section
from springrock.wire import caller as wire
from springrock.wire.engine import DONE, decode_chunk

_TIMEOUT_S = 90.0
_CONNECTIONS = 256
_DATA_PREFIX = b"data: "


class WorkloadPlan(Section, frozen=True, kw_only=True):
    """One workload of a load.

    Attributes:
        share: Its part of all requests, relative to the other workloads.
        kind: What is sent.
        worth: The stated worth of each request.
        deadline_s: The stated deadline.
        tokens: How many tokens are asked for, on average.
        path: The path of a service call, without the pool.
        pool: The pool of a service call.
    """

    name: str
    share: float = 1.0
    kind: Literal["completion", "chat", "service"] = "completion"
    worth: float = 1.0
    deadline_s: float = 20.0
    tokens: int = 32
    repeatable: bool = True
    method: str = "POST"
    pool: str = ""
    path: str = ""


class LoadSettings(Section, frozen=True, kw_only=True):
    """A load.

    Attributes:
        boxes: The callers' doors.
        adapters: How many adapters there are.
        zipf: The exponent of their popularity.
        shift_at_s: When the popularity is reshuffled; 0 for never.
        burst_at_s: When a burst begins; 0 for never.
        burst_s: How long it lasts.
        burst_factor: How many times more requests come in it.
        in_flight_limit: More requests than this at once are counted as not sent.
    """

    boxes: list[str]
    base_model: str
    adapters: int
    workloads: list[WorkloadPlan]
    seed: int = 1
    seconds: float = 30.0
    requests_per_s: float = 5.0
    zipf: float = 1.2
    shift_at_s: float = 0.0
    burst_at_s: float = 0.0
    burst_s: float = 0.0
    burst_factor: float = 1.0
    in_flight_limit: int = 1_500
    engines: list[str] = field(default_factory=list)


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How one request ended.

    Attributes:
        rank: The adapter's place in the order of popularity at that time.
        in_time: Whether the whole answer came within the deadline.
        wrong: Whether the answer was not the one to this request.
        gap_s: The longest time between two tokens.
    """

    at_s: float
    workload: str
    rank: int
    worth: float
    status: int
    run_state: str
    cause: str = ""
    in_time: bool = False
    wrong: bool = False
    stall_s: float = 0.0
    first_token_s: float = 0.0
    gap_s: float = 0.0
    total_s: float = 0.0
    tokens: int = 0
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class Planned:
    """One request of a plan."""

    number: int
    at_s: float
    workload: WorkloadPlan
    adapter: int
    rank: int
    tokens: int
    box: str


class Popularity:
    """Zipf-distributed adapters whose order can be reshuffled.

    Args:
        count: How many adapters there are.
        exponent: The exponent; higher is more skewed.
        rng: The source of chance.
    """

    def __init__(self, count: int, exponent: float, rng: random.Random) -> None:
        weights = (1 / (rank + 1) ** exponent for rank in range(count))
        self._cumulative = list(itertools.accumulate(weights))
        self._rng = rng
        self._order = list(range(count))
        self.shuffle()

    def shuffle(self) -> None:
        """Give every adapter another popularity."""
        self._rng.shuffle(self._order)

    def draw(self) -> tuple[int, int]:
        """Return an adapter and its rank."""
        point = self._rng.random() * self._cumulative[-1]
        rank = bisect.bisect(self._cumulative, point)
        return self._order[rank], rank


def plan(settings: LoadSettings) -> Iterator[Planned]:
    """Yield the requests of a load, the same for the same settings."""
    rng = random.Random(settings.seed)
    popularity = Popularity(settings.adapters, settings.zipf, rng)
    shares = [workload.share for workload in settings.workloads]
    shifted = not settings.shift_at_s
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(_rate_at(settings, at_s))
        if at_s > settings.seconds:
            return
        if not shifted and at_s >= settings.shift_at_s:
            shifted = True
            popularity.shuffle()
        workload = rng.choices(settings.workloads, shares)[0]
        adapter, rank = popularity.draw()
        tokens = max(1, round(rng.gauss(workload.tokens, workload.tokens / 4)))
        yield Planned(number, at_s, workload, adapter, rank, tokens, rng.choice(settings.boxes))


def _rate_at(settings: LoadSettings, at_s: float) -> float:
    begin = settings.burst_at_s
    if begin and begin <= at_s < begin + settings.burst_s:
        return settings.requests_per_s * settings.burst_factor
    return settings.requests_per_s


class LoadRun:
    """Sends a plan and collects the outcomes.

    Args:
        settings: The load.
        model_name: Returns the model name of an adapter.
        on_outcome: Called with each outcome.
    """

    def __init__(
        self,
        settings: LoadSettings,
        *,
        model_name: Callable[[int], str],
        on_outcome: Callable[[Outcome], None] = lambda _: None,
    ) -> None:
        self.settings = settings
        self.outcomes: list[Outcome] = []
        self.in_flight = 0
        self.not_sent = 0
        self._model_name = model_name
        self._on_outcome = on_outcome
        self._pool = urllib3.PoolManager(retries=False, maxsize=_CONNECTIONS)
        self._tag = f"load-{settings.seed}-{random.SystemRandom().randrange(1 << 32):08x}"

    def run(self) -> None:
        """Send everything and wait for every end."""
        began_at = monotonic()
        tasks = []
        for planned in plan(self.settings):
            gevent.sleep(max(0.0, began_at + planned.at_s - monotonic()))
            if self.in_flight >= self.settings.in_flight_limit:
                self.not_sent += 1
                continue
            tasks.append(gevent.spawn(self._send, planned))
        gevent.joinall(tasks)

    def _send(self, planned: Planned) -> None:
        self.in_flight += 1
        try:
            service = planned.workload.kind == "service"
            outcome = self._call_service(planned) if service else self._complete(planned)
        finally:
            self.in_flight -= 1
        self.outcomes.append(outcome)
        self._on_outcome(outcome)

    def _headers(self, planned: Planned) -> dict[str, str]:
        workload = planned.workload
        return {
            wire.WORKLOAD_HEADER: workload.name,
            wire.WORTH_HEADER: str(workload.worth),
            wire.DEADLINE_HEADER: str(round(workload.deadline_s * 1000)),
            wire.REPEATABLE_HEADER: "yes" if workload.repeatable else "no",
            wire.REQUEST_ID_HEADER: f"{self._tag}-{planned.number}",
        }

    def _ended(
        self, planned: Planned, began_at: float, status: int, run_state: str, **more: Any
    ) -> Outcome:
        total_s = monotonic() - began_at
        return Outcome(
            at_s=planned.at_s,
            workload=planned.workload.name,
            rank=planned.rank,
            worth=planned.workload.worth,
            status=status,
            run_state=run_state,
            in_time=run_state == "answered" and total_s <= planned.workload.deadline_s,
            total_s=total_s,
            **more,
        )

    # Service calls.

    def _call_service(self, planned: Planned) -> Outcome:
        workload = planned.workload
        url = f"http://{planned.box}/services/{workload.pool}/{workload.path}"
        body = f"record {planned.number}".encode()
        began_at = monotonic()
        try:
            response = self._pool.request(
                workload.method,
                url,
                body=None if workload.method == "GET" else body,
                headers=self._headers(planned),
                timeout=_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return self._ended(planned, began_at, 0, "unknown", cause="transport")
        if response.status != 200:
            return self._refused(planned, began_at, response.status, response.data)
        answer = msgspec.json.decode(response.data)
        wrong = answer.get("request_id") != self._headers(planned)[wire.REQUEST_ID_HEADER]
        return self._ended(planned, began_at, 200, "answered", wrong=wrong)

    # Completions.

    def _complete(self, planned: Planned) -> Outcome:
        chat = planned.workload.kind == "chat"
        path = "/v1/chat/completions" if chat else "/v1/completions"
        prompt = f"call {planned.number} of {self._tag}"
        body: dict[str, Any] = {
            "model": self._model_name(planned.adapter),
            "max_tokens": planned.tokens,
            "stream": True,
        }
        if chat:
            body["messages"] = [{"role": "user", "content": prompt}]
        else:
            body["prompt"] = prompt
        began_at = monotonic()
        try:
            response = self._pool.request(
                "POST",
                f"http://{planned.box}{path}",
                body=msgspec.json.encode(body),
                headers=self._headers(planned),
                timeout=_TIMEOUT_S,
                preload_content=False,
            )
            if response.status != 200:
                return self._refused(planned, began_at, response.status, response.read())
            return self._read_stream(planned, began_at, response, body["model"], prompt)
        except urllib3.exceptions.HTTPError:
            return self._ended(planned, began_at, 0, "unknown", cause="transport")

    def _refused(self, planned: Planned, began_at: float, status: int, data: bytes) -> Outcome:
        try:
            error = msgspec.json.decode(data)["error"]
        except (msgspec.MsgspecError, KeyError, TypeError):
            return self._ended(planned, began_at, status, "unknown", cause="garbage")
        return self._ended(
            planned,
            began_at,
            status,
            error["run_state"],
            cause=error["type"],
            retry_after_s=error["retry_after_s"],
        )

    def _read_stream(
        self,
        planned: Planned,
        began_at: float,
        response: urllib3.BaseHTTPResponse,
        model: str,
        prompt: str,
    ) -> Outcome:
        stall_s = float(response.headers.get(wire.LOAD_STALL_HEADER, 0)) / 1000
        reading = _Reading(began_at)
        for data in response.stream():
            reading.feed(data)
        response.release_conn()
        if not reading.done:
            state = reading.error.get("run_state", "cut")
            cause = reading.error.get("type", "silent_cut")
            wrong = not expected_text(model, prompt, planned.tokens).startswith(reading.text)
            return self._ended(planned, began_at, 200, state, cause=cause, wrong=wrong)
        return self._ended(
            planned,
            began_at,
            200,
            "answered",
            wrong=reading.text != expected_text(model, prompt, planned.tokens),
            stall_s=stall_s,
            first_token_s=reading.first_token_s,
            gap_s=reading.gap_s,
            tokens=reading.tokens,
        )


class _Reading:
    """What a caller reads of one stream."""

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._last_at = began_at
        self._buffer = b""
        self._pieces: list[str] = []
        self.first_token_s = 0.0
        self.gap_s = 0.0
        self.tokens = 0
        self.done = False
        self.error: dict[str, Any] = {}

    @property
    def text(self) -> str:
        return "".join(self._pieces)

    def feed(self, data: bytes) -> None:
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            payload = event.partition(_DATA_PREFIX)[2]
            self.error = msgspec.json.decode(payload)["error"]
            return
        data = event[len(_DATA_PREFIX) :]
        if data == DONE:
            self.done = True
            return
        self._pieces.append(decode_chunk(data).choices[0].piece)
        now = monotonic()
        if self.tokens:
            self.gap_s = max(self.gap_s, now - self._last_at)
        else:
            self.first_token_s = now - self._began_at
        self._last_at = now
        self.tokens += 1
