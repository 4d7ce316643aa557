"""HTTP client of the platform's metadata store: reads, change feeds and conditional writes."""

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
from springrock.strict_http import strict_pool_manager
from springrock.strict_json import MalformedJson, decode_json

T = TypeVar("T")

_CONNECT_TIMEOUT_S = 0.7
_ANSWER_TIMEOUT_S = 0.8
_CONNECTIONS = 4
_PAGE_ROWS = 500
_MAX_ANSWER_BYTES = 33_554_432
"""Far above a page, whose rows have 1 MB; the changes that a feed returns have no stated bound."""

_OK = 200
_CONFLICT = 412
_GONE = 410
_MAX_ERA_DIGITS = 5
_MAX_LOGGED_ERA_CHARS = 40


class _Row(Struct, omit_defaults=True):
    """A row in the store's format; msgspec encodes bytes as base64, as the store does."""

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


class _RowVersion(Struct):
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
    expected: list[_RowVersion]
    put: list[_Put]
    remove: list[_RowVersion] = field(default_factory=list)


class _Page(NamedTuple):
    """One answer with rows, and the era of the store that sent it."""

    era: int
    body: _Rows

    @property
    def version(self) -> int:
        """The store's newest version."""
        return _valid_version(self.era, self.body.ver)

    def rows_in_era(self) -> list[Row]:
        """Return the rows, with versions of the answer's era."""
        return [self._row(row) for row in self.body.rows]

    def changes_in_era(self) -> list[Change]:
        """Return the rows as changes, with versions of the answer's era."""
        return [self._removed_row(row) if row.gone else self._row(row) for row in self.body.rows]

    def _removed_row(self, row: _Row) -> Removed:
        return Removed(row.key, _valid_version(self.era, row.ver) if row.ver else 0)

    def _row(self, row: _Row) -> Row:
        return Row(row.key, row.value, _valid_version(self.era, row.ver))


class PlatformStore:
    """Implements `springrock.rows.RowStore`.

    Versions are those of `springrock.eras`. After an answer of one era, answers of earlier eras are
    rejected.

    Args:
        address: ``HOST:PORT`` of the store.
        on_era: Called with the era in each answer; None if the answer names none.
    """

    def __init__(
        self, address: str, *, on_era: Callable[[int | None], None] = lambda reported: None
    ) -> None:
        self._on_era = on_era
        self._era = UNKNOWN_ERA
        self._url = f"http://{address}"
        self._pool = strict_pool_manager(max_answer_bytes=_MAX_ANSWER_BYTES, maxsize=_CONNECTIONS)

    def read_all(self, table: str) -> Snapshot:
        """Read all rows of a table.

        The snapshot has the version of the first page; rows of later pages may be newer.
        """
        query = f"table={table}&part=&limit={_PAGE_ROWS}"
        first = page = self._get_rows(names.ROWS_GET_PATH, query)
        rows = page.rows_in_era()
        while page.body.more and page.body.rows:
            # The smallest key after the last one read.
            page = self._get_rows(names.ROWS_GET_PATH, f"{query}&from={page.body.rows[-1].key}%00")
            if page.era != first.era:
                raise HistoryGone("the store was restored from a copy between two pages")
            rows += page.rows_in_era()
        return Snapshot(rows, first.version, _seconds(first.body.now_ms))

    def changes(self, table: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes of a table after a version."""
        query = f"table={table}&after={number_of(after)}&waitMs={round(wait_s * 1000)}"
        page = self._get_rows(names.ROWS_FEED_PATH, query, wait_s=wait_s)
        if page.era > era_of(after):
            raise HistoryGone("the store was restored from a copy")
        if page.era < era_of(after):
            raise RowStoreUnavailable(
                f"the feed after {format_version(after)} ends at {format_version(page.version)}"
            )
        return Changes(page.changes_in_era(), page.version, _seconds(page.body.now_ms))

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        """Write a row if it has the expected version; return the store's newest version then."""
        row = _RowVersion(table, "", key, number_of(expected))
        transaction = _Transaction(expected=[row], put=[_Put(table, "", key, value)])
        return self._transact(row, transaction, era=era_of(expected))

    def remove(self, table: str, key: str, *, expected: int) -> None:
        """Remove a row if it has the expected version."""
        row = _RowVersion(table, "", key, number_of(expected))
        transaction = _Transaction(expected=[row], put=[], remove=[row])
        self._transact(row, transaction, era=era_of(expected))

    def _transact(self, expected: _RowVersion, transaction: _Transaction, *, era: int) -> int:
        """Execute a transaction on one row; return the store's newest version after it.

        If the condition names a version of an earlier era, nothing is written: later eras assign
        the same numbers again, so that the condition might hold by accident.
        """
        if UNKNOWN_ERA < era < self._era:
            raise self._read_conflict(expected)
        response = self._request("POST", names.ROWS_TX_PATH, body=msgspec.json.encode(transaction))
        if response.status == _CONFLICT:
            raise _conflict_from(self._decode_page(response), expected.key)
        page = self._decode_page(_require_ok(response))
        if era not in (UNKNOWN_ERA, page.era):
            raise WrittenInAnotherEra(page.version)
        return page.version

    def _read_conflict(self, expected: _RowVersion) -> RowConflict:
        """Read a row and return the conflict with it."""
        query = f"table={expected.table}&part=&from={expected.key}&limit=1"
        return _conflict_from(self._get_rows(names.ROWS_GET_PATH, query), expected.key)

    def _get_rows(self, path: str, query: str, *, wait_s: float = 0.0) -> _Page:
        response = self._request("GET", f"{path}?{query}", wait_s=wait_s)
        if response.status == _GONE:
            raise HistoryGone("the store no longer has the requested history")
        return self._decode_page(_require_ok(response))

    def _decode_page(self, response: urllib3.BaseHTTPResponse) -> _Page:
        return _Page(era_from_reported(_reported_era(response)), _decode(response, _Rows))

    def _request(
        self, method: str, path: str, *, body: bytes | None = None, wait_s: float = 0.0
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_ANSWER_TIMEOUT_S + wait_s)
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            response = self._pool.request(
                method,
                f"{self._url}{path}",
                body=body,
                headers=headers,
                timeout=timeout,
                decode_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise RowStoreUnavailable(f"{path.partition('?')[0]}: {error}") from None
        self._record_era(_reported_era(response))
        return response

    def _record_era(self, reported: int | None) -> None:
        era = era_from_reported(reported)
        if era < self._era:
            raise RowStoreUnavailable(f"a delayed answer of the store's earlier era {reported}")
        self._era = era
        self._on_era(reported)


def _seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


def _reported_era(response: urllib3.BaseHTTPResponse) -> int | None:
    """Return the era that an answer names; None if it names none."""
    reported = response.headers.get(names.ERA_HEADER)
    if reported is None:
        return None
    if not (reported.isascii() and reported.isdecimal() and len(reported) <= _MAX_ERA_DIGITS):
        raise RowStoreUnavailable(
            f"malformed era of the store: {reported[:_MAX_LOGGED_ERA_CHARS]!r}"
        )
    return int(reported)


def _require_ok(response: urllib3.BaseHTTPResponse) -> urllib3.BaseHTTPResponse:
    if response.status != _OK:
        raise RowStoreUnavailable(f"the store answered with status {response.status}")
    return response


def _decode(response: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
    try:
        return decode_json(response.data, kind)
    except MalformedJson as error:
        raise RowStoreUnavailable(f"malformed answer of the store: {error}") from None


def _conflict_from(page: _Page, key: str) -> RowConflict:
    row = next(
        (row for row in page.rows_in_era() if number_of(row.version) and row.key == key), None
    )
    return RowConflict(row, version=page.version)


def _valid_version(era: int, number: int) -> int:
    try:
        return version_in(era, number)
    except VersionOutOfRange as error:
        raise RowStoreUnavailable(str(error)) from None
