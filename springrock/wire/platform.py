"""The platform's wire format: table transactions and reads, objects, the list of boxes.

Reads of rows and of the list are conditional in the usual way of HTTP: an answer carries an
``ETag``, and one asked for with ``If-None-Match`` is 304 without a body while nothing changed.
"""

from __future__ import annotations

from typing import Literal

import msgspec

TRANSACT_PATH = "/table/transact"
ROWS_PATH = "/table/rows"
OBJECTS_PATH = "/objects/"
LIST_PATH = "/list"

ABSENT = 0
"""The version of a row that does not exist."""


class Check(msgspec.Struct, frozen=True, array_like=True):
    """A condition of a transaction: the row has this version."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, array_like=True):
    """A row to write."""

    key: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """A transaction: all checks hold and all writes happen, or nothing does."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A row of the table."""

    key: str
    version: int
    value: bytes


class TransactionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a transaction was committed, and the version that its writes got."""

    committed: bool
    version: int = 0
    failed: list[Row] = []


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """The rows under a prefix."""

    rows: list[Row]


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """A box or an upstream in the platform's lagging list."""

    name: str
    kind: Literal["box", "upstream"]
    state: Literal["live", "leaving"] = "live"


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's lagging list."""

    entries: list[Listed]
