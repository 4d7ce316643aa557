"""Emulator of one of the users' replicas: a plain service, or a model engine with adapters."""

from __future__ import annotations

import base64
import contextlib
import os
import secrets
import socket
import time
from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple
from weakref import WeakSet

import bottle
import gevent
import msgspec
import urllib3
from msgspec import Struct

from springrock import retry_after
from springrock.bottle_app import json_response, new_app
from springrock.clock import monotonic
from springrock.emulator.endless import ENDLESS_KEY, Endless, EndlessAnswers
from springrock.emulator.late_copies import COPIED_KEY, LateCopies
from springrock.emulator.replica_events import (
    AnswerEnd,
    ReplicaEvent,
    ReplicaEventFile,
    ReplicaEventKind,
)
from springrock.emulator.settings import ReplicaStandinSettings
from springrock.emulator.unframed import (
    CRASH_EXIT_STATUS,
    UNFRAMED_KEY,
    BrokenBy,
    UnframedAnswers,
    break_off,
    broken_body,
)
from springrock.errors import AnswerCut
from springrock.httpd import SOCKET_KEY, HttpServer
from springrock.platform import names

_SEAL_HEADER = "Springrock-Response-Seal"
_RECORD_INTERVAL_S = 0.3
_REPORT_LAG_S = 0.1
_UNLOADED_IN_USE = "unloaded_in_use"
_CRASH_DELAY_S = 0.08
"""The time in which the prompt is read, before an answer that crashes the replica begins."""

_CUT_AFTER = 3
"""Number of events after which a stream is cut because of `cut_every`."""

_DEFAULT_VERSION = 1
"""The adapter version that a load order without a version loads."""

_BRITTLE_WINDOW_S = 1.0

_MAX_ARRIVALS = 10_000
"""Number of most recent requests whose arrival times the counters report."""


class ReplicaFault(Struct, frozen=True, kw_only=True):
    """Injected faults of a replica; each posted set replaces the whole previous one.

    Attributes:
        refuse: Requests are refused before they run.
        asks_rest_s: The `Retry-After` time that refusals name; 0 omits the header.
        fail: Requests run and are answered with 500.
        cut_after: The next stream is cut after this many events; negative for none.
        leaving: The record and all answers announce that the replica is leaving.
        silent: The replica does not write its record.
        reborn: The replica restarts once, at once, with the same id and without any earlier state.
        cold_s: The replica reports itself as cold for this long from now on.
        limit_per_s: The rate limit that all answers name; negative for none.
        unframed: Answers of runs have neither a length nor chunks; their connection ends them.
        breaks: Number of next unframed answers that break: a stream after `break_after` events,
            any other in the middle of its body.
        break_after: Number of whole events that a breaking stream sends; at least 1.
        break_inside: Whether a breaking stream also sends a part of its next event.
        broken_by: What ends a breaking answer.
        brittle_per_s: How many requests the replica may turn away in a second, as all answers name
            it; the process exits when it turns more away. Negative if it is not brittle.
        room: How many requests may run at once, others are turned away; negative for any number.
        copies: Whether each answer to a request, order or report comes again late, in the place
            of the next one on its connection.
        answer_bytes: The least length of plain answers.
        endless: Makes the answers to requests that run have no end; None for whole answers.
        endless_every: Only each answer whose number is a multiple of this has no end; 0 for all.
        endless_report: The same for answers to calls for a report.
        endless_order: The same for answers to orders.
    """

    refuse: bool = False
    asks_rest_s: float = 0.0
    fail: bool = False
    cut_after: int = -1
    leaving: bool = False
    silent: bool = False
    reborn: bool = False
    cold_s: float = 0.0
    limit_per_s: float = -1.0
    unframed: bool = False
    breaks: int = 0
    break_after: int = 3
    break_inside: bool = False
    broken_by: BrokenBy = BrokenBy.CLOSE
    brittle_per_s: float = -1.0
    room: int = -1
    copies: bool = False
    answer_bytes: int = 0
    endless: Endless | None = None
    endless_every: int = 0
    endless_report: Endless | None = None
    endless_order: Endless | None = None


class AnswerKind(StrEnum):
    """What an answer of a replica is to."""

    RUN = "run"
    REPORT = "report"
    ORDER = "order"


class _StreamRun(NamedTuple):
    """A stream that is being sent."""

    request_id: str
    began_at: float


class ReplicaStandin:
    """An emulated replica, served over HTTP, that writes its own record to the store."""

    def __init__(self, settings: ReplicaStandinSettings) -> None:
        self._settings = settings
        self._instance = settings.instance or f"i-{secrets.token_hex(4)}"
        version = settings.software_version
        self._software = str(msgspec.json.decode(version)) if version else ""
        self._fault = ReplicaFault()
        self._started_ms = _now_ms()
        self._sockets: WeakSet[Any] = WeakSet()
        self._store = urllib3.PoolManager(retries=False)
        self._adapters: dict[str, int] = {}
        self._loading: dict[str, int] = {}
        self._streams: dict[str, list[_StreamRun]] = defaultdict(list)
        self._stream_count = 0
        self._run_count = 0
        self._endless_sent: Counter[str] = Counter()
        self._sequence = 0
        self._fence = 0
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self.runs: Counter[str] = Counter()
        self.teams: dict[str, str] = {}
        self._arrivals: deque[float] = deque(maxlen=_MAX_ARRIVALS)
        self._turned_away: deque[float] = deque(maxlen=_MAX_ARRIVALS)
        self._running = 0
        self.violations: Counter[str] = Counter()
        self._cold_until = monotonic() + settings.cold_s
        self._events_file = ReplicaEventFile(settings.events_path)
        self._leaving_acknowledged = False
        app = EndlessAnswers(UnframedAnswers(LateCopies(self._build_app())))
        self.server = HttpServer(app, settings.address)

    def start(self) -> None:
        """Start the HTTP server and the loop that writes the record."""
        self._write_event(ReplicaEventKind.STARTED)
        self.server.start()
        gevent.spawn(self._record_loop)

    def stop(self) -> None:
        """Stop at once, without waiting for open requests."""
        self.server.stop(finish_within_s=0)

    def _build_app(self) -> Any:
        app = new_app()
        app.post("/standin/faults")(self._post_fault)
        app.get("/standin/counters")(self._get_counters)
        app.get(names.REPORT_PATH)(self._get_report)
        app.post(names.ORDER_PATH)(self._post_order)
        app.route("/<path:path>", method=["GET", "POST", "PUT"])(self._run)
        return app

    # Record and reports.

    def _record_loop(self) -> None:
        while True:
            try:
                if not self._fault.silent:
                    self._write_record()
            except urllib3.exceptions.HTTPError:
                pass
            gevent.sleep(_RECORD_INTERVAL_S)

    def _write_record(self) -> None:
        settings = self._settings
        leaving = self._fault.leaving
        value = {
            "service": settings.service,
            "address": settings.advertised_address or settings.address,
            "zone": settings.availability_zone,
            "slots": 8,
            "state": "draining" if leaving else "ready",
            "models": self._models(),
            "sequence": self._sequence,
            **self._reported_start(),
            "coldRemainingMs": round(self._cold_left_s * 1000),
        }
        if settings.software_version:
            value["version"] = msgspec.json.decode(settings.software_version)
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        row = {"table": names.REPLICA_TABLE, "key": self._instance, "value": encoded}
        answer = self._store.request(
            "POST",
            f"http://{settings.store_address}/standin/transaction",
            body=msgspec.json.encode({"put": [row]}),
        )
        if leaving and answer.status == 200 and not self._leaving_acknowledged:
            self._leaving_acknowledged = True
            self._write_event(ReplicaEventKind.LEAVING_ACKNOWLEDGED)

    def _reported_start(self) -> dict[str, int]:
        return {"born": self._started_ms} if self._settings.tells_start else {}

    @property
    def _cold_left_s(self) -> float:
        return max(0.0, self._cold_until - monotonic())

    def _models(self) -> list[dict[str, Any]]:
        if not self._settings.base_model:
            return []
        adapters = [f"{name}@{version}" for name, version in self._adapters.items()]
        return [{"name": self._settings.base_model, "version": 1, "adapters": adapters}]

    def _get_report(self) -> Any:
        self._make_endless(self._fault.endless_report, AnswerKind.REPORT)
        now = monotonic()
        self._reports.append((now, self._state()))
        while len(self._reports) > 1 and self._reports[1][0] < now - _REPORT_LAG_S:
            del self._reports[0]
        return self._answer(msgspec.json.encode(self._reports[0][1]))

    def _answer(
        self, body: bytes, *, status: int = 200, headers: dict[str, str] | None = None
    ) -> Any:
        """Return an answer with the headers that every answer carries."""
        bottle.request.environ[COPIED_KEY] = self._fault.copies
        return json_response(
            body, status=status, headers={**(headers or {}), **self._status_headers()}
        )

    def _status_headers(self) -> dict[str, str]:
        headers = {names.LEAVING: "1"} if self._fault.leaving else {}
        if self._fault.limit_per_s >= 0:
            headers[names.LIMIT] = str(self._fault.limit_per_s)
        if self._fault.brittle_per_s >= 0:
            headers[names.BRITTLE] = str(self._fault.brittle_per_s)
        return headers

    def _state(self) -> dict[str, Any]:
        model = self._settings.base_model
        return {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "sequence": self._sequence,
            "coming": [f"{model}/{name}@{version}" for name, version in self._loading.items()],
            "running": sum(len(streams) for streams in self._streams.values()),
            "queued": 0,
            **self._reported_start(),
        }

    # Orders.

    def _post_order(self) -> Any:
        self._make_endless(self._fault.endless_order, AnswerKind.ORDER)
        order = msgspec.json.decode(bottle.request.body.read())
        if bottle.request.get_header(names.EXPECT_INSTANCE, self._instance) != self._instance:
            return self._answer(b"{}", status=421)
        if order["fencingToken"] < self._fence:
            return self._answer(b"{}", status=412)
        self._fence = order["fencingToken"]
        if order.get("expected", self._sequence) != self._sequence:
            return self._answer(b"{}", status=409)
        adapter = order["adapter"]
        if order["operation"] == "load":
            return self._load(adapter, order.get("version", _DEFAULT_VERSION))
        return self._unload(adapter)

    def _load(self, adapter: str, version: int) -> Any:
        if self._adapters.get(adapter, 0) >= version:
            return self._answer(b"{}", status=200)
        if self._loading.get(adapter, 0) >= version:
            return self._answer(b"{}", status=202)
        self._sequence += 1
        held = self._adapters.keys() | self._loading.keys()
        if adapter not in held and len(held) >= self._settings.adapter_slots:
            self._record_violation("too_many_adapters")
        self._loading[adapter] = version
        gevent.spawn_later(self._settings.load_s, self._finish_load, adapter, self._started_ms)
        return self._answer(b"{}", status=202)

    def _finish_load(self, adapter: str, started_ms: int) -> None:
        version = self._loading.pop(adapter, None) if started_ms == self._started_ms else None
        if version is not None:
            self._adapters[adapter] = version

    def _unload(self, adapter: str) -> Any:
        self._sequence += 1
        if self._streams[adapter]:
            self.violations[_UNLOADED_IN_USE] += 1
        for run in self._streams[adapter]:
            self._write_event(
                ReplicaEventKind.VIOLATION,
                detail=_UNLOADED_IN_USE,
                request_id=run.request_id,
                age_s=monotonic() - run.began_at,
            )
        self._adapters.pop(adapter, None)
        return self._answer(b"{}", status=200)

    # Requests.

    def _run(self, path: str) -> Any:
        request = bottle.request
        body = request.body.read()
        request_id = request.get_header(names.REQUEST_ID, "")
        headers = {names.REQUEST_ID: request_id, names.INSTANCE_ID: self._instance}
        adapter = request.get_header(names.MODEL, "").partition("/")[2]
        if not self._is_addressed_here(adapter):
            self._record_request(ReplicaEventKind.MISDIRECTED, adapter)
            return self._answer(b"", status=421, headers=headers)
        self._arrivals.append(monotonic())
        if self._fault.refuse:
            rest_s = self._fault.asks_rest_s
            self._record_request(ReplicaEventKind.REFUSED, adapter, asked_rest_s=rest_s)
            return self._answer(b"", status=503, headers={**headers, **self._refusal_headers()})
        if 0 <= self._fault.room <= self._running:
            self._turn_away(adapter)
            return self._answer(b"", status=503, headers={**headers, **self._refusal_headers()})
        self.runs[request_id] += 1
        self._sockets.add(request.environ[SOCKET_KEY])
        self.teams[request_id] = request.get_header(names.TEAM, "")
        self._record_request(ReplicaEventKind.RAN, adapter)
        if self._crashes_on(path, body):
            os._exit(CRASH_EXIT_STATUS)
        if self._has_crashing_part():
            gevent.sleep(_CRASH_DELAY_S)
            os._exit(CRASH_EXIT_STATUS)
        if request.get_header(names.API_KEY) is not None:
            self._record_violation("key_passed_on")
        headers[_SEAL_HEADER] = f"seal-of-{request_id}"
        request.environ[UNFRAMED_KEY] = self._fault.unframed
        if self._fault.fail:
            self._record_end(request_id, AnswerEnd.WHOLE)
            return self._answer(b"failed", status=500, headers=headers)
        if self._make_endless(self._next_endless(), AnswerKind.RUN):
            self._record_end(request_id, AnswerEnd.ENDLESS)
            return self._endless_answer(headers)
        if self._settings.base_model:
            headers["Content-Type"] = "text/event-stream"
            first_number = int(request.get_header(names.LAST_EVENT_ID) or "0") + 1
            headers |= self._status_headers()
            return bottle.HTTPResponse(self._stream_events(adapter, first_number), headers=headers)
        with self._occupied():
            gevent.sleep(self._settings.work_ms / 1000)
        plain = f"{request.method} /{path} {len(body)}".encode()
        return self._plain_answer(plain.ljust(self._fault.answer_bytes, b"."), headers)

    def _next_endless(self) -> Endless | None:
        """Count a request that runs; return how its answer has no end, or None for a whole one."""
        self._run_count += 1
        every = self._fault.endless_every
        return None if every and self._run_count % every else self._fault.endless

    def _make_endless(self, endless: Endless | None, kind: AnswerKind) -> bool:
        """Make the current answer one without end, unless `endless` is None; return whether."""
        bottle.request.environ[ENDLESS_KEY] = endless
        self._endless_sent[kind] += endless is not None
        return endless is not None

    def _endless_answer(self, headers: dict[str, str]) -> Any:
        """Return the head of an answer without end, whose body is sent elsewhere."""
        kind = "text/event-stream" if self._settings.base_model else "text/plain"
        headers = {"Content-Type": kind, **headers, **self._status_headers()}
        return bottle.HTTPResponse(headers=headers)

    def _plain_answer(self, body: bytes, headers: dict[str, str]) -> Any:
        broken_by = self._fault.broken_by
        breaks = self._take_break()
        end = AnswerEnd.BROKEN_OFF if breaks else AnswerEnd.WHOLE
        self._record_end(headers[names.REQUEST_ID], end)
        if not breaks:
            return self._answer(body, headers=headers)
        return bottle.HTTPResponse(
            broken_body(body, by=broken_by), headers={**headers, **self._status_headers()}
        )

    def _take_cut(self) -> int:
        """Return after how many events the stream that begins is cut; negative for never."""
        self._stream_count += 1
        every = self._settings.cut_every
        if every and self._stream_count % every == 0:
            return _CUT_AFTER
        cut_after = self._fault.cut_after
        self._fault = msgspec.structs.replace(self._fault, cut_after=-1)
        return cut_after

    def _take_break(self) -> bool:
        """Whether an unframed answer breaks; if so, count it."""
        if not bottle.request.environ[UNFRAMED_KEY] or self._fault.breaks <= 0:
            return False
        self._fault = msgspec.structs.replace(self._fault, breaks=self._fault.breaks - 1)
        return True

    def _turn_away(self, adapter: str) -> None:
        """Record a request for which there is no room; fall over if there were too many."""
        now = monotonic()
        self._turned_away.append(now)
        self._record_request(ReplicaEventKind.REFUSED, adapter)
        in_window = sum(at > now - _BRITTLE_WINDOW_S for at in self._turned_away)
        if 0 <= self._fault.brittle_per_s < in_window:
            os._exit(CRASH_EXIT_STATUS)

    @contextlib.contextmanager
    def _occupied(self) -> Iterator[None]:
        """Occupy room for a request that runs."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1

    def _refusal_headers(self) -> dict[str, str]:
        refusal = {names.NOT_EXECUTED: "1"}
        if self._fault.asks_rest_s:
            refusal[retry_after.HEADER] = str(self._fault.asks_rest_s)
        return refusal

    def _crashes_on(self, path: str, body: bytes) -> bool:
        """Whether a request crashes the replica as it begins to run."""
        text = self._settings.crashes_on
        return bool(text) and (text in path or text.encode() in body)

    def _has_crashing_part(self) -> bool:
        """Whether a request crashes the replica as it begins to write the answer."""
        prefix = self._settings.crashes_on_part
        parts = bottle.request.get_header(names.PROMPT_PARTS, "").split(",")[:-1]
        return bool(prefix) and any(part.startswith(prefix) for part in parts)

    def _is_addressed_here(self, adapter: str) -> bool:
        """Whether a request matches this replica's id and the adapter version it holds now."""
        request = bottle.request
        default = None if self._settings.needs_instance else self._instance
        if request.get_header(names.EXPECT_INSTANCE, default) != self._instance:
            return False
        if not adapter:
            return True
        held = self._adapters.get(adapter, 0)
        return held > 0 and request.get_header(names.EXPECT_VERSION, str(held)) == str(held)

    def _stream_events(self, adapter: str, first_number: int) -> Iterator[bytes]:
        cut_after = self._take_cut()
        fault = self._fault
        break_after = fault.break_after if self._take_break() else -1
        streams = self._streams
        run = _StreamRun(bottle.request.get_header(names.REQUEST_ID, ""), monotonic())
        streams[adapter].append(run)
        self._running += 1
        end = AnswerEnd.CLOSED
        try:
            for number in range(first_number, self._settings.events + 1):
                if streams is not self._streams:
                    raise AnswerCut("the replica restarted")
                if number - first_number == cut_after:
                    yield b"id: %d\nda" % number
                    raise AnswerCut("injected fault")
                if number - first_number == break_after:
                    if fault.break_inside:
                        yield b"id: %d\nda" % number
                    break_off(fault.broken_by)
                yield self._event(number)
                gevent.sleep(self._settings.event_pause_ms / 1000)
            end = AnswerEnd.WHOLE
        except AnswerCut:
            end = AnswerEnd.BROKEN_OFF
            raise
        finally:
            self._running -= 1
            streams[adapter].remove(run)
            self._record_end(run.request_id, end)

    def _event(self, number: int) -> bytes:
        software = self._software
        return f"id: {number}\ndata: token {number}{software and f' by {software}'}\n\n".encode()

    # Events and violations.

    def _record_violation(self, detail: str) -> None:
        self.violations[detail] += 1
        self._write_event(ReplicaEventKind.VIOLATION, detail=detail)

    def _record_request(self, kind: ReplicaEventKind, adapter: str, **fields: Any) -> None:
        request = bottle.request
        self._write_event(
            kind,
            request_id=request.get_header(names.REQUEST_ID, ""),
            path=request.path,
            team=request.get_header(names.TEAM, ""),
            adapter=adapter,
            version=self._adapters.get(adapter, 0),
            named_per_s=self._fault.limit_per_s,
            first_event=int(request.get_header(names.LAST_EVENT_ID) or "0") + 1,
            **fields,
        )

    def _record_end(self, request_id: str, end: AnswerEnd) -> None:
        self._write_event(ReplicaEventKind.ENDED, request_id=request_id, detail=end)

    def _write_event(self, kind: ReplicaEventKind, **fields: Any) -> None:
        self._events_file.record(
            ReplicaEvent(
                kind=kind,
                at=monotonic(),
                instance=self._instance,
                service=self._settings.service,
                software=self._software,
                **fields,
            )
        )

    # Control endpoints of the stand-in.

    def _post_fault(self) -> Any:
        self._fault = msgspec.json.decode(bottle.request.body.read(), type=ReplicaFault)
        if self._fault.reborn:
            self._restart()
        if self._fault.cold_s:
            self._cold_until = monotonic() + self._fault.cold_s
        return b""

    def _restart(self) -> None:
        """Reset all state but the counters for tests, and cut open connections."""
        self._started_ms = max(_now_ms(), self._started_ms + 1)
        self._adapters = {}
        self._loading = {}
        self._streams = defaultdict(list)
        self._sequence = 0
        self._fence = 0
        self._reports = []
        for connection in list(self._sockets):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _get_counters(self) -> Any:
        counters = {
            "instance": self._instance,
            "born": self._started_ms,
            "adapters": sorted(self._adapters),
            "violations": dict(self.violations),
            "runs": dict(self.runs),
            "teams": self.teams,
            "arrivals": list(self._arrivals),
            "turned_away": list(self._turned_away),
            "cold_left_s": self._cold_left_s,
            "warm_at": self._cold_until,
            "leaving_acknowledged": self._leaving_acknowledged,
            "endless": dict(self._endless_sent),
        }
        return json_response(msgspec.json.encode(counters))


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
