"""Statements that set and retire workloads: their priority, limit, share and weights."""

from __future__ import annotations

from springrock.coordination.catalog import Catalog, Change, Workload
from springrock.hosts import StatementHost
from springrock.statements import Asker, Statement, Words, statements
from springrock.statements._change import IF_REVISION, IF_REVISION_HELP, commit, delete, put
from springrock.wire.operator import StatementAnswer


def _key(words: Words) -> str:
    return f"workload/{words.get('workload')}"


def _set(host: StatementHost, words: Words, asker: Asker) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        name = words.get("workload")
        before = catalog.workload(name) or Workload(name)
        workload = Workload(
            name=name,
            priority=int(words.number("priority", before.priority)),
            share=words.number("share", before.share),
            requests_per_s=words.number("limit", before.requests_per_s),
            stall_weight=min(1.0, words.number("weight", before.stall_weight)),
        )
        return put(change, workload)

    return commit(host, words, asker, _key(words), _build)


def _retire(host: StatementHost, words: Words, asker: Asker) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        return delete(change, catalog, _key(words), f"workload {words.get('workload')}")

    return commit(host, words, asker, _key(words), _build)


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
