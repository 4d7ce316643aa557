"""Statements that create, change and retire adapters and their versions."""

from __future__ import annotations

import msgspec

from springrock.coordination.catalog import Adapter, Catalog, Change
from springrock.errors import StatementError
from springrock.hosts import StatementHost
from springrock.statements import Arguments, Requester, Statement, statements
from springrock.statements._change import IF_REVISION, IF_REVISION_HELP, commit, delete, put
from springrock.wire.operator import StatementAnswer


def _key(arguments: Arguments) -> str:
    return f"adapter/{arguments.get('adapter')}"


def _existing_adapter(catalog: Catalog, arguments: Arguments) -> Adapter:
    adapter = catalog.adapter(arguments.get("adapter"))
    if adapter is None:
        raise StatementError(f"there is no adapter {arguments.get('adapter')}")
    return adapter


def _create(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        name = arguments.get("adapter")
        base = name.partition(":")[0]
        if catalog.adapter(name) is not None:
            raise StatementError(f"adapter {name} exists already")
        if host.view.pool_for_model(base) is None:
            raise StatementError(f"there is no base model {base}")
        versions = sorted(set(arguments.integers("version")))
        workloads = sorted(set(arguments.lists.get("workload", [])))
        return put(change, Adapter(name, versions, versions[-1], workloads))

    return commit(host, arguments, requester, _key(arguments), _build)


def _add_version(
    host: StatementHost, arguments: Arguments, requester: Requester
) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        adapter = _existing_adapter(catalog, arguments)
        versions = sorted({*adapter.versions, *arguments.integers("version")})
        return put(change, msgspec.structs.replace(adapter, versions=versions))

    return commit(host, arguments, requester, _key(arguments), _build)


def _use_version(
    host: StatementHost, arguments: Arguments, requester: Requester
) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        adapter = _existing_adapter(catalog, arguments)
        version = arguments.integers("version")[0]
        if version not in adapter.versions:
            raise StatementError(f"adapter {adapter.name} has no version {version}")
        return put(change, msgspec.structs.replace(adapter, current=version))

    return commit(host, arguments, requester, _key(arguments), _build)


def _retire_version(
    host: StatementHost, arguments: Arguments, requester: Requester
) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        adapter = _existing_adapter(catalog, arguments)
        version = arguments.integers("version")[0]
        if version == adapter.current:
            raise StatementError(f"version {version} is in use as the current one")
        if version not in adapter.versions:
            raise StatementError(f"adapter {adapter.name} has no version {version}")
        versions = [item for item in adapter.versions if item != version]
        return put(change, msgspec.structs.replace(adapter, versions=versions))

    return commit(host, arguments, requester, _key(arguments), _build)


def _allow(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        workloads = sorted(set(arguments.lists.get("workload", [])))
        return put(
            change,
            msgspec.structs.replace(_existing_adapter(catalog, arguments), workloads=workloads),
        )

    return commit(host, arguments, requester, _key(arguments), _build)


def _retire(host: StatementHost, arguments: Arguments, requester: Requester) -> StatementAnswer:
    def _build(catalog: Catalog, change: Change) -> Change:
        return delete(change, catalog, _key(arguments), f"adapter {arguments.get('adapter')}")

    return commit(host, arguments, requester, _key(arguments), _build)


_VERSIONS = 'VERSION ("," VERSION)*'
_WORKLOADS = 'WORKLOAD ("," WORKLOAD)*'

statements.register("create_adapter")(
    Statement(
        f'"create"i "adapter"i ADAPTER "version"i {_VERSIONS} '
        f'("for"i "workload"i {_WORKLOADS})? {IF_REVISION}',
        f"create adapter BASE:NAME version N[,N] [for workload W[,W]] {IF_REVISION_HELP}",
        _create,
    ),
)
statements.register("add_version")(
    Statement(
        f'"add"i "version"i {_VERSIONS} "to"i "adapter"i ADAPTER {IF_REVISION}',
        f"add version N[,N] to adapter BASE:NAME {IF_REVISION_HELP}",
        _add_version,
    ),
)
statements.register("use_version")(
    Statement(
        f'"use"i "version"i VERSION "of"i "adapter"i ADAPTER {IF_REVISION}',
        f"use version N of adapter BASE:NAME {IF_REVISION_HELP}",
        _use_version,
    ),
)
statements.register("retire_version")(
    Statement(
        f'"retire"i "version"i VERSION "of"i "adapter"i ADAPTER {IF_REVISION}',
        f"retire version N of adapter BASE:NAME {IF_REVISION_HELP}",
        _retire_version,
    ),
)
statements.register("allow_adapter")(
    Statement(
        f'"allow"i "adapter"i ADAPTER "for"i ("all"i | "workload"i {_WORKLOADS}) {IF_REVISION}',
        f"allow adapter BASE:NAME for all | workload W[,W] {IF_REVISION_HELP}",
        _allow,
    ),
)
statements.register("retire_adapter")(
    Statement(
        f'"retire"i "adapter"i ADAPTER {IF_REVISION}',
        f"retire adapter BASE:NAME {IF_REVISION_HELP}",
        _retire,
    ),
)
