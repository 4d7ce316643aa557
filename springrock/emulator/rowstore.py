"""The stand-in for the users' metadata store: rows, transactions, a feed of changes, outages."""

from __future__ import annotations

from bisect import bisect_right
from typing import Any

import bottle
import gevent
import msgspec
from gevent.event import Event
from msgspec import Struct, field

from springrock.bottle_app import json_response, new_app
from springrock.clock import monotonic
from springrock.emulator.settings import RowStoreStandinSettings
from springrock.errors import CallerGone
from springrock.httpd import HttpServer
from springrock.platform import names

_LONGEST_WAIT_S = 30.0
_FIRST_ERA = 1
_STORE_TABLES = frozenset({names.OPERATOR_TABLE, names.REPLICA_TABLE})
"""Tables that the system itself may not write to."""


class RowStoreFault(Struct, frozen=True, kw_only=True):
    """Faults of the store.

    Attributes:
        busy: Every call gets 503 and does nothing, those that wait for changes too.
        slow_s: Every call waits this long before it is looked at.
        lose_answers: So many writes are done and not answered.
        forget_history: The next read of changes is told that they are gone.
        later_versions: Writes are answered with a version above that of their rows, as where
            another transaction follows before the answer.
    """

    busy: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    forget_history: bool = False
    later_versions: bool = False


class Return(Struct, frozen=True, kw_only=True):
    """The store comes back from a copy; what was written since is gone, its versions with it.

    Attributes:
        copy_s: How old the copy is.
    """

    copy_s: float


class StoredRow(Struct):
    """A row as it lies in the store."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    gone: bool = False


class _Expected(Struct):
    table: str
    key: str
    part: str = ""
    ver: int = 0


class _Transaction(Struct):
    expected: list[_Expected] = field(default_factory=list)
    put: list[StoredRow] = field(default_factory=list)
    remove: list[_Expected] = field(default_factory=list)


class RowStoreStandin:
    """The store as an HTTP server."""

    def __init__(self, settings: RowStoreStandinSettings) -> None:
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        self._version = 0
        self._era = _FIRST_ERA
        self._tells_era = settings.tells_era
        self._written_at: list[tuple[float, int]] = [(monotonic(), 0)]
        self._changed = Event()
        self._fault = RowStoreFault()
        self.server = HttpServer(self._build_app(), settings.address)

    def start(self) -> None:
        """Begin serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once."""
        self.server.stop(finish_within_s=0)

    def _build_app(self) -> Any:
        app = new_app()
        app.get(names.ROWS_GET_PATH)(self._get_rows)
        app.get(names.ROWS_FEED_PATH)(self._get_feed)
        app.post(names.ROWS_TX_PATH)(lambda: self._post_transaction(operator=False))
        app.post("/standin/transaction")(lambda: self._post_transaction(operator=True))
        app.post("/standin/faults")(self._post_fault)
        app.post("/standin/return")(self._post_return)
        return app

    # Reading.

    def _get_rows(self) -> Any:
        gevent.sleep(self._fault.slow_s)
        if self._fault.busy:
            return self._refusal(503)
        query = bottle.request.query
        chosen = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query.table and part == query.part and key >= query.get("from", "")
        ]
        return self._answer(chosen)

    def _get_feed(self) -> Any:
        gevent.sleep(self._fault.slow_s)
        if self._fault.busy:
            return self._refusal(503)
        if self._fault.forget_history:
            self._fault = msgspec.structs.replace(self._fault, forget_history=False)
            return self._refusal(410)
        query = bottle.request.query
        after = int(query.after)
        ends_at = monotonic() + min(_LONGEST_WAIT_S, int(query.waitMs) / 1000)
        while not self._fault.busy:
            if after > self._version:
                return self._refusal(410)
            changed = self._changed
            found = self._changes(query.table, after)
            left_s = ends_at - monotonic()
            if found or left_s <= 0:
                return self._answer(found)
            changed.wait(timeout=left_s)
        return self._refusal(503)

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        """Return what changed in a table since a version, without a look at all that is older."""
        first = bisect_right(self._history, after, key=lambda row: row.ver)
        return [row for row in self._history[first:] if row.table == table]

    def _answer(self, rows: list[StoredRow]) -> Any:
        page = {"rows": rows, "more": False, "ver": self._version}
        body = msgspec.json.encode({**page, "now_ms": round(monotonic() * 1000)})
        return self._response(body)

    def _refusal(self, status: int) -> Any:
        return self._response(b"{}", status=status)

    def _response(self, body: bytes, *, status: int = 200) -> Any:
        headers = {names.ERA_HEADER: str(self._era)} if self._tells_era else {}
        return json_response(body, status=status, headers=headers)

    # Writing.

    def _post_transaction(self, *, operator: bool) -> Any:
        if not operator:
            gevent.sleep(self._fault.slow_s)
        if self._fault.busy and not operator:
            return self._refusal(503)
        transaction = msgspec.json.decode(bottle.request.body.read(), type=_Transaction)
        if not operator and any(row.table in _STORE_TABLES for row in transaction.put):
            return self._refusal(403)
        existing = [self._standing(item) for item in transaction.expected]
        if any(
            row.ver != item.ver for row, item in zip(existing, transaction.expected, strict=True)
        ):
            body = msgspec.json.encode({"rows": existing, "ver": self._version})
            return self._response(body, status=412)
        self._apply(transaction)
        if self._fault.lose_answers and not operator:
            left = self._fault.lose_answers - 1
            self._fault = msgspec.structs.replace(self._fault, lose_answers=left)
            raise CallerGone("the answer is lost")
        if self._fault.later_versions:
            self._next_version()
        return self._answer([])

    def _standing(self, item: _Expected) -> StoredRow:
        absent = StoredRow(table=item.table, part=item.part, key=item.key)
        return self._rows.get((item.table, item.part, item.key), absent)

    def _next_version(self) -> None:
        self._version += 1
        self._written_at.append((monotonic(), self._version))

    def _apply(self, transaction: _Transaction) -> None:
        self._next_version()
        for row in transaction.put:
            stored = StoredRow(row.table, row.key, row.part, row.value, self._version)
            self._rows[(row.table, row.part, row.key)] = stored
            self._history.append(stored)
        for item in transaction.remove:
            if self._rows.pop((item.table, item.part, item.key), None) is not None:
                self._history.append(
                    StoredRow(item.table, item.key, item.part, "", self._version, gone=True)
                )
        self._wake_readers()

    def _wake_readers(self) -> None:
        # Each change has an event of its own: while one for all is set, each reader looks twice.
        changed, self._changed = self._changed, Event()
        changed.set()

    def _post_fault(self) -> Any:
        self._fault = msgspec.json.decode(bottle.request.body.read(), type=RowStoreFault)
        self._wake_readers()
        return b""

    def _post_return(self) -> Any:
        copy = msgspec.json.decode(bottle.request.body.read(), type=Return)
        self._restore(monotonic() - copy.copy_s)
        self._wake_readers()
        return b""

    def _restore(self, copied_at: float) -> None:
        """Become what the store was at a moment, in the next era."""
        kept = bisect_right(self._written_at, copied_at, key=lambda written: written[0])
        self._written_at = self._written_at[: max(1, kept)]
        self._version = self._written_at[-1][1]
        kept = bisect_right(self._history, self._version, key=lambda row: row.ver)
        self._history = self._history[:kept]
        self._rows = {}
        for row in self._history:
            place = (row.table, row.part, row.key)
            if row.gone:
                self._rows.pop(place, None)
            else:
                self._rows[place] = row
        self._era += 1
