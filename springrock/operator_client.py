"""Client of the operators' HTTP interface: sends a statement to a box and prints the answer."""

from __future__ import annotations

import os
import sys

import msgspec
import urllib3

from springrock.errors import StatementError
from springrock.ids import new_id
from springrock.strict_http import strict_pool_manager
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire.operator import STATEMENTS_PATH, StatementAnswer, StatementRequest

_TIMEOUT_S = 30.0
_MAX_ANSWER_BYTES = 67_108_864
_MAX_ATTEMPTS = 3


def run_statement(box: str, statement: str, *, key: str, as_json: bool, wait_s: float) -> int:
    """Send a statement, print the answer, and return the exit code.

    The command id stays the same when the statement is resent after a lost answer, so that a
    change is applied only once.

    Args:
        box: The address of the box's operator interface, ``HOST:PORT``.
        statement: The statement.
        key: The operator's key; if empty, the environment variable ``SPRINGROCK_KEY`` is used.
        as_json: Whether to print JSON instead of a table.
        wait_s: How long the box waits for a change to be in force on every box.
    """
    request = StatementRequest(statement=statement, command_id=new_id(), wait_s=wait_s)
    try:
        answer = send_statement(box, request, key=key or os.environ.get("SPRINGROCK_KEY", ""))
    except StatementError as error:
        print(error, file=sys.stderr)
        return 1
    print(msgspec.json.encode(answer).decode() if as_json else as_table(answer))
    return 0


def send_statement(box: str, request: StatementRequest, *, key: str) -> StatementAnswer:
    """Send a statement to a box.

    Raises:
        StatementError: If the statement was refused or the box cannot be reached.
    """
    pool = strict_pool_manager(max_answer_bytes=_MAX_ANSWER_BYTES)
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    for attempts_left in reversed(range(_MAX_ATTEMPTS)):
        try:
            response = pool.request(
                "POST",
                f"http://{box}{STATEMENTS_PATH}",
                body=msgspec.json.encode(request),
                headers=headers,
                timeout=_TIMEOUT_S + request.wait_s,
                decode_content=False,
            )
            break
        except urllib3.exceptions.HTTPError as error:
            if not attempts_left:
                raise StatementError(f"{box} cannot be reached: {error}") from None
    if response.status != 200:
        raise StatementError(response.data.decode(errors="replace").strip())
    try:
        return decode_json(response.data, StatementAnswer)
    except MalformedJson as error:
        raise StatementError(f"{box} sent a malformed answer: {error}") from None


def as_table(answer: StatementAnswer) -> str:
    """Format an answer as text in aligned columns."""
    lines = [answer.text] if answer.text else []
    if answer.columns:
        lines += _align_columns([answer.columns, *answer.rows])
    return "\n".join(lines)


def _align_columns(rows: list[list[str]]) -> list[str]:
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return lines
