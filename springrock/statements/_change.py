"""What the changing statements share: committing, expectations, waiting for force everywhere."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec

from springrock.clock import Deadline
from springrock.coordination.catalog import Catalog, Change, Entity
from springrock.errors import StatementError
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester
from springrock.statements.show import statuses
from springrock.wire.operator import StatementAnswer

IF_REVISION = '("if"i "revision"i SEEN)?'
IF_REVISION_HELP = "[if revision N]"
_CHECK_INTERVAL_S = 0.1


def blank(arguments: Arguments, requester: Requester) -> Change:
    """Return a change that changes nothing yet."""
    return Change(
        revision=0,
        command_id=requester.command_id,
        who=requester.name,
        at=0.0,
        statement=arguments.text,
    )


def commit(
    host: StatementHost,
    arguments: Arguments,
    requester: Requester,
    key: str,
    build: Callable[[Catalog, Change], Change],
) -> StatementAnswer:
    """Commit a change of one entity.

    Args:
        host: The box that was asked.
        arguments: The statement; with ``if revision N`` it holds only if the entity was last
            changed in revision N, 0 meaning that it does not exist.
        requester: Who asks.
        key: The entity's key.
        build: Completes the change from the newest catalog; may raise StatementError.
    """
    expects = {key: int(arguments.get("seen"))} if "seen" in arguments.values else {}
    revision = host.feed.commit(
        lambda catalog: _built(catalog, blank(arguments, requester), build, host), expects=expects
    )
    text = f"done in revision {revision}"
    if requester.wait_s:
        text += _wait(host, revision, requester.wait_s)
    return StatementAnswer(text=text, revision=revision)


def _built(
    catalog: Catalog,
    change: Change,
    build: Callable[[Catalog, Change], Change],
    host: StatementHost,
) -> Change:
    if host.feed.find_command(change.command_id) is not None:
        return change
    return build(catalog, change)


def _wait(host: StatementHost, revision: int, wait_s: float) -> str:
    deadline = Deadline(wait_s)
    while True:
        behind = [_name(item) for item in statuses(host) if not _runs(item, revision)]
        if not behind:
            return ", in force on every box"
        if deadline.passed:
            return f", not yet in force on: {', '.join(behind)}"
        gevent.sleep(_CHECK_INTERVAL_S)


def _runs(status: object, revision: int) -> bool:
    return getattr(status, "revision", 0) >= revision


def _name(status: object) -> str:
    return str(getattr(status, "box", status))


def put(change: Change, entity: Entity) -> Change:
    """Return the change with an entity written."""
    field = {
        "Adapter": "adapters",
        "Workload": "workloads",
        "Mark": "marks",
        "Pin": "pins",
    }[type(entity).__name__]
    return msgspec.structs.replace(change, **{field: [*getattr(change, field), entity]})


def delete(change: Change, catalog: Catalog, key: str, what: str) -> Change:
    """Return the change with an existing entity deleted.

    Raises:
        StatementError: If there is none.
    """
    if not catalog.revision_of(key):
        raise StatementError(f"there is no {what}")
    return msgspec.structs.replace(change, deletes=[*change.deletes, key])
