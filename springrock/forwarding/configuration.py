"""The configuration of routes, services, teams and limits as an immutable value."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct


class RouteKind(StrEnum):
    """Whether a request of a route may run again after it was sent."""

    SAFE = "safe"
    """The request may run more than once."""
    UNSAFE = "unsafe"
    """The request runs at most once for each try of a client."""
    STREAMING = "streaming"
    """The answer is a stream of events. The request is unsafe unless the route is resumable."""


class Share(NamedTuple):
    """A service of a route with its weight in the split of the traffic."""

    service: str
    weight: float


class QuotaUnit(StrEnum):
    """The unit of the rate and burst of a team."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """The tokens of the prompt plus the maximum tokens of the answer."""


class Team(Struct, frozen=True, kw_only=True):
    """A team that may use the deployment, with its quota.

    Attributes:
        name: The name that is sent to replicas.
        key_digests: The digests of the team's keys; the keys themselves are not stored.
        priority: The priority of the team's requests, which overrides that of the route. None to
            use the priority of the route.
        unit: The unit of rate and burst.
        rate: Units per second over all boxes together; 0 for no limit.
        burst: Units beyond the rate that may be used at once.
        plain_units: The cost of a request without stated tokens if the unit is tokens.
        regions: Where the team's requests may be served, cached and stored; None for anywhere.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    priority: int | None = None
    unit: QuotaUnit = QuotaUnit.REQUESTS
    rate: float = 0.0
    burst: float = 0.0
    plain_units: int = 1
    regions: frozenset[str] | None = None

    @property
    def limited(self) -> bool:
        """Whether the team has a quota."""
        return self.rate > 0

    def cost(self, tokens: int | None) -> int:
        """Return the cost of a request in units.

        Args:
            tokens: The tokens that the request states; None if it states none.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.plain_units if tokens is None else tokens


class Route(Struct, frozen=True, kw_only=True):
    """A route for the requests of a host and a path prefix.

    Attributes:
        name: The name of the route, for logs.
        host: The host in lower case.
        path_prefix: The prefix of the paths, which begins and ends with a slash.
        kind: Whether requests may run more than once.
        shares: The services with their weights in the split of the traffic.
        timeout_s: The longest time that a request is held; None if the operator sets no bound.
        target_s: The target for the time to answer. Later answers are worth less.
        priority: The priority of requests; 0 is the highest.
        attempts: The most replicas that one request may run on.
        resumable: Whether a broken stream may be resumed at another replica after its last event.
        gap_s: The longest allowed pause between two events of an answer; 0 for no bound.
        public: Whether requests need no key even if the configuration has teams.
        regions: Where requests may be served, cached and stored; None for anywhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float | None = None
    target_s: float = 1.0
    priority: int = 5
    attempts: int = 1
    resumable: bool = False
    gap_s: float = 0.0
    public: bool = False
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run already may be run again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def serves(self, service: str) -> bool:
        """Whether the split may pick a service."""
        if len(self.shares) == 1:
            return self.shares[0].service == service
        return any(share.service == service and share.weight > 0 for share in self.shares)

    def pick_service(self, rng: random.Random) -> str:
        """Choose one of the services at random by the weights of the split."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights=weights)[0].service


class BaseModel(Struct, frozen=True, kw_only=True):
    """A base model that the engines of a service may hold.

    Attributes:
        name: The name of the model.
        adapters: The number of adapters of the model.
    """

    name: str
    adapters: int = 0


class Engine(Struct, frozen=True, kw_only=True):
    """The common properties of all model engines of a service.

    Attributes:
        running_limit: How many requests one engine runs at once.
        adapter_slots: How many adapters one engine can hold.
        loads_per_s: The limit of loads from the weight store per second, over all engines.
        models: The base models.
        memory_tokens: How many tokens one engine can keep in its cache, of running requests and of
            earlier prompts together.
    """

    running_limit: int
    adapter_slots: int
    loads_per_s: float
    memory_tokens: int = 0
    models: tuple[BaseModel, ...] = ()


class SlowStart(Struct, frozen=True, kw_only=True):
    """The limits of the replicas of a service while they are cold.

    Attributes:
        lasts_s: How many seconds a replica is cold after a start.
        per_s: How many requests per second a cold replica can take from all boxes together.
    """

    lasts_s: float
    per_s: float


class Service(Struct, frozen=True, kw_only=True):
    """A pool of equivalent replicas.

    Attributes:
        name: The name of the service.
        health_path: The path of the health check at each replica.
        connection_limit: How many connections one replica accepts from all boxes together.
        engine: The properties of the model engines; None if the replicas are no model engines.
        slow_start: The limits of cold replicas; None if replicas are never cold.
    """

    name: str
    health_path: str = "/"
    connection_limit: int = 100
    engine: Engine | None = None
    slow_start: SlowStart | None = None


class ClientLimits(Struct, frozen=True, kw_only=True):
    """The limits for clients.

    Attributes:
        body_bytes: The largest request body.
        idle_s: For how many seconds a client connection may be idle.
        header_bytes: The largest head of a request.
        header_s: How many seconds a client may take for a head.
    """

    body_bytes: int = 4_194_304
    idle_s: float = 15.0
    header_bytes: int = 65_536
    header_s: float = 10.0


class Configuration(Struct, frozen=True, kw_only=True):
    """One version of the whole configuration.

    Attributes:
        version: The version, which rises with each change; 0 if there is no configuration yet.
        routes: The routes.
        services: The services by name.
        limits: The limits for clients.
        teams: The teams that may use the deployment; None if requests need no keys.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = {}
    limits: ClientLimits = ClientLimits()
    teams: tuple[Team, ...] | None = None

    @property
    def engine_services(self) -> dict[str, Engine]:
        """The properties of the model engines by service; services without engines are left out."""
        return {
            name: service.engine
            for name, service in self.services.items()
            if service.engine is not None
        }


class RouteTable:
    """An index to find the route and the team of a request, built once per configuration.

    Args:
        configuration: The configuration to index.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._team_by_digest = {
            digest: team for team in configuration.teams or () for digest in team.key_digests
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests need a key unless their route is public."""
        return self.configuration.teams is not None

    def team_of(self, digest: bytes | None) -> Team | None:
        """Return the team that holds the key with a digest; None if there is none."""
        return None if digest is None else self._team_by_digest.get(digest)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if no route matches."""
        routes = self._routes_by_host.get(_normalize_host(host), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)


def _normalize_host(host: str) -> str:
    """Return the host of a Host header in lower case and without the port."""
    name, colon, port = host.strip().rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.strip().lower()
