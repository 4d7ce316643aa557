"""Statements that set and retire workloads: their priority, limit, share and weights."""

from __future__ import annotations

from springrock.coordination.catalog import Catalog, Change, Workload
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester, Statement, statements
from springrock.statements._change import IF_REVISION, IF_REVISION_HELP, commit, delete, put
from springrock.wire.operator import StatementAnswer


def _key(arguments: Arguments) -> str:
    return f"workload/{arguments.get('workload')}"


def _set(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        name = arguments.get("workload")
        previous = catalog.workload(name) or Workload(name)
        workload = Workload(
            name=name,
            priority=int(arguments.number("priority", previous.priority)),
            share=arguments.number("share", previous.share),
            requests_per_s=arguments.number("limit", previous.requests_per_s),
            stall_weight=min(1.0, arguments.number("weight", previous.stall_weight)),
        )
        return put(change, workload)

    return commit(host, arguments, requester, _key(arguments), _build)


def _retire(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        return delete(change, catalog, _key(arguments), f"workload {arguments.get('workload')}")

    return commit(host, arguments, requester, _key(arguments), _build)


statements.register("set_workload")(
    Statement(
        '"set"i "workload"i WORKLOAD ("priority"i PRIORITY)? ("limit"i LIMIT)? '
        f'("share"i SHARE)? ("stall"i "weight"i WEIGHT)? {IF_REVISION}',
        "set workload W [priority N] [limit REQUESTS_PER_S] [share X] [stall weight 0..1] "
        f"{IF_REVISION_HELP}",
        _set,
    ),
)
statements.register("retire_workload")(
    Statement(
        f'"retire"i "workload"i WORKLOAD {IF_REVISION}',
        f"retire workload W {IF_REVISION_HELP}",
        _retire,
    ),
)
