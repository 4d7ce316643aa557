"""Replicas: plain services, and model engines with adapters, as the users' pages describe them."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from standins import http1
from standins.store import Store

HEARTBEAT_S = 1.2
REPORT_LAG_S = 0.2
LOAD_S = 0.25
WARM_LOAD_S = 0.025
BASE_MODEL = "base"

Note = Callable[[str], None]


class Replica:
    """A replica of a service; it writes its own row and answers requests.

    Attributes:
        runs: How often each request id ran here.
        surplus_share: Upper bound on the share of its answers to requests that the replica sends a
            second time, late: in the place where the next answer on the connection is expected.
        surplus_of: The statuses of the answers that it does this with.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        *,
        note: Note,
        work_s: float = 0.02,
        slots: int = 96,
    ) -> None:
        self.store, self.name, self.service, self.zone, self.note = store, name, service, zone, note
        self.id = f"i-{secrets.token_hex(5)}"
        self.address = ""
        self.state = "ready"
        self.runs: Counter[str] = Counter()
        self.sequence = 0
        self.work_s, self.slots = work_s, slots
        self.surplus_share = 0.0
        self.surplus_of: frozenset[int] = frozenset()
        self.surplus_sent = 0
        self.answers_sent = 0
        self.beat = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self._connections: set[http1.Connection] = set()

    async def start(self) -> None:
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await http1.serve(self._handle, port=port)
        self.address = http1.address_of(self._server)
        self._tasks.append(asyncio.create_task(self._beat_loop()))

    def crash(self) -> None:
        """End at once: nothing listens any more, open connections are reset, the row stays."""
        for task in self._tasks:
            task.cancel()
        assert self._server is not None
        self._server.close()
        for connection in self._connections:
            connection.reset()
        self._connections.clear()

    def row(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }

    async def _beat_loop(self) -> None:
        while True:
            self.store.put("servers", self.id, self.row())
            beat, self.beat = self.beat, asyncio.Event()
            beat.set()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: http1.Request, connection: http1.Connection) -> None:
        self._connections.add(connection)
        if request.path == "/v1/report":
            await connection.write(self._report())
        elif request.path == "/v1/order":
            await connection.write(self._order(request))
        elif request.path == "/health":
            await connection.write(http1.answer(200, b"", {"Springrock-Instance-Id": self.id}))
        else:
            await self._request(request, connection)

    def _report(self) -> bytes:
        return http1.answer(404)

    def _order(self, request: http1.Request) -> bytes:
        return http1.answer(400)

    def refusal(self, request: http1.Request) -> tuple[int, str] | None:
        """Return the status with which a request is rejected, if it is."""
        if request.headers.get("springrock-expect-instance", self.id) != self.id:
            return 421, "another instance"
        return None

    async def _request(self, request: http1.Request, connection: http1.Connection) -> None:
        request_id = request.headers.get("springrock-request-id", "")
        headers = {"Springrock-Request-Id": request_id}
        refused = self.refusal(request)
        if refused is not None:
            status, why = refused
            self.note(f"{self.name} answers {status} to {request_id}: {why}")
            await self._send(connection, status, b"", headers)
            return
        self.runs[request_id] += 1
        self.note(f"{self.name} runs {request_id} {request.target} (run {self.runs[request_id]})")
        headers["Springrock-Response-Seal"] = f"seal.{self.name}.{request_id}"
        await self.run(request, connection, headers)

    async def _send(
        self, connection: http1.Connection, status: int, body: bytes, headers: dict[str, str]
    ) -> None:
        data = http1.answer(status, body, headers)
        await connection.write(data)
        self.answers_sent += 1
        allowed = self.surplus_share * self.answers_sent
        if status in self.surplus_of and self.surplus_sent + 1 <= allowed:
            connection.late += data
            self.surplus_sent += 1
            request_id = headers["Springrock-Request-Id"]
            self.note(f"{self.name} will send its {status} to {request_id} a second time, late")

    async def run(
        self, request: http1.Request, connection: http1.Connection, headers: dict[str, str]
    ) -> None:
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {request.target} {len(request.body)}".encode()
        await self._send(connection, 200, body, headers)


class Engine(Replica):
    """A model engine: orders, reports, adapters in places, streams of events."""

    def __init__(self, *args: Any, adapter_slots: int = 2, events: int = 8, **kw: Any) -> None:
        super().__init__(*args, **kw)
        self.adapter_slots, self.events = adapter_slots, events
        self.adapters: dict[str, int] = {}
        self.coming: dict[str, int] = {}
        self.known: set[str] = set()
        self.fence = 0
        self.orders: list[tuple[float, str, int, str]] = []
        self.running: Counter[str] = Counter()
        self.newest: dict[str, int] = defaultdict(lambda: 1)
        self.overfilled = False
        self._states: list[tuple[float, dict[str, Any]]] = []

    def row(self) -> dict[str, Any]:
        return {**super().row(), "stage": "both", "models": self._models()}

    def _models(self) -> list[dict[str, Any]]:
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": BASE_MODEL, "version": 1, "adapters": adapters}]

    def _report(self) -> bytes:
        now = time.monotonic()
        state = {
            "stage": "both",
            "models": self._models(),
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": sum(self.running.values()),
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
            "coming": [f"{BASE_MODEL}/{name}@{v}" for name, v in self.coming.items()],
        }
        self._states.append((now, state))
        while len(self._states) > 1 and self._states[1][0] < now - REPORT_LAG_S:
            del self._states[0]
        body = json.dumps(self._states[0][1]).encode()
        return http1.answer(200, body, {"Content-Type": "application/json"})

    def _order(self, request: http1.Request) -> bytes:
        order = json.loads(request.body)
        status = self._take(request, order)
        self.orders.append((time.monotonic(), order["holder"], order["fencingToken"], status))
        self.note(
            f"{self.name} takes order {order['operation']} {order.get('adapter', '')}"
            f" of {order['holder']} with fence {order['fencingToken']}: {status}"
        )
        return http1.answer(int(status), b"{}", {"Content-Type": "application/json"})

    def _take(self, request: http1.Request, order: dict[str, Any]) -> str:
        if request.headers.get("springrock-expect-instance", self.id) != self.id:
            return "421"
        if order["fencingToken"] < self.fence:
            return "412"
        self.fence = order["fencingToken"]
        if order.get("expected", self.sequence) != self.sequence:
            return "409"
        adapter = order["adapter"]
        if order["operation"] == "load":
            return self._load(adapter, order.get("version") or self.newest[adapter])
        return self._unload(adapter)

    def _load(self, adapter: str, version: int) -> str:
        if self.adapters.get(adapter, 0) >= version:
            return "200"
        if self.coming.get(adapter, 0) >= version:
            return "202"
        self.sequence += 1
        if len(self.adapters.keys() | self.coming.keys() | {adapter}) > self.adapter_slots:
            self.overfilled = True
        self.coming[adapter] = version
        asyncio.get_running_loop().call_later(
            WARM_LOAD_S if adapter in self.known else LOAD_S, self._loaded, adapter, version
        )
        return "202"

    def _loaded(self, adapter: str, version: int) -> None:
        if self.coming.get(adapter) == version:
            del self.coming[adapter]
            self.adapters[adapter] = version
            self.known.add(adapter)

    def _unload(self, adapter: str) -> str:
        self.sequence += 1
        if self.running[adapter]:
            asyncio.get_running_loop().create_task(self._unload_later(adapter))
            return "202"
        self.adapters.pop(adapter, None)
        return "200"

    async def _unload_later(self, adapter: str) -> None:
        while self.running[adapter]:
            await asyncio.sleep(0.005)
        self.adapters.pop(adapter, None)

    def refusal(self, request: http1.Request) -> tuple[int, str] | None:
        refused = super().refusal(request)
        if refused is not None:
            return refused
        adapter = request.headers.get("springrock-model", "").partition("/")[2]
        held = self.adapters.get(adapter)
        if adapter and held is None:
            return 421, f"{adapter} is not there"
        expected = request.headers.get("springrock-expect-version")
        if adapter and expected not in (None, str(held)):
            return 421, f"{adapter} is there in version {held}, not {expected}"
        return None

    async def run(
        self, request: http1.Request, connection: http1.Connection, headers: dict[str, str]
    ) -> None:
        adapter = request.headers.get("springrock-model", "").partition("/")[2]
        first = int(request.headers.get("last-event-id") or 0) + 1
        request_id = headers["Springrock-Request-Id"]
        self.running[adapter] += 1
        try:
            await asyncio.sleep(self.work_s)
            headers["Content-Type"] = "text/event-stream"
            headers["Transfer-Encoding"] = "chunked"
            await connection.write(http1.head(200, headers))
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                await connection.write(http1.chunk(event))
                await asyncio.sleep(0.02)
            await connection.write(b"0\r\n\r\n")
            self.answers_sent += 1
        finally:
            self.running[adapter] -= 1
