"""Emulator of the users' metadata store: rows, transactions, a change feed, outages."""

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

_MAX_WAIT_S = 30.0
_FIRST_ERA = 1
_STORE_TABLES = frozenset({names.OPERATOR_TABLE, names.REPLICA_TABLE})
"""Tables that boxes may not write to; only the control endpoint may."""


class RowStoreFault(Struct, frozen=True, kw_only=True):
    """Injected faults of the store; each posted set replaces the whole previous one.

    Attributes:
        busy: Every request is refused with 503, including those that wait for changes.
        slow_s: Delay before each request is processed.
        lose_answers: Number of writes that are committed but not answered.
        forget_history: The next read of the change feed gets 410, as if its history were gone.
        later_versions: Answers to writes carry a version above that of the written rows, as if
            another transaction had been committed before the answer.
    """

    busy: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    forget_history: bool = False
    later_versions: bool = False


class RestoreCommand(Struct, frozen=True, kw_only=True):
    """A command to restore the store from a copy, which drops later writes and versions.

    Attributes:
        copy_s: The age of the copy.
    """

    copy_s: float


class StoredRow(Struct):
    """A row as stored, or in the history the removal of a row."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    gone: bool = False


class _ExpectedVersion(Struct):
    table: str
    key: str
    part: str = ""
    ver: int = 0


class _Transaction(Struct):
    expected: list[_ExpectedVersion] = field(default_factory=list)
    put: list[StoredRow] = field(default_factory=list)
    remove: list[_ExpectedVersion] = field(default_factory=list)


class RowStoreStandin:
    """The emulated store, served over HTTP."""

    def __init__(self, settings: RowStoreStandinSettings) -> None:
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        self._version = 0
        self._era = _FIRST_ERA
        self._sends_era = settings.tells_era
        self._version_times: list[tuple[float, int]] = [(monotonic(), 0)]
        self._changed = Event()
        self._fault = RowStoreFault()
        self.server = HttpServer(self._build_app(), settings.address)

    def start(self) -> None:
        """Start the HTTP server."""
        self.server.start()

    def stop(self) -> None:
        """Stop at once, without waiting for open requests."""
        self.server.stop(finish_within_s=0)

    def _build_app(self) -> Any:
        app = new_app()
        app.get(names.ROWS_GET_PATH)(self._get_rows)
        app.get(names.ROWS_FEED_PATH)(self._get_feed)
        app.post(names.ROWS_TX_PATH)(lambda: self._post_transaction(operator=False))
        app.post("/standin/transaction")(lambda: self._post_transaction(operator=True))
        app.post("/standin/faults")(self._post_fault)
        app.post("/standin/return")(self._post_restore)
        return app

    # Reading.

    def _get_rows(self) -> Any:
        gevent.sleep(self._fault.slow_s)
        if self._fault.busy:
            return self._refusal(503)
        query = bottle.request.query
        matching = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query.table and part == query.part and key >= query.get("from", "")
        ]
        return self._answer(matching)

    def _get_feed(self) -> Any:
        gevent.sleep(self._fault.slow_s)
        if self._fault.busy:
            return self._refusal(503)
        if self._fault.forget_history:
            self._fault = msgspec.structs.replace(self._fault, forget_history=False)
            return self._refusal(410)
        query = bottle.request.query
        after = int(query.after)
        deadline = monotonic() + min(_MAX_WAIT_S, int(query.waitMs) / 1000)
        while not self._fault.busy:
            if after > self._version:
                return self._refusal(410)
            changed = self._changed
            changes = self._changes(query.table, after)
            left_s = deadline - monotonic()
            if changes or left_s <= 0:
                return self._answer(changes)
            changed.wait(timeout=left_s)
        return self._refusal(503)

    def _changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the changes of a table after a version, without scanning the older history."""
        first = bisect_right(self._history, after, key=lambda row: row.ver)
        return [row for row in self._history[first:] if row.table == table]

    def _answer(self, rows: list[StoredRow]) -> Any:
        page = {"rows": rows, "more": False, "ver": self._version}
        body = msgspec.json.encode({**page, "now_ms": round(monotonic() * 1000)})
        return self._response(body)

    def _refusal(self, status: int) -> Any:
        return self._response(b"{}", status=status)

    def _response(self, body: bytes, *, status: int = 200) -> Any:
        headers = {names.ERA_HEADER: str(self._era)} if self._sends_era else {}
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
        existing = [self._existing_row(item) for item in transaction.expected]
        if any(
            row.ver != item.ver for row, item in zip(existing, transaction.expected, strict=True)
        ):
            body = msgspec.json.encode({"rows": existing, "ver": self._version})
            return self._response(body, status=412)
        self._apply(transaction)
        if self._fault.lose_answers and not operator:
            losses_left = self._fault.lose_answers - 1
            self._fault = msgspec.structs.replace(self._fault, lose_answers=losses_left)
            raise CallerGone("injected fault: the answer is lost")
        if self._fault.later_versions:
            self._increment_version()
        return self._answer([])

    def _existing_row(self, item: _ExpectedVersion) -> StoredRow:
        absent = StoredRow(table=item.table, part=item.part, key=item.key)
        return self._rows.get((item.table, item.part, item.key), absent)

    def _increment_version(self) -> None:
        self._version += 1
        self._version_times.append((monotonic(), self._version))

    def _apply(self, transaction: _Transaction) -> None:
        self._increment_version()
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
        # Each change sets its own event. With one shared event, readers would find it still set
        # when they wait again, and search the history twice for each change.
        changed, self._changed = self._changed, Event()
        changed.set()

    def _post_fault(self) -> Any:
        self._fault = msgspec.json.decode(bottle.request.body.read(), type=RowStoreFault)
        self._wake_readers()
        return b""

    def _post_restore(self) -> Any:
        command = msgspec.json.decode(bottle.request.body.read(), type=RestoreCommand)
        self._restore(monotonic() - command.copy_s)
        self._wake_readers()
        return b""

    def _restore(self, copied_at: float) -> None:
        """Reset the store to its state at the given time, and start the next era."""
        kept_count = bisect_right(self._version_times, copied_at, key=lambda written: written[0])
        self._version_times = self._version_times[: max(1, kept_count)]
        self._version = self._version_times[-1][1]
        kept_count = bisect_right(self._history, self._version, key=lambda row: row.ver)
        self._history = self._history[:kept_count]
        self._rows = {}
        for row in self._history:
            row_id = (row.table, row.part, row.key)
            if row.gone:
                self._rows.pop(row_id, None)
            else:
                self._rows[row_id] = row
        self._era += 1
