"""The platform's metadata store over HTTP: rows read, followed and written under a condition."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
import urllib3
from msgspec import Struct, field

from springrock.platform import names
from springrock.rows import (
    Changes,
    HistoryGone,
    Removed,
    Row,
    RowConflict,
    RowStoreUnavailable,
    Snapshot,
)

T = TypeVar("T")

_CONNECT_S = 0.7
_ANSWER_S = 0.8
_CONNECTIONS = 4
_PAGE = 500
_OK = 200
_CONFLICT = 412
_GONE = 410
_ERA_DIGITS = 5
_ERA_SHOWN = 40


class _Row(Struct, omit_defaults=True):
    """A row as the store tells it; msgspec reads and writes bytes as base64, as the store does."""

    table: str
    key: str
    part: str = ""
    value: bytes = b""
    ver: int = 0
    gone: bool = False


class _Rows(Struct):
    ver: int
    now_ms: float | None = None
    rows: list[_Row] = field(default_factory=list)
    more: bool = False


class _Expected(Struct):
    table: str
    part: str
    key: str
    ver: int


class _Put(Struct):
    table: str
    part: str
    key: str
    value: bytes


class _Transaction(Struct):
    expected: list[_Expected]
    put: list[_Put]
    remove: list[_Expected] = field(default_factory=list)


class PlatformStore:
    """Implements `springrock.rows.RowStore`.

    Args:
        address: ``HOST:PORT`` of the store.
        on_era: Called with the era that each answer names.
    """

    def __init__(self, address: str, *, on_era: Callable[[int], None] = lambda era: None) -> None:
        self._on_era = on_era
        self._url = f"http://{address}"
        self._pool = urllib3.PoolManager(retries=False, maxsize=_CONNECTIONS)

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table; pages after the first may be newer."""
        rows: list[_Row] = []
        query = f"table={table}&part=&limit={_PAGE}"
        page = self._rows(names.ROWS_GET_PATH, query)
        first = page
        rows += page.rows
        while page.more and page.rows:
            # Keys are read from the one just above the last.
            page = self._rows(names.ROWS_GET_PATH, f"{query}&from={page.rows[-1].key}%00")
            rows += page.rows
        return Snapshot([_row_from(row) for row in rows], first.ver, _seconds(first.now_ms))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version."""
        query = f"table={table}&after={after}&waitMs={round(wait_s * 1000)}"
        page = self._rows(names.ROWS_FEED_PATH, query, wait_s=wait_s)
        changes = [Removed(row.key, row.ver) if row.gone else _row_from(row) for row in page.rows]
        return Changes(changes, page.ver, _seconds(page.now_ms))

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return the store's newest one after it."""
        row = _Expected(table, "", key, expected)
        return self._transact(key, _Transaction(expected=[row], put=[_Put(table, "", key, value)]))

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version."""
        row = _Expected(table, "", key, expected)
        self._transact(key, _Transaction(expected=[row], put=[], remove=[row]))

    def _transact(self, key: str, transaction: _Transaction) -> int:
        """Have a transaction on one row done; return the store's newest version after it."""
        response = self._call("POST", names.ROWS_TX_PATH, body=msgspec.json.encode(transaction))
        if response.status == _CONFLICT:
            standing = _decoded(response, _Rows).rows
            row = next((_row_from(row) for row in standing if row.ver and row.key == key), None)
            raise RowConflict(row)
        return _decoded(_checked(response), _Rows).ver

    def _rows(self, path: str, query: str, *, wait_s: float = 0.0) -> _Rows:
        response = self._call("GET", f"{path}?{query}", wait_s=wait_s)
        if response.status == _GONE:
            raise HistoryGone("the history asked for is gone")
        return _decoded(_checked(response), _Rows)

    def _call(
        self, method: str, path: str, *, body: bytes | None = None, wait_s: float = 0.0
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=_CONNECT_S, read=_ANSWER_S + wait_s)
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            response = self._pool.request(
                method, f"{self._url}{path}", body=body, headers=headers, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise RowStoreUnavailable(f"{path.partition('?')[0]}: {error}") from None
        self._on_era(_era_of(response))
        return response


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _era_of(response: urllib3.BaseHTTPResponse) -> int:
    """Return the era that an answer names; 0 if it names none."""
    told = response.headers.get(names.ERA_HEADER, "0")
    if not (told.isascii() and told.isdecimal() and len(told) <= _ERA_DIGITS):
        raise RowStoreUnavailable(f"the store's era cannot be read: {told[:_ERA_SHOWN]!r}")
    return int(told)


def _checked(response: urllib3.BaseHTTPResponse) -> urllib3.BaseHTTPResponse:
    if response.status != _OK:
        raise RowStoreUnavailable(f"the store answered {response.status}")
    return response


def _decoded(response: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.DecodeError as error:
        raise RowStoreUnavailable(f"the store's answer cannot be read: {error}") from None


def _row_from(row: _Row) -> Row:
    return Row(row.key, row.value, row.ver)
