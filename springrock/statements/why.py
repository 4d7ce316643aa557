"""Statements that show the logged decisions about a request, an adapter or a replica."""

from __future__ import annotations

import time

from springrock.hosts import StatementHost
from springrock.log import Line
from springrock.statements import Arguments, Requester, Statement, statements
from springrock.wire.operator import StatementAnswer

_OMITTED_FIELDS = frozenset({"request", "replica"})


def _answer(host: StatementHost, lines: list[Line], subject: str) -> StatementAnswer:
    if not lines:
        return StatementAnswer(text=f"box {host.name} remembers no decision about {subject}")
    rows = [
        [time.strftime("%H:%M:%S", time.gmtime(line.at)), line.text, _details(line)]
        for line in lines
    ]
    return StatementAnswer(columns=["at (UTC)", "decision", "details"], rows=rows)


def _details(line: Line) -> str:
    return " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key not in _OMITTED_FIELDS
    )


def _why_request(host: StatementHost, arguments: Arguments, _: Requester) -> StatementAnswer:
    request = arguments.get("request")
    return _answer(host, host.journal.lines_with("request", request), f"request {request}")


def _why_adapter(host: StatementHost, arguments: Arguments, _: Requester) -> StatementAnswer:
    adapter = arguments.get("loaded")
    holders = []
    for pool in host.settings.pools:
        for upstream in pool.replicas:
            report = host.view.report(upstream.name)
            if report is not None and adapter in report.ready:
                holders.append(f"{upstream.name} (owner {report.owner})")
    answer = _answer(host, host.journal.lines_with("adapter", adapter), f"adapter {adapter}")
    where = ", ".join(holders) or "nowhere"
    text = f"{adapter} is loaded on: {where}. {answer.text}".strip()
    return StatementAnswer(text=text, columns=answer.columns, rows=answer.rows)


def _why_replica(host: StatementHost, arguments: Arguments, _: Requester) -> StatementAnswer:
    replica = arguments.get("replica")
    return _answer(host, host.journal.lines_with("replica", replica), f"replica {replica}")


statements.register("why_request")(
    Statement('"why"i "request"i REQUEST', "why request ID", _why_request),
)
statements.register("why_adapter")(
    Statement('"why"i "adapter"i LOADED', "why adapter NAME@VERSION", _why_adapter),
)
statements.register("why_replica")(
    Statement('"why"i "replica"i REPLICA', "why replica NAME", _why_replica),
)
