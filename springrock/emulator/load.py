"""Seeded open-loop load generator with a limit of requests in flight, which checks every answer."""

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

_REQUEST_TIMEOUT_S = 90.0
_MAX_CONNECTIONS = 256
_DATA_PREFIX = b"data: "


class WorkloadPlan(Section, frozen=True, kw_only=True):
    """One workload of a load run.

    Attributes:
        share: Its weight among all requests, relative to the other workloads.
        kind: The kind of request.
        worth: The worth that each request states in its header.
        deadline_s: The deadline that each request states in its header.
        tokens: The mean number of tokens that a request asks for.
        path: The path of a service call below its pool.
        pool: The pool that a service call goes to.
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
    """Settings of a load run.

    Attributes:
        boxes: The callers' addresses of the boxes.
        adapters: Number of adapters.
        zipf: The Zipf exponent of their popularity.
        shift_at_s: When the popularity is reshuffled; 0 disables this.
        burst_at_s: When a burst begins; 0 disables this.
        burst_s: Duration of the burst.
        burst_factor: Factor by which the request rate grows during the burst.
        in_flight_limit: Maximum of concurrent requests; those above it are counted as not sent.
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
    """The outcome of one request.

    Attributes:
        rank: The adapter's rank by popularity when the request was sent; 0 is the most popular.
        in_time: Whether the complete answer arrived within the deadline.
        wrong: Whether the answer differed from the expected one for this request.
        gap_s: The longest time between two consecutive tokens.
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
class PlannedRequest:
    """One planned request of a load run."""

    number: int
    at_s: float
    workload: WorkloadPlan
    adapter: int
    rank: int
    tokens: int
    box: str


class Popularity:
    """Draws adapters from a Zipf distribution whose order can be reshuffled.

    Args:
        count: Number of adapters.
        exponent: The Zipf exponent; higher is more skewed.
        rng: The random number generator.
    """

    def __init__(self, count: int, exponent: float, rng: random.Random) -> None:
        weights = (1 / (rank + 1) ** exponent for rank in range(count))
        self._cumulative = list(itertools.accumulate(weights))
        self._rng = rng
        self._order = list(range(count))
        self.shuffle()

    def shuffle(self) -> None:
        """Assign the popularity ranks to adapters in a new random order."""
        self._rng.shuffle(self._order)

    def draw(self) -> tuple[int, int]:
        """Return a random adapter and its rank."""
        point = self._rng.random() * self._cumulative[-1]
        rank = bisect.bisect(self._cumulative, point)
        return self._order[rank], rank


def plan(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yield the requests of a load run; the same settings yield the same requests."""
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
        yield PlannedRequest(
            number, at_s, workload, adapter, rank, tokens, rng.choice(settings.boxes)
        )


def _rate_at(settings: LoadSettings, at_s: float) -> float:
    begin = settings.burst_at_s
    if begin and begin <= at_s < begin + settings.burst_s:
        return settings.requests_per_s * settings.burst_factor
    return settings.requests_per_s


class LoadRun:
    """Sends the planned requests and collects their outcomes.

    Args:
        settings: The load settings.
        model_name: Returns the model name of the adapter with a given index.
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
        self._pool = urllib3.PoolManager(retries=False, maxsize=_MAX_CONNECTIONS)
        self._run_id = f"load-{settings.seed}-{random.SystemRandom().randrange(1 << 32):08x}"

    def run(self) -> None:
        """Send all requests on schedule and wait until every one has ended."""
        began_at = monotonic()
        tasks = []
        for planned in plan(self.settings):
            gevent.sleep(max(0.0, began_at + planned.at_s - monotonic()))
            if self.in_flight >= self.settings.in_flight_limit:
                self.not_sent += 1
                continue
            tasks.append(gevent.spawn(self._send, planned))
        gevent.joinall(tasks)

    def _send(self, planned: PlannedRequest) -> None:
        self.in_flight += 1
        try:
            is_service = planned.workload.kind == "service"
            outcome = self._call_service(planned) if is_service else self._call_completion(planned)
        finally:
            self.in_flight -= 1
        self.outcomes.append(outcome)
        self._on_outcome(outcome)

    def _headers(self, planned: PlannedRequest) -> dict[str, str]:
        workload = planned.workload
        return {
            wire.WORKLOAD_HEADER: workload.name,
            wire.WORTH_HEADER: str(workload.worth),
            wire.DEADLINE_HEADER: str(round(workload.deadline_s * 1000)),
            wire.REPEATABLE_HEADER: "yes" if workload.repeatable else "no",
            wire.REQUEST_ID_HEADER: f"{self._run_id}-{planned.number}",
        }

    def _make_outcome(
        self, planned: PlannedRequest, began_at: float, status: int, run_state: str, **details: Any
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
            **details,
        )

    # Service calls.

    def _call_service(self, planned: PlannedRequest) -> Outcome:
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
                timeout=_REQUEST_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return self._make_outcome(planned, began_at, 0, "unknown", cause="transport")
        if response.status != 200:
            return self._make_refused_outcome(planned, began_at, response.status, response.data)
        answer = msgspec.json.decode(response.data)
        wrong = answer.get("request_id") != self._headers(planned)[wire.REQUEST_ID_HEADER]
        return self._make_outcome(planned, began_at, 200, "answered", wrong=wrong)

    # Completions.

    def _call_completion(self, planned: PlannedRequest) -> Outcome:
        chat = planned.workload.kind == "chat"
        path = "/v1/chat/completions" if chat else "/v1/completions"
        prompt = f"call {planned.number} of {self._run_id}"
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
                timeout=_REQUEST_TIMEOUT_S,
                preload_content=False,
            )
            if response.status != 200:
                return self._make_refused_outcome(
                    planned, began_at, response.status, response.read()
                )
            return self._read_stream(planned, began_at, response, body["model"], prompt)
        except urllib3.exceptions.HTTPError:
            return self._make_outcome(planned, began_at, 0, "unknown", cause="transport")

    def _make_refused_outcome(
        self, planned: PlannedRequest, began_at: float, status: int, data: bytes
    ) -> Outcome:
        try:
            error = msgspec.json.decode(data)["error"]
        except (msgspec.MsgspecError, KeyError, TypeError):
            return self._make_outcome(planned, began_at, status, "unknown", cause="garbage")
        return self._make_outcome(
            planned,
            began_at,
            status,
            error["run_state"],
            cause=error["type"],
            retry_after_s=error["retry_after_s"],
        )

    def _read_stream(
        self,
        planned: PlannedRequest,
        began_at: float,
        response: urllib3.BaseHTTPResponse,
        model: str,
        prompt: str,
    ) -> Outcome:
        stall_s = float(response.headers.get(wire.LOAD_STALL_HEADER, 0)) / 1000
        reader = _StreamReader(began_at)
        for data in response.stream():
            reader.feed(data)
        response.release_conn()
        if not reader.done:
            state = reader.error.get("run_state", "cut")
            cause = reader.error.get("type", "silent_cut")
            wrong = not expected_text(model, prompt, planned.tokens).startswith(reader.text)
            return self._make_outcome(planned, began_at, 200, state, cause=cause, wrong=wrong)
        return self._make_outcome(
            planned,
            began_at,
            200,
            "answered",
            wrong=reader.text != expected_text(model, prompt, planned.tokens),
            stall_s=stall_s,
            first_token_s=reader.first_token_s,
            gap_s=reader.gap_s,
            tokens=reader.tokens,
        )


class _StreamReader:
    """Parses the event stream of one answer and measures its token times."""

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._last_at = began_at
        self._buffer = b""
        self._texts: list[str] = []
        self.first_token_s = 0.0
        self.gap_s = 0.0
        self.tokens = 0
        self.done = False
        self.error: dict[str, Any] = {}

    @property
    def text(self) -> str:
        return "".join(self._texts)

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
        self._texts.append(decode_chunk(data).choices[0].generated_text)
        now = monotonic()
        if self.tokens:
            self.gap_s = max(self.gap_s, now - self._last_at)
        else:
            self.first_token_s = now - self._began_at
        self._last_at = now
        self.tokens += 1
