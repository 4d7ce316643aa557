"""The platform's metadata store: rows, transactions on rows, and a feed of changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any

from standins import http1

RowId = tuple[str, str, str]


class Store:
    """Linearizable rows in memory.

    Attributes:
        address: Where it listens.
        hold_writes: Called with each transaction of a box; returns seconds to wait, then whether to
            answer it. The transaction is judged and done when the wait is over.
    """

    def __init__(self) -> None:
        self.rows: dict[RowId, tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.address = ""
        self._changed = asyncio.Event()
        self._began = time.monotonic()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await http1.serve(self._handle)
        self.address = http1.address_of(self._server)

    def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a replica does; return its version."""
        self.version += 1
        self._set(table, key, json.dumps(value).encode())
        self._wake()
        return self.version

    def remove(self, table: str, key: str) -> None:
        if (table, "", key) in self.rows:
            self.version += 1
            self._unset(table, key)
            self._wake()

    def get(self, table: str, key: str) -> Any:
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(row[0])

    def _set(self, table: str, key: str, value: bytes) -> None:
        self.rows[table, "", key] = (value, self.version)
        self.history.append((self.version, table, key, value))

    def _unset(self, table: str, key: str) -> None:
        del self.rows[table, "", key]
        self.history.append((self.version, table, key, None))

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _page(self, rows: list[dict[str, Any]], status: int = 200) -> bytes:
        now_ms = round(1000 * (time.monotonic() - self._began))
        page = {"rows": rows, "more": False, "ver": self.version, "now_ms": now_ms}
        return http1.answer(status, json.dumps(page).encode(), {"Content-Type": "application/json"})

    async def _handle(self, request: http1.Request, connection: http1.Connection) -> None:
        await asyncio.sleep(0.004)
        if request.path == "/v1/rows-get":
            await connection.write(self._get(request.query))
        elif request.path == "/v1/rows-feed":
            await connection.write(await self._feed(request.query))
        elif request.path == "/v1/rows-tx":
            await connection.write(self._transact(json.loads(request.body)))
        else:
            await connection.write(http1.answer(404))

    def _get(self, query: dict[str, str]) -> bytes:
        found = [
            _row(table, key, value, version)
            for (table, _, key), (value, version) in sorted(self.rows.items())
            if table == query["table"] and key >= query.get("from", "")
        ]
        return self._page(found)

    async def _feed(self, query: dict[str, str]) -> bytes:
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        while True:
            changed = self._changed
            changes = [item for item in self.history if item[0] > after and item[1] == table]
            left_s = deadline - time.monotonic()
            if changes or left_s <= 0:
                return self._page(
                    [
                        _row(table, key, value or b"", version, gone=value is None)
                        for version, _, key, value in changes
                    ]
                )
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, transaction: dict[str, Any]) -> bytes:
        rows = [*transaction.get("put", []), *transaction.get("remove", [])]
        if any(row["table"] in ("op", "servers") for row in rows):
            return http1.answer(403)
        found = []
        holds = True
        for expected in transaction.get("expected", []):
            table, key = expected["table"], expected["key"]
            value, version = self.rows.get((table, "", key), (b"", 0))
            holds = holds and version == expected["ver"]
            found.append(_row(table, key, value, version))
        if not holds:
            return self._page(found, status=412)
        self.version += 1
        for row in transaction.get("put", []):
            self._set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in transaction.get("remove", []):
            if (row["table"], "", row["key"]) in self.rows:
                self._unset(row["table"], row["key"])
        self._wake()
        return self._page([])


def _row(table: str, key: str, value: bytes, version: int, *, gone: bool = False) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
    row["value"] = base64.b64encode(value).decode()
    if gone:
        row["gone"] = True
    return row
