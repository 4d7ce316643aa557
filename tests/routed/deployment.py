"""A deployment of routed boxes on loopback: real processes of store, replicas and entry boxes."""

from __future__ import annotations

import base64
import http.client
import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from springrock.clock import monotonic
from springrock.emulator.ports import free_addresses
from springrock.settings import split_address
from tests.processes import Processes, RunsProcesses, wait_until

HOST = "calls.example"
MODEL = "base"
ZONES = ("zone-1", "zone-2")
REPLICAS = 4

SEEDS = 3
"""The platform tells a machine the addresses of up to so many others."""


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        **more,
    }


ROUTES = [
    route("lookup", "safe", "rosters"),
    route("join", "unsafe", "rosters", maxAttempts=1),
    route("items", "streaming", "language", resumable=True, gapAimMs=400),
    route("minutes", "streaming", "language", resumable=False, maxAttempts=1, gapAimMs=400),
]

SERVICES = [
    {"name": "rosters", "maxConnections": 50},
    {
        "name": "language",
        "maxConnections": 50,
        "engine": {
            "slots": 8,
            "adapterSlots": 2,
            "loadsPerS": 5,
            "models": [{"name": MODEL, "adapters": 100}],
        },
    },
]


@dataclass
class Answer:
    """What a client got."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True

    @property
    def event_ids(self) -> list[int]:
        """The ids of the events, in order."""
        return [
            int(line[4:]) for line in self.body.decode().splitlines() if line.startswith("id: ")
        ]


@dataclass
class Deployment(RunsProcesses):
    """All processes and their addresses."""

    folder: Path
    boxes: int = 2
    zones: tuple[str, ...] = ZONES
    addresses: dict[str, str] = field(default_factory=dict)
    clients: dict[str, str] = field(default_factory=dict)
    readiness: dict[str, str] = field(default_factory=dict)
    metrics: dict[str, str] = field(default_factory=dict)
    links: dict[str, str] = field(default_factory=dict)
    version: int = 0
    tenants: list[dict[str, Any]] | None = None
    more_of_replicas: dict[str, Any] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)
    more_settings: dict[str, Any] = field(default_factory=dict)
    slow_start: dict[str, float] = field(default_factory=dict)
    services: list[dict[str, Any]] = field(default_factory=lambda: SERVICES)
    box_module: str = "springrock"
    box_command: tuple[str, ...] = ("entry", "--settings")
    build_of: dict[str, Path] = field(default_factory=dict)
    tells_seeds: bool = True

    def __post_init__(self) -> None:
        self.processes = Processes(self.folder)
        self._pool = urllib3.PoolManager(retries=False)
        self._requests = 0

    def start(self) -> None:
        self.addresses["store"] = free_addresses(1)[0]
        self.processes.spawn("store", ["standin", "rowstore"], {"address": self.addresses["store"]})
        for number, zone in enumerate(self.zones, start=1):
            self.start_replica(f"rosters-{number}", "rosters", zone)
            self.start_replica(f"engine-{number}", "language", zone, base_model=MODEL)
        names = [f"box-{number}" for number in range(1, self.boxes + 1)]
        self.assign_links(names)
        for name in names:
            self.start_box(name)

    def assign_links(self, boxes: Sequence[str]) -> None:
        """Choose where boxes listen for each other, so that the first can be told of the last."""
        self.links.update(zip(boxes, free_addresses(len(boxes)), strict=True))

    def start_replica(self, name: str, service: str, zone: str, **more: Any) -> None:
        """Start a replica, at the address that it had if it ran before."""
        address = self.addresses.setdefault(name, free_addresses(1)[0])
        settings = {
            "address": address,
            "service": service,
            "store_address": self.addresses["store"],
            "availability_zone": zone,
            **self.more_of_replicas,
            **more,
        }
        self.processes.spawn(name, ["standin", "replica"], settings)

    def start_box(self, name: str) -> None:
        """Start a box, whose number gives it its zone."""
        zone = self.zones[(int(name.rpartition("-")[2]) - 1) % len(self.zones)]
        clients, readiness, boxes, metrics = free_addresses(4)
        if name not in self.clients:
            boxes = self.links.get(name, boxes)
        self.clients[name], self.readiness[name] = clients, readiness
        self.metrics[name], self.links[name] = metrics, boxes
        settings = {
            "box": {
                "name": name,
                "availability_zone": zone,
                "zones": self.zones,
                "regions": self.regions,
            },
            "listen": {
                "clients_address": clients,
                "readiness_address": readiness,
                "boxes_address": boxes,
                "metrics_address": metrics,
            },
            "store": {"address": self.store_address_of(name)},
            "placement": {"lease_s": 1.0},
            "retries": {"window_s": 60.0},
            "stop": {"within_s": 8.0, "notice_s": 0.2},
            **self.more_settings,
        }
        if self.tells_seeds and name not in self.build_of:
            # The last landing knows no such setting.
            settings["start"] = {"seeds": self.seeds_of(name)}
        self.processes.spawn(
            name,
            [*self.box_command],
            settings,
            module=self.box_module,
            build=self.build_of.get(name),
        )

    def seeds_of(self, box: str) -> list[str]:
        """Where a box may ask others, as the platform tells it at the start of the box."""
        others = [address for name, address in self.links.items() if name != box]
        return others[:SEEDS]

    def store_address_of(self, box: str) -> str:
        """Where a box reaches the store."""
        return self.addresses["store"]

    # The operator.

    def write_operator_row(self, key: str, value: dict[str, Any]) -> None:
        self.write_row("op", key, json.dumps(value).encode())

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row of any table, as whoever may."""
        encoded = base64.b64encode(value).decode()
        self._transact({"put": [{"table": table, "key": key, "value": encoded}]})

    def remove_operator_row(self, key: str) -> None:
        self.remove_row("op", key)

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row of any table, as whoever may."""
        self._transact({"remove": [{"table": table, "key": key}]})

    def _transact(self, transaction: dict[str, Any]) -> None:
        body = json.dumps(transaction)
        url = f"http://{self.addresses['store']}/standin/transaction"
        wait_until(lambda: self._posted(url, body), what=f"the store takes {sorted(transaction)}")

    def configure(self, routes: list[dict[str, Any]] | None = None, version: int = 0) -> int:
        """Write a configuration and return its version."""
        self.version = version or self.version + 1
        config: dict[str, Any] = {
            "version": self.version,
            "routes": routes or ROUTES,
            "services": [{**service, **self.slow_start} for service in self.services],
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.write_operator_row("config", config)
        return self.version

    def name_version(self, adapter: str, version: int) -> None:
        """Name a new version of an adapter."""
        self.write_operator_row(
            f"version/{MODEL}.{adapter}",
            {"model": MODEL, "adapter": adapter, "version": version},
        )

    def fault(self, name: str, **fault: Any) -> None:
        """Switch the faults of a stand-in; no argument heals it."""
        url = f"http://{self.addresses[name]}/standin/faults"
        assert self._pool.request("POST", url, body=json.dumps(fault)).status == 200

    def return_from_copy(self, copy_s: float) -> None:
        """Let the store come back from a copy so old."""
        url = f"http://{self.addresses['store']}/standin/return"
        assert self._pool.request("POST", url, body=json.dumps({"copy_s": copy_s})).status == 200

    def counters(self, name: str) -> dict[str, Any]:
        url = f"http://{self.addresses[name]}/standin/counters"
        counters: dict[str, Any] = self._pool.request("GET", url).json()
        return counters

    def answers(self, name: str) -> bool:
        """Whether a stand-in has started."""
        try:
            return bool(self.counters(name))
        except urllib3.exceptions.HTTPError:
            return False

    def runs(self, request_id: str) -> int:
        """How often a request ran, at all replicas together."""
        names = [name for name in self.addresses if name != "store"]
        return sum(self.counters(name)["runs"].get(request_id, 0) for name in names)

    def team_told(self, request_id: str) -> str | None:
        """The team that the replica was told that ran a request; None if none ran it."""
        names = [name for name in self.addresses if name != "store"]
        reported = (self.counters(name)["teams"].get(request_id) for name in names)
        return next((team for team in reported if team is not None), None)

    def evacuate(self, zone: str) -> float:
        """Evacuate a zone; return a moment just before that was acknowledged.

        It is of the machine's steady clock, which stand-ins tell arrivals by.
        """
        written_at = monotonic()
        self.write_operator_row(f"evacuate/{zone}", {})
        return written_at

    def take_back(self, zone: str) -> None:
        self.remove_operator_row(f"evacuate/{zone}")

    def arrivals(self, zone: str) -> list[float]:
        """When requests arrived at the replicas of a zone, but for those answered 421."""
        number = self.zones.index(zone) + 1
        names = [f"rosters-{number}", f"engine-{number}"]
        return [at for name in names for at in self.counters(name)["arrivals"]]

    def holders(self, adapter: str) -> list[str]:
        """The engines that hold an adapter."""
        names = [name for name in self.addresses if name.startswith("engine")]
        return [name for name in names if adapter in self.counters(name)["adapters"]]

    def violations(self) -> dict[str, int]:
        names = [name for name in self.addresses if name != "store"]
        return {
            key: count for name in names for key, count in self.counters(name)["violations"].items()
        }

    def _posted(self, url: str, body: str) -> bool:
        try:
            return self._pool.request("POST", url, body=body).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    # Boxes.

    def is_ready(self, box: str) -> bool:
        try:
            response = self._pool.request("GET", f"http://{self.readiness[box]}/v1/readiness")
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def wait_ready(self, *, replicas: int = 1) -> None:
        """Wait until every box is ready and knows so many replicas that do not leave."""
        for box in self.clients:
            wait_until(lambda box=box: self.is_ready(box), within_s=30, what=f"{box} is ready")
            wait_until(
                lambda box=box: self.metric(box, "springrock_forwarding_replicas") >= replicas,
                what=f"{box} knows {replicas} replicas",
            )

    def metrics_page(self, box: str) -> str:
        return self._pool.request("GET", f"http://{self.metrics[box]}/metrics").data.decode()

    def metric(self, box: str, name: str) -> float:
        text = self.metrics_page(box)
        lines = [line for line in text.splitlines() if line.startswith(f"{name} ")]
        return float(lines[0].split()[1]) if lines else 0.0

    def placers(self) -> dict[str, str]:
        """The running boxes that give orders now, by the zone of the engines."""
        running = [box for box in self.clients if self.is_ready(box)]
        return {zone: box for box in running for zone in self.zones if self.placer_of(zone, at=box)}

    def placer_and_other(self, zone: str) -> tuple[str, str]:
        """Wait until every zone has a placer; return that of one zone, and another box."""
        placers = wait_until(
            lambda: found if len(found := self.placers()) == len(self.zones) else None,
            what="every zone has a placer",
        )
        other = next(box for box in self.clients if box != placers[zone])
        return placers[zone], other

    def placer_of(self, zone: str, *, at: str) -> bool:
        """Whether a box gives orders to the engines of a zone now."""
        return self.metric(at, f'springrock_placement_placer{{zone="{zone}"}}') == 1.0

    def log(self, name: str) -> str:
        return self.processes.log(name)

    # Clients.

    def new_id(self) -> str:
        self._requests += 1
        return f"{self._requests:016x}"

    def send(
        self,
        box: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"hello",
        request_id: str = "",
        deadline_ms: int = 5000,
        adapter: str = "",
        more_headers: dict[str, str] | None = None,
        connection: http.client.HTTPConnection | None = None,
    ) -> Answer:
        """Send one request and read the answer as far as it goes."""
        connection = connection or self.connect(box)
        headers = {
            "Host": HOST,
            "Springrock-Request-Id": request_id or self.new_id(),
            "Springrock-Deadline-Ms": str(deadline_ms),
            **(more_headers or {}),
        }
        if adapter:
            headers["Springrock-Model"] = f"{MODEL}/{adapter}"
        connection.request(method, path, body=body if method != "GET" else None, headers=headers)
        response = connection.getresponse()
        whole = True
        try:
            data = response.read()
        except http.client.IncompleteRead as error:
            data, whole = error.partial, False
        return Answer(response.status, dict(response.getheaders()), data, whole)

    def connect(self, box: str) -> http.client.HTTPConnection:
        host, port = split_address(self.clients[box])
        return http.client.HTTPConnection(host, port, timeout=20)

    def served(self, box: str, path: str, **options: Any) -> Answer:
        """Send until the answer is a success, as a client does that is told to come back."""

        def _success() -> Answer | None:
            answer = self.send(box, path, **options)
            return answer if answer.status == 200 else None

        answer: Answer = wait_until(_success, what=f"{path} is served by {box}")
        return answer
