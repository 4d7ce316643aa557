"""The boxes, replicas, routes, teams and API keys of a soak."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.routed.deployment import MODEL, ZONES, route

STREAM_EVENTS = 20
EVENT_PAUSE_MS = 25.0
WORK_MS = 20.0
ADAPTER_SLOTS = 2
ADAPTERS = tuple(f"a{number}" for number in range(1, 8))
"""One more than the places of all engines, so that adapters must be evicted."""

REVOKE_S = 3.0
QUOTA_WINDOW_S = 8.0
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 8.0
RETRY_WINDOW_S = 5.0
STOP_WITHIN_S = 3.0

LIMITED_TEAM_PER_S = 8.0
LIMITED_TEAM_LOWERED_PER_S = 3.0

CRASHING = "crashes-what-runs-it"
"""A replica crashes when it begins to run a request whose path contains this text."""

CRASHING_PART = "bad0"
"""A replica crashes when it begins to write an answer on a part of a prompt whose id begins so."""

SHARED_PART = "5c1e07a2"
"""The first part of the prompts of all streams."""

FIRST_SOFTWARE = 1
"""The software version of all replicas at the start."""

TIMEOUT_S = 5.0
HURRIED_TIMEOUT_S = 2.5
"""The timeouts of routes."""

IDLE_S = 15.0
IMPATIENT_IDLE_S = 1.0
"""How long boxes keep idle connections of callers open."""

WITHDRAWABLE = "minutes"
"""The name of the route that is withdrawn and restored during a play."""

MOVABLE = "turns"
"""The name of the route that moves to another service during a play."""


class ReplicaPlan(NamedTuple):
    """One replica."""

    name: str
    service: str
    zone: str

    @property
    def is_engine(self) -> bool:
        """Whether the replica is an engine, which serves a model."""
        return self.service == "language"


class Shape(NamedTuple):
    """The boxes and replicas of a soak.

    Attributes:
        boxes: The names of the boxes.
        replicas: The replicas.
        spares: The engines that run only during a release of their software.
    """

    boxes: tuple[str, ...]
    replicas: tuple[ReplicaPlan, ...]
    spares: tuple[ReplicaPlan, ...] = ()

    @classmethod
    def from_boxes(cls, boxes: int) -> Shape:
        """Return the shape with a number of boxes; the replicas are always the same."""
        replicas = [
            ReplicaPlan(f"{service}-{number}", service, ZONES[(number - 1) % len(ZONES)])
            for service, count in (("rosters", 2), ("catalog", 2), ("language", 3))
            for number in range(1, count + 1)
        ]
        spares = [
            ReplicaPlan(f"language-{number}", "language", ZONES[number % 2]) for number in (4, 5)
        ]
        names = tuple(f"box-{number}" for number in range(1, boxes + 1))
        return cls(names, tuple(replicas), tuple(spares))

    @property
    def processes(self) -> int:
        """The most processes at once: boxes, replicas, store, proxy and the soak itself."""
        return len(self.boxes) + len(self.replicas) + len(self.spares) + 3

    def boxes_in(self, zone: str) -> tuple[str, ...]:
        """Return the names of the boxes in a zone; boxes take turns with the zones."""
        return self.boxes[ZONES.index(zone) :: len(ZONES)]

    def replicas_of(self, service: str) -> tuple[str, ...]:
        """Return the names of a service's replicas."""
        return tuple(plan.name for plan in self.replicas if plan.service == service)


class SoakConfiguration(NamedTuple):
    """The parts of the configuration that the soak changes.

    Attributes:
        moved: Whether the movable route leads to its second service.
        goes: Whether the removable key belongs to its team.
        lowered: Whether the limited team has its lower quota.
        hurried: Whether routes have their shorter timeout.
        impatient: Whether idle connections of callers are closed sooner.
        withdrawn: Whether the withdrawable route does not exist.
    """

    moved: bool = False
    goes: bool = True
    lowered: bool = False
    hurried: bool = False
    impatient: bool = False
    withdrawn: bool = False

    @property
    def limited_per_s(self) -> float:
        """The limited team's rate in requests a second; its burst is the rate of one second."""
        return LIMITED_TEAM_LOWERED_PER_S if self.lowered else LIMITED_TEAM_PER_S

    @property
    def timeout_s(self) -> float:
        """The timeout of all routes."""
        return HURRIED_TIMEOUT_S if self.hurried else TIMEOUT_S

    @property
    def idle_s(self) -> float:
        """After this time boxes close the idle connections of callers."""
        return IMPATIENT_IDLE_S if self.impatient else IDLE_S

    def service_of(self, route_name: str) -> str:
        """Return the service that a route leads to."""
        if route_name == MOVABLE:
            return "catalog" if self.moved else "rosters"
        return SERVICE_OF_ROUTE[route_name]

    def routes(self) -> list[dict[str, Any]]:
        """Return the routes in the format of the operator's configuration."""
        routes = [
            route("lookup", "safe", "rosters"),
            route("join", "unsafe", "rosters", maxAttempts=1),
            route("open", "safe", "catalog", public=True),
            route(MOVABLE, "safe", self.service_of(MOVABLE)),
            route("items", "streaming", "language", resumable=True, gapAimMs=400),
            route("minutes", "streaming", "language", resumable=False, maxAttempts=1, gapAimMs=400),
        ]
        timeout = {"timeoutMs": self.timeout_s * 1000}
        hidden = WITHDRAWABLE if self.withdrawn else ""
        return [{**one, **timeout} for one in routes if one["name"] != hidden]

    def limits(self) -> dict[str, Any]:
        """Return the limits for callers in the format of the operator's configuration."""
        return {"idleTimeoutMs": self.idle_s * 1000}

    def tenants(self) -> list[dict[str, Any]]:
        """Return the teams in the format of the operator's configuration."""
        keys = [KEYS["one"], KEYS["goes"]] if self.goes else [KEYS["one"]]
        return [
            {"name": "one", "apiKeys": keys},
            {"name": "two", "apiKeys": [KEYS["two"]]},
            {
                "name": "few",
                "apiKeys": [KEYS["few"]],
                "ratePerS": self.limited_per_s,
                "burst": self.limited_per_s,
            },
        ]


KEYS = {"one": "key-of-one", "two": "key-of-two", "goes": "key-that-goes", "few": "key-of-few"}
"""API keys by name. `goes` is removed and restored during a play; `few` is of the limited team."""

TEAM_OF_KEY = {"one": "one", "two": "two", "goes": "one", "few": "few", "": ""}

SERVICE_OF_ROUTE = {
    "lookup": "rosters",
    "join": "rosters",
    "open": "catalog",
    "items": "language",
    "minutes": "language",
}
REPEATABLE = frozenset({"lookup", "open", MOVABLE, "items"})
STREAMS = frozenset({"items", "minutes"})
RESUMABLE = frozenset({"items"})

SERVICES: list[dict[str, Any]] = [
    {"name": "rosters", "maxConnections": 50},
    {"name": "catalog", "maxConnections": 50},
    {
        "name": "language",
        "maxConnections": 50,
        "engine": {
            "slots": 8,
            "adapterSlots": ADAPTER_SLOTS,
            "loadsPerS": 20,
            "models": [{"name": MODEL, "adapters": 100}],
        },
    },
]
