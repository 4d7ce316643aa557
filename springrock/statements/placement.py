"""Statements that place adapters, drain replicas and stop boxes."""

from __future__ import annotations

import gevent

from springrock.coordination.catalog import Catalog, Change, Mark, Pin
from springrock.errors import PeerUnreachable, StatementError
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester, Statement, statements
from springrock.statements._change import IF_REVISION, IF_REVISION_HELP, commit, delete, put
from springrock.wire import peer as wire
from springrock.wire.operator import StatementAnswer

_STOP_TIMEOUT_S = 3.0


def _check_replica(host: StatementHost, replica: str) -> None:
    replicas = [item.name for pool in host.settings.pools for item in pool.replicas]
    if replica not in replicas:
        raise StatementError(f"there is no replica {replica}")


def _place(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    pin = Pin(arguments.get("replica"), arguments.get("loaded"))
    _check_replica(host, pin.replica)
    name, _, version = pin.adapter.partition("@")

    def _build(catalog: Catalog, change: Change) -> Change:
        pool = next(
            pool
            for pool in host.settings.pools
            if pin.replica in [item.name for item in pool.replicas]
        )
        adapter = catalog.adapter(f"{pool.base_model}:{name}")
        if adapter is None or int(version) not in adapter.versions:
            raise StatementError(f"there is no adapter {pin.adapter} for {pin.replica}")
        if len(catalog.pins(pin.replica)) >= pool.adapter_slots - 1:
            raise StatementError(f"{pin.replica} must keep a slot that nothing is placed in")
        return put(change, pin)

    return commit(host, arguments, requester, pin.key, _build)


def _unplace(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    pin = Pin(arguments.get("replica"), arguments.get("loaded"))

    def _build(catalog: Catalog, change: Change) -> Change:
        return delete(change, catalog, pin.key, f"placement of {pin.adapter} on {pin.replica}")

    return commit(host, arguments, requester, pin.key, _build)


def _drain(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    mark = Mark.drain(arguments.get("replica"))
    _check_replica(host, arguments.get("replica"))
    return commit(host, arguments, requester, mark.key, lambda _, change: put(change, mark))


def _undrain(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    mark = Mark.drain(arguments.get("replica"))

    def _build(catalog: Catalog, change: Change) -> Change:
        return delete(change, catalog, mark.key, f"drain of {arguments.get('replica')}")

    return commit(host, arguments, requester, mark.key, _build)


def _stop(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    name = arguments.get("box")
    if name == host.name:
        gevent.spawn(host.stop)
        return StatementAnswer(text=f"{name} stops as planned")
    try:
        link = host.peers.link_to(name)
        link.ask(wire.StopBox(0, requester.name), wire.Status, timeout_s=_STOP_TIMEOUT_S)
    except PeerUnreachable as error:
        raise StatementError(f"{name} was not told to stop: {error}") from None
    return StatementAnswer(text=f"{name} stops as planned")


statements.register("place")(
    Statement(
        f'"place"i LOADED "on"i REPLICA {IF_REVISION}',
        f"place NAME@VERSION on REPLICA {IF_REVISION_HELP}",
        _place,
    ),
)
statements.register("unplace")(
    Statement(
        f'"unplace"i LOADED "from"i REPLICA {IF_REVISION}',
        f"unplace NAME@VERSION from REPLICA {IF_REVISION_HELP}",
        _unplace,
    ),
)
statements.register("drain")(
    Statement(f'"drain"i REPLICA {IF_REVISION}', f"drain REPLICA {IF_REVISION_HELP}", _drain),
)
statements.register("undrain")(
    Statement(f'"undrain"i REPLICA {IF_REVISION}', f"undrain REPLICA {IF_REVISION_HELP}", _undrain),
)
statements.register("stop")(Statement('"stop"i "box"i BOX', "stop box BOX", _stop))
