"""The operators' wire format: statements in, tables out."""

from __future__ import annotations

import msgspec

STATEMENTS_PATH = "/v1/statements"


class StatementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A statement.

    Attributes:
        command_id: Stays the same when the statement is sent again, so that it acts once.
        wait_s: After a change, wait this long for it to be in force on every box.
    """

    statement: str
    command_id: str
    wait_s: float = 0.0


class StatementAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer: a sentence, a table or both.

    Attributes:
        revision: The revision of the change that the statement made, or 0.
    """

    text: str = ""
    columns: list[str] = []
    rows: list[list[str]] = []
    revision: int = 0


class StatementFailure(msgspec.Struct, frozen=True, kw_only=True):
    """Why a statement was refused: the type of the error, and a sentence."""

    error: str
    message: str
