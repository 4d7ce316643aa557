"""Emulator of the platform: transactional table, object store, list of boxes, weight store.

Faults are injected by ``POST /standin/faults``, separately for each of these parts.
"""

from __future__ import annotations

from typing import Any, Literal

import bottle
import gevent
import msgspec
from gevent.event import Event

from springrock.bottle_app import json_response, new_app
from springrock.clock import monotonic
from springrock.emulator.settings import PlatformStandinSettings
from springrock.httpd import HttpServer
from springrock.wire import platform as wire

PartName = Literal["table", "objects", "list", "weights"]
_DELIVERY_TICK_S = 0.01


class PartFault(msgspec.Struct, frozen=True, kw_only=True):
    """Injected faults of one part of the platform.

    Attributes:
        down: Every request is refused with 503.
        delay_s: Delay before each request is processed.
        lose_answers: Number of table requests or object writes that take effect but are answered
            with 504; -1 for all.
    """

    part: PartName
    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class Table:
    """Versioned rows; each commit increments the version of the whole table."""

    def __init__(self) -> None:
        self.rows: dict[str, wire.Row] = {}
        self.version = 0
        self.commits = 0
        self.conflicts = 0
        self.reads = 0

    def transact(self, transaction: wire.Transaction) -> wire.TransactionAnswer:
        """Apply a transaction atomically if all its version checks hold."""
        conflicting_rows = [
            self._row_or_absent(check.key)
            for check in transaction.checks
            if self._row_or_absent(check.key).version != check.version
        ]
        if conflicting_rows:
            self.conflicts += 1
            return wire.TransactionAnswer(committed=False, failed=conflicting_rows)
        self.commits += 1
        self.version += 1
        for put in transaction.puts:
            self.rows[put.key] = wire.Row(put.key, self.version, put.value)
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return wire.TransactionAnswer(committed=True, version=self.version)

    def read(self, prefix: str) -> wire.Rows:
        """Return the rows whose keys start with a prefix, sorted by key."""
        self.reads += 1
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return wire.Rows(rows=[self.rows[key] for key in keys])

    def _row_or_absent(self, key: str) -> wire.Row:
        return self.rows.get(key, wire.Row(key, wire.ABSENT, b""))


class WeightStore:
    """Divides its load rate among concurrent loads.

    Args:
        loads_per_s: The rate with a single load.
        crowding: The share of that rate which remains in total with several loads.
    """

    def __init__(self, *, loads_per_s: float, crowding: float) -> None:
        self.loads_per_s = loads_per_s
        self.crowding = crowding
        self.active = 0
        self.loads = 0

    def fetch(self) -> None:
        """Block until one adapter's weights have been delivered."""
        remaining = 1.0
        self.active += 1
        last = monotonic()
        try:
            while remaining > 0:
                gevent.sleep(_DELIVERY_TICK_S)
                now = monotonic()
                remaining -= (now - last) * self._rate_per_load()
                last = now
            self.loads += 1
        finally:
            self.active -= 1

    def _rate_per_load(self) -> float:
        if self.active <= 1:
            return self.loads_per_s
        return self.loads_per_s * self.crowding / self.active


class LaggingList:
    """The list of boxes and upstreams; readers see each change only after a lag."""

    def __init__(self, entries: list[wire.Listed], lag_s: float) -> None:
        self._lag_s = lag_s
        self._history = [(0.0, {entry.name: entry for entry in entries})]

    def put(self, entry: wire.Listed) -> None:
        """Add or replace an entry."""
        newest = self._history[-1][1]
        self._history.append((monotonic(), {**newest, entry.name: entry}))

    @property
    def visible_version(self) -> int:
        """Number of changes that are visible to readers."""
        visible_until = monotonic() - self._lag_s
        return sum(at <= visible_until for at, _ in self._history) - 1

    def read(self) -> wire.Listing:
        """Return the list as it was before the lag."""
        _, entries = self._history[self.visible_version]
        return wire.Listing(entries=list(entries.values()))


class PlatformStandin:
    """All parts of the emulated platform, served by one HTTP server."""

    def __init__(self, settings: PlatformStandinSettings) -> None:
        self.table = Table()
        self.objects: dict[str, bytes] = {}
        self.weights = WeightStore(loads_per_s=settings.loads_per_s, crowding=settings.crowding)
        self.list = LaggingList(settings.listed, settings.list_lag_s)
        self._faults: dict[str, PartFault] = {}
        self._answer_losses_left: dict[str, int] = {}
        self.not_modified = 0
        self.body_bytes = 0
        self.server = HttpServer(self._build_app(), settings.address)

    def start(self) -> None:
        """Start the HTTP server."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once, without waiting for open requests."""
        self.server.stop(finish_within_s=0)

    def set_fault(self, fault: PartFault) -> None:
        """Replace the faults of a part; a fault with only defaults clears them."""
        self._faults[fault.part] = fault
        self._answer_losses_left[fault.part] = fault.lose_answers

    def _build_app(self) -> Any:
        app = new_app()
        app.post(wire.TRANSACT_PATH)(self._transact)
        app.get(wire.ROWS_PATH)(self._rows)
        app.get(wire.OBJECTS_PATH + "<name:path>")(self._get_object)
        app.put(wire.OBJECTS_PATH + "<name:path>")(self._put_object)
        app.get(wire.LIST_PATH)(self._list)
        app.post(wire.LIST_PATH)(self._put_listed)
        app.get("/weights/<name:path>")(self._weights)
        app.post("/standin/faults")(self._post_fault)
        app.get("/standin/counters")(self._counters)
        return app

    def _inject_delay_or_refusal(self, part: PartName) -> None:
        fault = self._faults.get(part)
        if fault is None:
            return
        if fault.delay_s:
            gevent.sleep(fault.delay_s)
        if fault.down:
            raise bottle.HTTPResponse(b"down", status=503)

    def _inject_answer_loss(self, part: PartName) -> None:
        remaining = self._answer_losses_left.get(part, 0)
        if remaining == 0:
            return
        if remaining > 0:
            self._answer_losses_left[part] = remaining - 1
        raise bottle.HTTPResponse(b"answer lost", status=504)

    def _transact(self) -> Any:
        self._inject_delay_or_refusal("table")
        transaction = msgspec.json.decode(bottle.request.body.read(), type=wire.Transaction)
        answer = self.table.transact(transaction)
        self._inject_answer_loss("table")
        return msgspec.json.encode(answer)

    def _rows(self) -> Any:
        self._inject_delay_or_refusal("table")
        rows = self.table.read(bottle.request.query.prefix)
        self._inject_answer_loss("table")
        newest = max((row.version for row in rows.rows), default=0)
        return self._conditional_answer(f'"{newest}-{len(rows.rows)}"', rows)

    def _get_object(self, name: str) -> Any:
        self._inject_delay_or_refusal("objects")
        if name not in self.objects:
            raise bottle.HTTPResponse(b"absent", status=404)
        return self.objects[name]

    def _put_object(self, name: str) -> Any:
        self._inject_delay_or_refusal("objects")
        self.objects[name] = bottle.request.body.read()
        self._inject_answer_loss("objects")
        return b""

    def _list(self) -> Any:
        self._inject_delay_or_refusal("list")
        return self._conditional_answer(f'"{self.list.visible_version}"', self.list.read())

    def _conditional_answer(self, etag: str, answer: msgspec.Struct) -> Any:
        """Return the answer, or raise a 304 response if the reader's ETag is current."""
        if bottle.request.headers.get("If-None-Match") == etag:
            self.not_modified += 1
            raise bottle.HTTPResponse(status=304, headers={"ETag": etag})
        body = msgspec.json.encode(answer)
        self.body_bytes += len(body)
        return json_response(body, headers={"ETag": etag})

    def _put_listed(self) -> Any:
        self.list.put(msgspec.json.decode(bottle.request.body.read(), type=wire.Listed))
        return b""

    def _weights(self, name: str) -> Any:
        self._inject_delay_or_refusal("weights")
        self.weights.fetch()
        return name.encode()

    def _post_fault(self) -> Any:
        self.set_fault(msgspec.json.decode(bottle.request.body.read(), type=PartFault))
        return b""

    def _counters(self) -> Any:
        counters = {
            "commits": self.table.commits,
            "conflicts": self.table.conflicts,
            "reads": self.table.reads,
            "rows": len(self.table.rows),
            "loads": self.weights.loads,
            "not_modified": self.not_modified,
            "body_bytes": self.body_bytes,
        }
        return json_response(msgspec.json.encode(counters))


def serve_forever(standin: Any) -> None:
    """Start a stand-in, print its address and block until the process ends."""
    standin.start()
    print(standin.server.address, flush=True)
    Event().wait()
