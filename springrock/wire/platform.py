"""The platform's wire format: table transactions and reads, objects, the list of boxes.

Reads of rows and of the list are HTTP conditional requests: an answer carries an ``ETag``, and a
request with ``If-None-Match`` is answered with 304 and no body if nothing has changed.
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
    """An atomic transaction: nothing is written unless all checks hold."""

    checks: list[Check] = []
    puts: list[Put] = []
    deletes: list[str] = []


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A row of the table."""

    key: str
    version: int
    value: bytes


class TransactionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a transaction.

    Attributes:
        committed: Whether the writes were applied.
        version: The version of the written rows.
        failed: The rows whose checks failed.
    """

    committed: bool
    version: int = 0
    failed: list[Row] = []


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """The rows under a prefix."""

    rows: list[Row]


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """A box or an upstream in the platform's list."""

    name: str
    kind: Literal["box", "upstream"]
    state: Literal["live", "leaving"] = "live"


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of boxes and upstreams, which lags behind their actual state."""

    entries: list[Listed]
