"""The platform's metadata store over HTTP: rows read, followed and written under a condition."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from msgspec import Struct, field

from springrock.eras import (
    UNKNOWN_ERA,
    VersionOutOfRange,
    era_from_reported,
    era_of,
    format_version,
    number_of,
    version_in,
)
from springrock.platform import names
from springrock.rows import (
    Change,
    Changes,
    HistoryGone,
    Removed,
    Row,
    RowConflict,
    RowStoreUnavailable,
    Snapshot,
    WrittenInAnotherEra,
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


class _Page(NamedTuple):
    """One answer about rows, and the era that it was given in."""

    era: int
    page: _Rows

    @property
    def version(self) -> int:
        """The newest version."""
        return _version_in(self.era, self.page.ver)

    def rows_in_era(self) -> list[Row]:
        """Return the rows."""
        return [self._row(row) for row in self.page.rows]

    def changes_in_era(self) -> list[Change]:
        """Return the rows as what changed."""
        return [self._removed(row) if row.gone else self._row(row) for row in self.page.rows]

    def _removed(self, row: _Row) -> Removed:
        return Removed(row.key, _version_in(self.era, row.ver) if row.ver else 0)

    def _row(self, row: _Row) -> Row:
        return Row(row.key, row.value, _version_in(self.era, row.ver))


class PlatformStore:
    """Implements `springrock.rows.RowStore`.

    Versions are those of `springrock.eras`; no answer of an earlier era is taken after one of a
    later era.

    Args:
        address: ``HOST:PORT`` of the store.
        on_era: Called with the era as each answer names it; None if it does not.
    """

    def __init__(
        self, address: str, *, on_era: Callable[[int | None], None] = lambda reported: None
    ) -> None:
        self._on_era = on_era
        self._era = UNKNOWN_ERA
        self._url = f"http://{address}"
        self._pool = urllib3.PoolManager(retries=False, maxsize=_CONNECTIONS)

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table; pages after the first may be newer."""
        query = f"table={table}&part=&limit={_PAGE}"
        first = page = self._rows(names.ROWS_GET_PATH, query)
        rows = page.rows_in_era()
        while page.page.more and page.page.rows:
            # Keys are read from the one just above the last.
            page = self._rows(names.ROWS_GET_PATH, f"{query}&from={page.page.rows[-1].key}%00")
            if page.era != first.era:
                raise HistoryGone("the store came back from a copy between two pages")
            rows += page.rows_in_era()
        return Snapshot(rows, first.version, _seconds(first.page.now_ms))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version."""
        query = f"table={table}&after={number_of(after)}&waitMs={round(wait_s * 1000)}"
        page = self._rows(names.ROWS_FEED_PATH, query, wait_s=wait_s)
        if page.era > era_of(after):
            raise HistoryGone("the store came back from a copy")
        if page.era < era_of(after):
            raise RowStoreUnavailable(
                f"changes after {format_version(after)} up to {format_version(page.version)}"
            )
        return Changes(page.changes_in_era(), page.version, _seconds(page.page.now_ms))

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return the store's newest one after it."""
        row = _Expected(table, "", key, number_of(expected))
        transaction = _Transaction(expected=[row], put=[_Put(table, "", key, value)])
        return self._transact(row, transaction, era=era_of(expected))

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version."""
        row = _Expected(table, "", key, number_of(expected))
        transaction = _Transaction(expected=[row], put=[], remove=[row])
        self._transact(row, transaction, era=era_of(expected))

    def _transact(self, expected: _Expected, transaction: _Transaction, *, era: int) -> int:
        """Have a transaction on one row done; return the store's newest version after it.

        Numbers are given out again in a later era, so that there the condition says nothing.
        """
        if UNKNOWN_ERA < era < self._era:
            raise self._conflict(expected)
        response = self._call("POST", names.ROWS_TX_PATH, body=msgspec.json.encode(transaction))
        if response.status == _CONFLICT:
            raise _conflict_from(self._page(response), expected.key)
        page = self._page(_checked(response))
        if era not in (UNKNOWN_ERA, page.era):
            raise WrittenInAnotherEra(page.version)
        return page.version

    def _conflict(self, expected: _Expected) -> RowConflict:
        """Return the conflict with a row as it now stands, without a write."""
        query = f"table={expected.table}&part=&from={expected.key}&limit=1"
        return _conflict_from(self._rows(names.ROWS_GET_PATH, query), expected.key)

    def _rows(self, path: str, query: str, *, wait_s: float = 0.0) -> _Page:
        response = self._call("GET", f"{path}?{query}", wait_s=wait_s)
        if response.status == _GONE:
            raise HistoryGone("the history asked for is gone")
        return self._page(_checked(response))

    def _page(self, response: urllib3.BaseHTTPResponse) -> _Page:
        return _Page(era_from_reported(_reported_era(response)), _decoded(response, _Rows))

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
        self._record_era(_reported_era(response))
        return response

    def _record_era(self, reported: int | None) -> None:
        era = era_from_reported(reported)
        if era < self._era:
            raise RowStoreUnavailable(f"a late answer of the store's era {reported}")
        self._era = era
        self._on_era(reported)


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _reported_era(response: urllib3.BaseHTTPResponse) -> int | None:
    """Return the era that an answer names; None if it names none."""
    reported = response.headers.get(names.ERA_HEADER)
    if reported is None:
        return None
    if not (reported.isascii() and reported.isdecimal() and len(reported) <= _ERA_DIGITS):
        raise RowStoreUnavailable(f"the store's era cannot be read: {reported[:_ERA_SHOWN]!r}")
    return int(reported)


def _checked(response: urllib3.BaseHTTPResponse) -> urllib3.BaseHTTPResponse:
    if response.status != _OK:
        raise RowStoreUnavailable(f"the store answered {response.status}")
    return response


def _decoded(response: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.DecodeError as error:
        raise RowStoreUnavailable(f"the store's answer cannot be read: {error}") from None


def _conflict_from(page: _Page, key: str) -> RowConflict:
    row = next(
        (row for row in page.rows_in_era() if number_of(row.version) and row.key == key), None
    )
    return RowConflict(row, version=page.version)


def _version_in(era: int, number: int) -> int:
    try:
        return version_in(era, number)
    except VersionOutOfRange as error:
        raise RowStoreUnavailable(str(error)) from None
