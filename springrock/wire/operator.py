"""The operators' wire format: requests with statements, answers with tables."""

from __future__ import annotations

import msgspec

STATEMENTS_PATH = "/v1/statements"


class StatementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A statement.

    Attributes:
        command_id: Identical in all retries of a statement, so that it is executed only once.
        wait_s: How long to wait after a change until it is in force on every box.
    """

    statement: str
    command_id: str
    wait_s: float = 0.0


class StatementAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer: a sentence, a table or both.

    Attributes:
        revision: The configuration revision that the statement created, or 0.
    """

    text: str = ""
    columns: list[str] = []
    rows: list[list[str]] = []
    revision: int = 0


class StatementFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Why a statement was refused: the type of the error, and a message."""

    error: str
    message: str
