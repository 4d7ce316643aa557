"""Statements that list boxes, replicas, adapters, workloads and changes."""

from __future__ import annotations

import fnmatch
import time
from collections.abc import Callable

import gevent

from springrock.coordination.catalog import Adapter
from springrock.errors import PeerUnreachable
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester, Statement, statements
from springrock.wire import peer as wire
from springrock.wire.operator import StatementAnswer

_STATUS_TIMEOUT_S = 2.0
_DEFAULT_ROWS = 50


def box_statuses(host: StatementHost) -> list[wire.Status | str]:
    """Return the status of every box, or its name if it did not answer."""
    names = sorted({member.box for member in host.members.all()} | {host.name})
    tasks = [gevent.spawn(_status_of, host, name) for name in names]
    gevent.joinall(tasks)
    return [task.value for task in tasks if task.value is not None]


def _status_of(host: StatementHost, name: str) -> wire.Status | str:
    if name == host.name:
        return host.status()
    try:
        link = host.peers.link_to(name)
        return link.ask(wire.StatusQuery(0), wire.Status, timeout_s=_STATUS_TIMEOUT_S)
    except PeerUnreachable:
        return name


def _boxes(host: StatementHost, _: Arguments, __: Requester) -> StatementAnswer:
    rows = []
    for status in box_statuses(host):
        if isinstance(status, str):
            rows.append([status, "", "unreachable", "", "", "", ""])
            continue
        state = "ready" if status.ready else "not ready"
        lease = "held" if status.lease_held else "not held"
        owned = " ".join(status.owned)
        counts = [str(status.revision), str(status.open_requests)]
        rows.append([status.box, status.zone, state, *counts, lease, owned])
    columns = ["box", "zone", "state", "revision", "open requests", "lease", "owns"]
    return StatementAnswer(columns=columns, rows=rows)


def _replicas(host: StatementHost, _: Arguments, __: Requester) -> StatementAnswer:
    rows = []
    for pool in host.settings.pools:
        for upstream in pool.replicas:
            report = host.view.report(upstream.name)
            state = "out of service" if host.out_of_service(upstream.name) else "in service"
            row = [upstream.name, pool.name, upstream.availability_zone, state]
            if report is None:
                rows.append([*row, "", "", "", "", ""])
                continue
            if not report.accepting and state == "in service":
                row[3] = "not accepting"
            counts = [str(report.fence), str(report.running), str(report.waiting)]
            rows.append([*row, report.owner, *counts, " ".join(report.ready)])
    columns = ["replica", "pool", "zone", "state", "owner", "fence", "running", "waiting", "loaded"]
    return StatementAnswer(columns=columns, rows=rows)


def _name_matcher(pattern: str) -> Callable[[Adapter], bool]:
    if not pattern:
        return lambda _: True
    return lambda adapter: fnmatch.fnmatchcase(adapter.name, pattern)


def _adapters(host: StatementHost, arguments: Arguments, _: Requester) -> StatementAnswer:
    matches = _name_matcher(arguments.get("pattern"))
    limit = int(arguments.number("count", _DEFAULT_ROWS))
    matching = sorted((item for item in host.catalog.adapters() if matches(item)), key=_name_of)
    rows = [
        [
            adapter.name,
            ",".join(map(str, adapter.versions)),
            str(adapter.current),
            ",".join(adapter.workloads) or "all",
            " ".join(_replicas_holding(host, adapter)),
        ]
        for adapter in matching[:limit]
    ]
    columns = ["adapter", "versions", "current", "workloads", "loaded on"]
    return StatementAnswer(
        text=f"{len(matching)} adapters, {len(rows)} shown", columns=columns, rows=rows
    )


def _name_of(adapter: Adapter) -> str:
    return adapter.name


def _replicas_holding(host: StatementHost, adapter: Adapter) -> list[str]:
    name = adapter.name.partition(":")[2]
    holders = []
    for pool in host.settings.pools:
        for upstream in pool.replicas:
            report = host.view.report(upstream.name)
            ready = report.ready if report else []
            holders += [f"{upstream.name}@{v}" for v in adapter.versions if f"{name}@{v}" in ready]
    return holders


def _workloads(host: StatementHost, _: Arguments, __: Requester) -> StatementAnswer:
    rows = [
        [
            workload.name,
            str(workload.priority),
            f"{workload.share:g}",
            f"{workload.requests_per_s:g}" if workload.requests_per_s else "none",
            f"{workload.stall_weight:g}",
        ]
        for workload in host.catalog.workloads()
    ]
    columns = ["workload", "priority", "share", "limit a second", "stall weight"]
    return StatementAnswer(columns=columns, rows=rows)


def _changes(host: StatementHost, arguments: Arguments, _: Requester) -> StatementAnswer:
    limit = int(arguments.number("count", _DEFAULT_ROWS))
    rows = [
        [
            str(change.revision),
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change.at)),
            change.who,
            change.statement,
        ]
        for change in list(host.feed.recent)[-limit:]
    ]
    return StatementAnswer(columns=["revision", "at (UTC)", "who", "statement"], rows=rows)


def _help(_: StatementHost, __: Arguments, ___: Requester) -> StatementAnswer:
    return StatementAnswer(rows=[[item.help] for _, item in statements], columns=["statements"])


statements.register("show_boxes")(
    Statement('"show"i "boxes"i', "show boxes", _boxes),
)
statements.register("show_replicas")(
    Statement('"show"i "replicas"i', "show replicas", _replicas),
)
statements.register("show_adapters")(
    Statement(
        '"show"i "adapters"i ("like"i PATTERN)? ("first"i COUNT)?',
        'show adapters [like "PATTERN"] [first N]',
        _adapters,
    ),
)
statements.register("show_workloads")(
    Statement('"show"i "workloads"i', "show workloads", _workloads),
)
statements.register("show_changes")(
    Statement('"show"i "changes"i ("last"i COUNT)?', "show changes [last N]", _changes),
)
statements.register("help")(Statement('"help"i', "help", _help))
