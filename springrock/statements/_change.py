"""Shared by statements that change the configuration: conditional commits and waiting for boxes."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import msgspec

from springrock.clock import Deadline
from springrock.coordination.catalog import Catalog, Change, Entity
from springrock.errors import StatementError
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester
from springrock.statements.show import box_statuses
from springrock.wire.operator import StatementAnswer

IF_REVISION = '("if"i "revision"i SEEN)?'
IF_REVISION_HELP = "[if revision N]"
_CHECK_INTERVAL_S = 0.1


def empty_change(arguments: Arguments, requester: Requester) -> Change:
    """Return a change without any writes or deletes."""
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
        host: The box that received the statement.
        arguments: The statement; with ``if revision N`` the change is committed only if the entity
            was last changed in revision N; 0 requires that it does not exist.
        requester: The sender of the statement.
        key: The entity's key.
        build: Adds the writes to an empty change, given the newest catalog; may raise
            StatementError.
    """
    expects = {key: int(arguments.get("seen"))} if "seen" in arguments.values else {}
    revision = host.feed.commit(
        lambda catalog: _build_unless_committed(
            catalog, empty_change(arguments, requester), build, host
        ),
        expects=expects,
    )
    text = f"done in revision {revision}"
    if requester.wait_s:
        text += _wait(host, revision, requester.wait_s)
    return StatementAnswer(text=text, revision=revision)


def _build_unless_committed(
    catalog: Catalog,
    change: Change,
    build: Callable[[Catalog, Change], Change],
    host: StatementHost,
) -> Change:
    # In a retry of a committed command `build` would fail on what the command itself has changed.
    if host.feed.find_command(change.command_id) is not None:
        return change
    return build(catalog, change)


def _wait(host: StatementHost, revision: int, wait_s: float) -> str:
    deadline = Deadline(wait_s)
    while True:
        outdated = [
            _box_name(item) for item in box_statuses(host) if not _has_revision(item, revision)
        ]
        if not outdated:
            return ", in force on every box"
        if deadline.passed:
            return f", not yet in force on: {', '.join(outdated)}"
        gevent.sleep(_CHECK_INTERVAL_S)


def _has_revision(status: object, revision: int) -> bool:
    return getattr(status, "revision", 0) >= revision


def _box_name(status: object) -> str:
    return str(getattr(status, "box", status))


def put(change: Change, entity: Entity) -> Change:
    """Return the change with the write of an entity added."""
    field_name = {
        "Adapter": "adapters",
        "Workload": "workloads",
        "Mark": "marks",
        "Pin": "pins",
    }[type(entity).__name__]
    return msgspec.structs.replace(change, **{field_name: [*getattr(change, field_name), entity]})


def delete(change: Change, catalog: Catalog, key: str, description: str) -> Change:
    """Return the change with the deletion of an existing entity added.

    Raises:
        StatementError: If the entity does not exist.
    """
    if not catalog.revision_of(key):
        raise StatementError(f"there is no {description}")
    return msgspec.structs.replace(change, deletes=[*change.deletes, key])
