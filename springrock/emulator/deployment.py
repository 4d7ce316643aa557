"""Loopback deployments: sizes modelled on the users' sites, and settings of each process."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from string import ascii_lowercase
from typing import Any

from springrock.coordination.catalog import Adapter, Change, Workload
from springrock.emulator.ports import free_addresses

SHARED_KEY = "a shared key for loopback only"
OPERATOR_KEY = "an operator key for loopback only"
OPERATOR = "operator"


@dataclass(frozen=True)
class Shape:
    """The size and topology of a deployment.

    Attributes:
        name: The prefix of the names of its engines and service replicas.
        zones: The availability zones.
        boxes_per_zone: Entry boxes in each zone.
        engines: Replicas of the language pool, assigned to the zones round robin.
        services: Replicas of the plain service, assigned to the zones round robin.
        adapters: Number of adapters.
        loads_per_s: Adapter loads a second that the weight store delivers.
        base_model: The model of the language pool.
        service: The pool name of the plain service.
        adapter_slots: Adapters that each engine can hold.
        running_limit: Requests that each engine runs at once.
    """

    name: str
    zones: tuple[str, ...]
    boxes_per_zone: int
    engines: int
    services: int
    adapters: int
    loads_per_s: float
    base_model: str
    service: str
    adapter_slots: int = 8
    running_limit: int = 16

    @classmethod
    def from_vanua_voice(cls, *, boxes_per_zone: int = 3, adapters: int = 3_000) -> Shape:
        """Return a shape like that of the Vanua Voice co-operative."""
        return cls(
            name="vanua",
            zones=("suva-1", "suva-2", "suva-3"),
            boxes_per_zone=boxes_per_zone,
            engines=5,
            services=3,
            adapters=adapters,
            loads_per_s=2.0,
            base_model="minutes-base",
            service="rosters",
        )

    @classmethod
    def from_agency(cls, *, boxes_per_zone: int = 2, adapters: int = 3_000) -> Shape:
        """Return a shape like that of the image archive agency."""
        return cls(
            name="agency",
            zones=("muehl-1", "muehl-2", "muehl-3", "muehl-4"),
            boxes_per_zone=boxes_per_zone,
            engines=9,
            services=4,
            adapters=adapters,
            loads_per_s=4.0,
            base_model="plates-base",
            service="catalogue",
        )

    @classmethod
    def from_small(cls, *, zones: int = 2, boxes_per_zone: int = 2, engines: int = 2) -> Shape:
        """Return a small shape for tests."""
        return cls(
            name="small",
            zones=tuple(f"zone-{index + 1}" for index in range(zones)),
            boxes_per_zone=boxes_per_zone,
            engines=engines,
            services=1,
            adapters=50,
            loads_per_s=20.0,
            base_model="base",
            service="rosters",
            adapter_slots=3,
        )

    @property
    def box_names(self) -> list[str]:
        """Names of all boxes, ordered by zone."""
        return [f"{zone}-{suffix}" for zone in self.zones for suffix in self._box_suffixes]

    @property
    def _box_suffixes(self) -> list[str]:
        """Name suffixes of the boxes in a zone: `a` to `z`, then `aa`, `ab` and so on."""
        two_letters = map("".join, itertools.product(ascii_lowercase, repeat=2))
        return list(
            itertools.islice(itertools.chain(ascii_lowercase, two_letters), self.boxes_per_zone)
        )

    def zone_of_box(self, box: str) -> str:
        """Return the zone of a box."""
        return box.rpartition("-")[0]

    def assign_zones(self, prefix: str, count: int) -> dict[str, str]:
        """Return generated upstream names, each with its zone, assigned round robin."""
        return {
            f"{prefix}-{index + 1}": self.zones[index % len(self.zones)] for index in range(count)
        }

    def adapter_name(self, index: int) -> str:
        """Return the name of an adapter, without its base model."""
        return f"style-{index:05d}"

    def model_name(self, index: int) -> str:
        """Return the model name of an adapter's first version."""
        return f"{self.base_model}:{self.adapter_name(index)}@1"

    def first_change(self) -> Change:
        """Return the change that creates all adapters and workloads."""
        adapters = [
            Adapter(f"{self.base_model}:{self.adapter_name(index)}", [1, 2], 1)
            for index in range(self.adapters)
        ]
        workloads = [Workload("default"), Workload("minutes", priority=5, stall_weight=0.8)]
        return Change(
            revision=1,
            command_id="first",
            who="installer",
            at=0.0,
            statement="create everything",
            adapters=adapters,
            workloads=workloads,
        )


@dataclass
class Addresses:
    """Loopback addresses of a deployment's processes, by name where there are several."""

    platform: str
    engines: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    callers: dict[str, str] = field(default_factory=dict)
    operators: dict[str, str] = field(default_factory=dict)
    peers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def for_shape(cls, shape: Shape) -> Addresses:
        """Allocate an unused loopback address for every listener of a deployment."""
        engines = list(shape.assign_zones(f"{shape.name}-engine", shape.engines))
        services = list(shape.assign_zones(f"{shape.name}-service", shape.services))
        boxes = shape.box_names
        unused = iter(free_addresses(1 + len(engines) + len(services) + 3 * len(boxes)))
        return cls(
            platform=next(unused),
            engines={name: next(unused) for name in engines},
            services={name: next(unused) for name in services},
            callers={name: next(unused) for name in boxes},
            operators={name: next(unused) for name in boxes},
            peers={name: next(unused) for name in boxes},
        )


class SettingsWriter:
    """Builds the settings of each process of a deployment as plain data.

    Args:
        shape: The shape of the deployment.
        addresses: The listening addresses of the processes.
        policy: Overrides of the policy section.
        lease: Overrides of the lease section.
    """

    def __init__(
        self,
        shape: Shape,
        addresses: Addresses,
        *,
        policy: dict[str, Any] | None = None,
        lease: dict[str, Any] | None = None,
    ) -> None:
        self.shape = shape
        self.addresses = addresses
        self.policy = policy or {}
        self.lease = lease or {}

    def platform(self) -> dict[str, Any]:
        """Return the platform stand-in's settings."""
        names = [*self.addresses.engines, *self.addresses.services]
        listed = [{"name": name, "kind": "upstream"} for name in names]
        listed += [{"name": name, "kind": "box"} for name in self.shape.box_names]
        return {
            "address": self.addresses.platform,
            "loads_per_s": self.shape.loads_per_s,
            "list_lag_s": 0.5,
            "listed": listed,
        }

    def engine(self, name: str, *, checks_fence: bool = True) -> dict[str, Any]:
        """Return an engine stand-in's settings."""
        return {
            "name": name,
            "address": self.addresses.engines[name],
            "base_model": self.shape.base_model,
            "weights_address": self.addresses.platform,
            "adapter_slots": self.shape.adapter_slots,
            "batch_limit": self.shape.running_limit,
            "checks_fence": checks_fence,
        }

    def service(self, name: str) -> dict[str, Any]:
        """Return a service stand-in's settings."""
        return {"name": name, "address": self.addresses.services[name]}

    def box(
        self,
        name: str,
        *,
        platform_address: str = "",
        upstream_addresses: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        """Return a box's settings.

        Args:
            name: The name of the box.
            platform_address: Address to reach the platform at, if not its own (a proxy's, say).
            upstream_addresses: Addresses to reach upstreams at, by name, if not their own.
        """
        addresses = self.addresses
        platform = platform_address or addresses.platform
        return {
            "box": {
                "name": name,
                "availability_zone": self.shape.zone_of_box(name),
                "stop_notice_s": 0.2,
            },
            "caller_door": {"address": addresses.callers[name]},
            "operator_door": {
                "address": addresses.operators[name],
                "credentials": [{"name": OPERATOR, "key": OPERATOR_KEY}],
            },
            "peers": {"address": addresses.peers[name], "shared_key": SHARED_KEY},
            "platform": {
                "table_address": platform,
                "objects_address": platform,
                "list_address": platform,
                "list_poll_s": 0.5,
            },
            "lease": self.lease,
            "pools": [
                self._language_pool(upstream_addresses or {}),
                self._service_pool(upstream_addresses or {}),
            ],
            "policy": {"loads_per_s": self.shape.loads_per_s, **self.policy},
        }

    def _language_pool(self, address_overrides: dict[str, str]) -> dict[str, Any]:
        shape = self.shape
        zones = shape.assign_zones(f"{shape.name}-engine", shape.engines)
        return {
            "name": "language",
            "driver": "engine",
            "base_model": shape.base_model,
            "adapter_slots": shape.adapter_slots,
            "running_limit": shape.running_limit,
            "load_s": 1 / shape.loads_per_s,
            "replicas": self._replicas(zones, self.addresses.engines, address_overrides),
        }

    def _service_pool(self, address_overrides: dict[str, str]) -> dict[str, Any]:
        shape = self.shape
        zones = shape.assign_zones(f"{shape.name}-service", shape.services)
        return {
            "name": shape.service,
            "driver": "service",
            "replicas": self._replicas(zones, self.addresses.services, address_overrides),
        }

    def _replicas(
        self, zones: dict[str, str], addresses: dict[str, str], address_overrides: dict[str, str]
    ) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "availability_zone": zone,
                "address": address_overrides.get(name, addresses[name]),
            }
            for name, zone in zones.items()
        ]
