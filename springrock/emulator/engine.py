"""Emulator of a model engine.

It runs continuous batching in steps, holds a limited number of adapters, loads them from the
weight store, executes fenced orders, and resumes and cancels streams. It counts violations of the
protocol by the boxes, such as a second run of a request that is not repeatable.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import bottle
import gevent
import msgspec
import urllib3
from gevent.event import Event

from springrock.bottle_app import json_response, new_app
from springrock.clock import monotonic
from springrock.emulator.generation import Generation, RunRecord, token_at
from springrock.emulator.prefix_cache import PrefixCache
from springrock.emulator.settings import EngineStandinSettings
from springrock.httpd import HttpServer
from springrock.ids import new_id
from springrock.wire import engine as wire

_RUN_LOG_LIMIT = 200_000


class EngineFault(msgspec.Struct, frozen=True, kw_only=True):
    """Injected faults of an engine; each posted set replaces the whole previous one.

    Attributes:
        fail_loads: Number of adapter loads that fail partway; -1 fails all.
        cut_streams_at: Streams are cut after this many chunks; 0 disables this.
        wrong_model: Chunks name an adapter other than the requested one.
        garbage: Streams carry malformed chunks.
        repeat_chunk: The chunk at this position is sent twice; 0 disables this.
        refuse: Requests are refused before they run.
        frozen: The engine executes no steps.
    """

    fail_loads: int = 0
    cut_streams_at: int = 0
    wrong_model: bool = False
    garbage: bool = False
    repeat_chunk: int = 0
    refuse: bool = False
    frozen: bool = False


class EngineStandin:
    """An emulated engine, served over HTTP."""

    def __init__(self, settings: EngineStandinSettings) -> None:
        self.settings = settings
        self.fault = EngineFault()
        self.violations: Counter[str] = Counter()
        self.run_log: list[RunRecord] = []
        self.steps = 0
        self.tokens = 0
        self.loads = 0
        self.wasted_loads = 0
        self.server = HttpServer(self._build_app(), settings.address)
        self._pool = urllib3.PoolManager(retries=False)
        self._step_task: gevent.Greenlet[..., Any] | None = None
        self.restart()

    def start(self) -> None:
        """Start the HTTP server and the step loop."""
        self.server.start()
        self._step_task = gevent.spawn(self._step_loop)

    def stop(self) -> None:
        """Stop at once, without waiting for open requests."""
        self.server.stop(finish_within_s=0)
        if self._step_task is not None:
            self._step_task.kill()

    def restart(self) -> None:
        """Reset to an empty state under a new boot id, without adapters, streams or prefixes."""
        self.boot_id = new_id()
        self.fence = 0
        self.adapter_uses: dict[str, int] = {}
        self.loading: set[str] = set()
        self.generations: dict[str, Generation] = {}
        self.queue: list[Generation] = []
        self.prefixes = PrefixCache(
            limit=self.settings.cached_prefixes,
            lag_s=self.settings.cache_event_lag_s,
            lose_every=self.settings.lose_every_cache_event,
        )
        self._work = Event()
        self._reports: list[tuple[float, wire.EngineState]] = []

    @property
    def batch_fill(self) -> float:
        """The mean share of batch slots in a step that produced a token."""
        batch_slots = self.steps * self.settings.batch_limit
        return self.tokens / batch_slots if batch_slots else 0.0

    def counters(self) -> dict[str, Any]:
        """Return all counters, as served at `/standin/counters`."""
        return {
            "violations": dict(self.violations),
            "steps": self.steps,
            "tokens": self.tokens,
            "batch_fill": self.batch_fill,
            "loads": self.loads,
            "wasted_loads": self.wasted_loads,
            "runs": len(self.run_log),
            "open_streams": len(self.queue),
            "ready": sorted(self.adapter_uses),
        }

    def _build_app(self) -> Any:
        app = new_app()
        app.post(wire.COMPLETIONS_PATH)(self._completions)
        app.post(wire.CHAT_PATH)(self._completions)
        app.post(wire.ORDERS_PATH)(self._orders)
        app.get(wire.ADAPTERS_PATH)(self._adapters)
        app.get(wire.STATE_PATH)(self._state)
        app.post(wire.CANCEL_PATH)(self._cancel)
        app.get(wire.CACHE_EVENTS_PATH)(self._cache_events)
        app.post("/standin/faults")(self._post_fault)
        app.post("/standin/restart")(self._post_restart)
        app.get("/standin/counters")(self._get_counters)
        app.get("/standin/runs")(self._get_runs)
        return app

    # Steps.

    def _step_loop(self) -> None:
        while True:
            if not self.queue or self.fault.frozen:
                self._work.clear()
                self._work.wait(timeout=0.05)
                continue
            batch = self.queue[: self.settings.batch_limit]
            gevent.sleep(self._step_duration_s(batch))
            self._finish_step(batch)

    def _step_duration_s(self, batch: list[Generation]) -> float:
        settings = self.settings
        adapters = len({generation.request.model for generation in batch})
        step_ms = settings.step_ms + settings.step_ms_per_request * len(batch)
        return (step_ms + settings.step_ms_per_adapter * adapters) / 1000

    def _finish_step(self, batch: list[Generation]) -> None:
        self.steps += 1
        for generation in batch:
            if generation.cancelled:
                continue
            generation.step()
            self.tokens += 1
        self.queue = [item for item in self.queue if not (item.finished or item.cancelled)]

    # Requests.

    def _completions(self) -> Any:
        request = msgspec.json.decode(bottle.request.body.read(), type=wire.EngineRequest)
        if self.fault.refuse:
            return json_response(b'{"reason":"busy"}', status=503, headers={"Retry-After": "1"})
        if request.resume_from != wire.NOT_RESUMED:
            return self._resume(request)
        if not self._is_loaded(request.model):
            return json_response(b'{"reason":"adapter not loaded"}', status=404)
        generation = self._start_generation(request)
        bottle.response.content_type = "text/event-stream"
        return self._stream(generation, 0)

    def _is_loaded(self, model: str) -> bool:
        base, colon, adapter = model.partition(":")
        return base == self.settings.base_model and (not colon or adapter in self.adapter_uses)

    def _start_generation(self, request: wire.EngineRequest) -> Generation:
        self._drop_expired_generations()
        self._log_run(request)
        adapter = request.model.partition(":")[2]
        if adapter:
            self.adapter_uses[adapter] += 1
        generation = Generation(request)
        self.prefixes.record_use(request.model, generation.prompt)
        self.generations[request.request_id] = generation
        self.queue.append(generation)
        self._work.set()
        return generation

    def _log_run(self, request: wire.EngineRequest) -> None:
        already_ran = (
            any(record.request_id == request.request_id for record in self.run_log)
            if not request.repeatable
            else False
        )
        if already_ran:
            self.violations["second_run"] += 1
        if len(self.run_log) < _RUN_LOG_LIMIT:
            record = RunRecord(request.request_id, request.model, request.repeatable)
            self.run_log.append(record)

    def _resume(self, request: wire.EngineRequest) -> Any:
        generation = self.generations.get(request.request_id)
        if generation is None or generation.request.model != request.model:
            return json_response(b'{"reason":"nothing to resume"}', status=410)
        bottle.response.content_type = "text/event-stream"
        return self._stream(generation, request.resume_from)

    def _drop_expired_generations(self) -> None:
        horizon = monotonic() - self.settings.retain_s
        expired = [
            request_id
            for request_id, generation in self.generations.items()
            if generation.ended_at is not None and generation.ended_at < horizon
        ]
        for request_id in expired:
            del self.generations[request_id]

    def _stream(self, generation: Generation, position: int) -> Iterator[bytes]:
        sent = 0
        while position < generation.request.max_tokens:
            while position >= generation.produced:
                if generation.cancelled:
                    return
                generation.progress.clear()
                generation.progress.wait()
            yield self._encode_chunk(generation, position)
            sent += 1
            if self.fault.repeat_chunk and position == self.fault.repeat_chunk:
                yield self._encode_chunk(generation, position)
            if self.fault.cut_streams_at and sent >= self.fault.cut_streams_at:
                return
            position += 1
        yield wire.encode_event(wire.DONE)

    def _encode_chunk(self, generation: Generation, position: int) -> bytes:
        if self.fault.garbage:
            return wire.encode_event(b"{not a chunk")
        request = generation.request
        model = f"{request.model}x" if self.fault.wrong_model else request.model
        text = token_at(request.model, generation.prompt, position)
        last = position + 1 == request.max_tokens
        finish_reason = "length" if last else None
        if request.messages is not None:
            choice = wire.Choice(delta=wire.Delta(text), finish_reason=finish_reason)
        else:
            choice = wire.Choice(text=text, finish_reason=finish_reason)
        chunk = wire.Chunk(request.request_id, model, position, [choice])
        return wire.encode_event(msgspec.json.encode(chunk))

    def _cancel(self) -> Any:
        request_id = msgspec.json.decode(bottle.request.body.read())["request_id"]
        generation = self.generations.get(request_id)
        if generation is not None and not generation.finished:
            generation.cancelled = True
            generation.ended_at = monotonic()
            generation.progress.set()
        return json_response(b"{}")

    # Orders.

    def _orders(self) -> Any:
        order = msgspec.json.decode(bottle.request.body.read(), type=wire.Order)
        if order.fence < self.fence:
            if self.settings.checks_fence:
                return self._order_answer(409, done=False, reason="stale fence")
            self.violations["stale_order_taken"] += 1
        self.fence = max(self.fence, order.fence)
        if order.kind == "load_adapter":
            return self._load(order.adapter)
        if order.kind == "unload_adapter":
            return self._unload(order.adapter)
        return self._order_answer(200, done=True)

    def _load(self, adapter: str) -> Any:
        if adapter in self.adapter_uses:
            return self._order_answer(200, done=True)
        if adapter in self.loading:
            return self._order_answer(409, done=False, reason="loading already")
        if len(self.adapter_uses) + len(self.loading) >= self.settings.adapter_slots:
            return self._order_answer(409, done=False, reason="no free slot")
        boot_id = self.boot_id
        self.loading.add(adapter)
        loaded = self._fetch_weights(adapter)
        if self.boot_id != boot_id:
            return self._order_answer(503, done=False, reason="restarted")
        self.loading.discard(adapter)
        if not loaded:
            return self._order_answer(502, done=False, reason="load failed partway")
        self.adapter_uses[adapter] = 0
        self.loads += 1
        return self._order_answer(200, done=True)

    def _fetch_weights(self, adapter: str) -> bool:
        url = f"http://{self.settings.weights_address}/weights/{adapter}"
        try:
            response = self._pool.request("GET", url, timeout=30.0)
        except urllib3.exceptions.HTTPError:
            return False
        if self.fault.fail_loads:
            failures_left = self.fault.fail_loads - 1 if self.fault.fail_loads > 0 else -1
            self.fault = msgspec.structs.replace(self.fault, fail_loads=failures_left)
            return False
        return response.status == 200

    def _unload(self, adapter: str) -> Any:
        users = [item for item in self.queue if item.request.model.endswith(f":{adapter}")]
        if users:
            self.violations["unload_in_use"] += 1
        for generation in users:
            generation.cancelled = True
            generation.progress.set()
        uses = self.adapter_uses.pop(adapter, None)
        if uses == 0:
            self.wasted_loads += 1
        return self._order_answer(200, done=True)

    def _order_answer(self, status: int, *, done: bool, reason: str = "") -> Any:
        answer = wire.OrderAnswer(done=done, reason=reason, fence=self.fence)
        return json_response(msgspec.json.encode(answer), status=status)

    # Reports.

    def _adapters(self) -> Any:
        answer = wire.LoadedAdapters(
            boot_id=self.boot_id,
            fence=self.fence,
            adapters=sorted(self.adapter_uses),
            loading=sorted(self.loading),
        )
        return json_response(msgspec.json.encode(answer))

    def _state(self) -> Any:
        now = monotonic()
        current = wire.EngineState(
            boot_id=self.boot_id,
            running=min(len(self.queue), self.settings.batch_limit),
            queued=max(0, len(self.queue) - self.settings.batch_limit),
            batch_fill=self.batch_fill,
            step_ms=self._step_duration_s(self.queue[: self.settings.batch_limit]) * 1000,
            cached_prefixes=len(self.prefixes),
        )
        self._reports.append((now, current))
        visible_until = now - self.settings.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= visible_until:
            self._reports.pop(0)
        return json_response(msgspec.json.encode(self._reports[0][1]))

    def _cache_events(self) -> Any:
        after = int(bottle.request.query.after or 0)
        return json_response(msgspec.json.encode(self.prefixes.events(after)))

    # Faults.

    def _post_fault(self) -> Any:
        self.fault = msgspec.json.decode(bottle.request.body.read(), type=EngineFault)
        self._work.set()
        return b""

    def _post_restart(self) -> Any:
        for generation in self.queue:
            generation.cancelled = True
            generation.progress.set()
        self.restart()
        return b""

    def _get_counters(self) -> Any:
        return json_response(msgspec.json.encode(self.counters()))

    def _get_runs(self) -> Any:
        return json_response(msgspec.json.encode(self.run_log))
