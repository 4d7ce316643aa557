"""Decodes rows of the platform's store into this package's types."""

from __future__ import annotations

import math
from typing import TypeVar

from msgspec import Struct, field

from springrock.forwarding import configuration as own
from springrock.forwarding.directory import HeldAdapter
from springrock.forwarding.keys import digest_of
from springrock.forwarding.message import AdapterKey
from springrock.platform import names
from springrock.rows import Row
from springrock.strict_json import Int64, MalformedJson, decode_json

T = TypeVar("T")

_MAX_VERSION_DIGITS = 18
"""A number with more digits is not a version: it would not fit into messages between boxes."""


class MalformedRecord(ValueError):
    """A row that does not follow the format in the platform's pages."""


class _Split(Struct, rename="camel"):
    service: str
    weight: float


class _Route(Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str = ""
    traffic_split: list[_Split] = field(default_factory=list)
    timeout_ms: float | None = None
    target_latency_ms: float = 1000.0
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    gap_aim_ms: float = 0.0
    public: bool = False
    allowed_regions: list[str] | None = None


class _Tenant(Struct, rename="camel"):
    name: str
    api_keys: list[str] = field(default_factory=list)
    priority: int | None = None
    unit: str = own.QuotaUnit.REQUESTS
    plain_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class _Model(Struct, rename="camel"):
    name: str
    adapters: int = 0


class _Engine(Struct, rename="camel"):
    slots: int
    adapter_slots: int = 0
    loads_per_s: float = 1.0
    kv_capacity_tokens: int = 0
    models: list[_Model] = field(default_factory=list)


class _Service(Struct, rename="camel"):
    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: _Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(Struct, rename="camel"):
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0
    max_header_bytes: int = 65_536
    header_timeout_ms: float = 10_000.0


class _Configuration(Struct, rename="camel"):
    version: Int64
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class HeldModel(Struct, rename="camel"):
    """A base model that a replica holds, with its adapters as NAME@VERSION."""

    name: str
    version: int = 0
    adapters: list[str] = field(default_factory=list)


class _NamedVersion(Struct, rename="camel"):
    model: str
    version: Int64
    adapter: str = ""


def configuration_from(row: Row) -> own.Configuration:
    """Decode a configuration.

    Raises:
        MalformedRecord: If the row is not a configuration.
    """
    config = _decode(row, _Configuration)
    return own.Configuration(
        version=config.version,
        routes=tuple(_route_from(route) for route in config.routes),
        services={service.name: _service_from(service) for service in config.services},
        limits=own.ClientLimits(
            body_bytes=config.limits.max_body_bytes,
            idle_s=config.limits.idle_timeout_ms / 1000,
            header_bytes=config.limits.max_header_bytes,
            header_s=config.limits.header_timeout_ms / 1000,
        ),
        teams=None if config.tenants is None else _teams_from(config.tenants),
    )


def version_from(row: Row) -> tuple[AdapterKey, int]:
    """Return the adapter and the version that a row names; the adapter is empty for a base model.

    Raises:
        MalformedRecord: If the row does not name a version.
    """
    named = _decode(row, _NamedVersion)
    return AdapterKey(named.model, named.adapter), named.version


def is_version(row: Row) -> bool:
    """Whether a row of the operator's table names a version."""
    return row.key.startswith(names.VERSION_KEY_PREFIX)


def evacuated_zone(key: str) -> str:
    """Return the zone whose evacuation a key of the operator's table requests; empty if none."""
    is_evacuation = key.startswith(names.EVACUATION_KEY_PREFIX)
    return key.removeprefix(names.EVACUATION_KEY_PREFIX) if is_evacuation else ""


def held_adapters(models: list[HeldModel]) -> tuple[HeldAdapter, ...]:
    """Parse the adapters of held models, which are listed as NAME@VERSION.

    An adapter that is being replaced is listed in several versions; only the newest is returned.
    """
    newest: dict[AdapterKey, HeldAdapter] = {}
    for model in models:
        for text in model.adapters:
            held = HeldAdapter(model.name, *split_version(text))
            previous = newest.get(held.key)
            if previous is None or held.version > previous.version:
                newest[held.key] = held
    return tuple(newest.values())


def split_version(text: str) -> tuple[str, int]:
    """Split NAME@VERSION; the version is 0 if it is missing or not a number."""
    name, _, version = text.partition("@")
    is_version = version.isascii() and version.isdigit() and len(version) <= _MAX_VERSION_DIGITS
    return name, int(version) if is_version else 0


def _route_from(route: _Route) -> own.Route:
    try:
        kind = own.RouteKind(route.kind)
    except ValueError:
        # A kind of a later protocol version is handled as the most restrictive one.
        kind = own.RouteKind.UNSAFE
    split = [own.Share(part.service, part.weight) for part in route.traffic_split]
    return own.Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=kind,
        shares=tuple(split) or (own.Share(route.service, 1.0),),
        timeout_s=None if route.timeout_ms is None else route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        priority=route.priority,
        attempts=route.max_attempts,
        resumable=route.resumable,
        gap_s=route.gap_aim_ms / 1000,
        public=route.public,
        regions=_regions_from(route.allowed_regions),
    )


def _regions_from(region_names: list[str] | None) -> frozenset[str] | None:
    """Return the allowed regions; None, as for an empty list, allows all."""
    return frozenset(region_names) if region_names else None


def _teams_from(tenants: list[_Tenant]) -> tuple[own.Team, ...]:
    teams = tuple(_team_from(tenant) for tenant in tenants)
    digests = [digest for team in teams for digest in team.key_digests]
    if len(digests) != len(set(digests)):
        raise MalformedRecord("two teams have the same key")
    return teams


def _team_from(tenant: _Tenant) -> own.Team:
    numbers = (tenant.rate_per_s, tenant.burst, tenant.plain_tokens)
    if not all(0 <= number < math.inf for number in numbers):
        raise MalformedRecord(f"team {tenant.name}: a limit is negative or not a finite number")
    try:
        unit = own.QuotaUnit(tenant.unit)
    except ValueError:
        raise MalformedRecord(f"team {tenant.name}: the unit of its limits is unknown") from None
    return own.Team(
        name=tenant.name,
        key_digests=frozenset(digest_of(key) for key in tenant.api_keys),
        priority=tenant.priority,
        unit=unit,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        plain_units=tenant.plain_tokens,
        regions=_regions_from(tenant.allowed_regions),
    )


def _service_from(service: _Service) -> own.Service:
    engine = service.engine
    return own.Service(
        name=service.name,
        health_path=service.health_path,
        connection_limit=service.max_connections,
        slow_start=_slow_start_from(service),
        engine=None
        if engine is None
        else own.Engine(
            running_limit=engine.slots,
            adapter_slots=engine.adapter_slots,
            loads_per_s=engine.loads_per_s,
            memory_tokens=engine.kv_capacity_tokens,
            models=tuple(
                own.BaseModel(name=model.name, adapters=model.adapters) for model in engine.models
            ),
        ),
    )


def _slow_start_from(service: _Service) -> own.SlowStart | None:
    """Return the load limit of recently started replicas; None if the service has none.

    Raises:
        MalformedRecord: If a number is negative or not finite.
    """
    numbers = (service.cold_start_s, service.cold_per_s)
    if not all(0 <= number < math.inf for number in numbers):
        raise MalformedRecord(
            f"service {service.name}: a number of its slow start is negative or not finite"
        )
    if not service.cold_per_s:
        return None
    return own.SlowStart(lasts_s=service.cold_start_s, per_s=service.cold_per_s)


def _decode(row: Row, kind: type[T]) -> T:
    try:
        return decode_json(row.value, kind)
    except MalformedJson as error:
        raise MalformedRecord(f"{row.key}: {error}") from None
