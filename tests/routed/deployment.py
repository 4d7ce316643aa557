"""Loopback deployment of entry boxes, replica stand-ins and the store stand-in as processes."""

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
from tests.processes import ProcessDeployment, Processes, wait_until

HOST = "calls.example"
MODEL = "base"
ZONES = ("zone-1", "zone-2")
REPLICAS = 4

REQUESTS_PER_RETRY = 25
"""Requests that let a box retry one of them, in its first window and with the default ratio."""

MAX_SEEDS = 3
"""Maximum number of other boxes whose addresses the platform gives to a starting box."""


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route in the form that operators write, with defaults for this deployment."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        **fields,
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
    """The answer that a client received.

    Attributes:
        is_complete: Whether the body ended properly, rather than by a cut connection.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True

    @property
    def event_ids(self) -> list[int]:
        """The ids of the streamed events, in order of arrival."""
        return [
            int(line[4:]) for line in self.body.decode().splitlines() if line.startswith("id: ")
        ]

    @property
    def event_software(self) -> list[str]:
        """The software version that wrote each streamed event; empty where it names none."""
        data_lines = [line for line in self.body.decode().splitlines() if line.startswith("data: ")]
        return [line.partition(" by ")[2] for line in data_lines]


@dataclass
class Deployment(ProcessDeployment):
    """The processes of a deployment and their addresses, by process name."""

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
    replica_settings: dict[str, Any] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)
    box_settings: dict[str, Any] = field(default_factory=dict)
    slow_start: dict[str, float] = field(default_factory=dict)
    services: list[dict[str, Any]] = field(default_factory=lambda: SERVICES)
    limits: dict[str, Any] | None = None
    box_module: str = "springrock"
    box_command: tuple[str, ...] = ("entry", "--settings")
    build_of: dict[str, Path] = field(default_factory=dict)
    configures_seeds: bool = True
    first_start: bool = False
    """Whether the boxes' settings say that the whole deployment starts for the first time."""

    software_of: dict[str, str | int] = field(default_factory=dict)
    """Versions of the software of replicas, by name; a replica that is missing has none."""

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
        """Allocate link addresses for all boxes, so that the first one can be given the others'."""
        self.links.update(zip(boxes, free_addresses(len(boxes)), strict=True))

    def start_replica(self, name: str, service: str, zone: str, **fields: Any) -> None:
        """Start a replica, with its previous address if it has run before."""
        address = self.addresses.setdefault(name, free_addresses(1)[0])
        settings = {
            "address": address,
            "service": service,
            "store_address": self.addresses["store"],
            "availability_zone": zone,
            "software_version": json.dumps(self.software_of[name])
            if name in self.software_of
            else "",
            **self.replica_settings,
            **fields,
        }
        self.processes.spawn(name, ["standin", "replica"], settings)

    def start_box(self, name: str) -> None:
        """Start a box, in the zone that its number determines."""
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
            **self.box_settings,
        }
        if self.configures_seeds and name not in self.build_of:
            # The previous release does not know this setting.
            settings["start"] = {"seeds": self.seeds_of(name), "first": self.first_start}
        self.processes.spawn(
            name,
            [*self.box_command],
            settings,
            module=self.box_module,
            build=self.build_of.get(name),
        )

    def end_first_start(self) -> None:
        """Let the boxes' settings say that the deployment has started before."""
        for box in self.clients:
            path = self.folder / f"{box}.jsonc"
            settings = json.loads(path.read_text())
            settings["start"]["first"] = False
            path.write_text(json.dumps(settings, indent=1))

    def seeds_of(self, box: str) -> list[str]:
        """Return the addresses of other boxes that the platform gives to a starting box."""
        others = [address for name, address in self.links.items() if name != box]
        return others[:MAX_SEEDS]

    def store_address_of(self, box: str) -> str:
        """Return the address at which a box reaches the store."""
        return self.addresses["store"]

    # The operator's rows.

    def write_operator_row(self, key: str, value: dict[str, Any]) -> None:
        self.write_row("op", key, json.dumps(value).encode())

    def write_row(self, table: str, key: str, value: bytes) -> None:
        """Write a row of any table through the control endpoint of the store stand-in."""
        encoded = base64.b64encode(value).decode()
        self._transact({"put": [{"table": table, "key": key, "value": encoded}]})

    def remove_operator_row(self, key: str) -> None:
        self.remove_row("op", key)

    def remove_row(self, table: str, key: str) -> None:
        """Remove a row of any table through the control endpoint of the store stand-in."""
        self._transact({"remove": [{"table": table, "key": key}]})

    def _transact(self, transaction: dict[str, Any]) -> None:
        body = json.dumps(transaction)
        url = f"http://{self.addresses['store']}/standin/transaction"
        wait_until(lambda: self._post(url, body), what=f"the store commits {sorted(transaction)}")

    def configure(self, routes: list[dict[str, Any]] | None = None, version: int = 0) -> int:
        """Write a configuration as the operator and return its version."""
        self.version = version or self.version + 1
        config: dict[str, Any] = {
            "version": self.version,
            "routes": routes or ROUTES,
            "services": [{**service, **self.slow_start} for service in self.services],
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        if self.limits is not None:
            config["limits"] = self.limits
        self.write_operator_row("config", config)
        return self.version

    def name_version(self, adapter: str, version: int) -> None:
        """Publish a new version of an adapter as the operator."""
        self.write_operator_row(
            f"version/{MODEL}.{adapter}",
            {"model": MODEL, "adapter": adapter, "version": version},
        )

    def fault(self, name: str, **fault: Any) -> None:
        """Replace the faults of a stand-in; without arguments, clear them."""
        url = f"http://{self.addresses[name]}/standin/faults"
        assert self._pool.request("POST", url, body=json.dumps(fault)).status == 200

    def restore_from_copy(self, copy_s: float) -> None:
        """Restore the store from a copy of the given age."""
        url = f"http://{self.addresses['store']}/standin/return"
        assert self._pool.request("POST", url, body=json.dumps({"copy_s": copy_s})).status == 200

    def counters(self, name: str) -> dict[str, Any]:
        url = f"http://{self.addresses[name]}/standin/counters"
        counters: dict[str, Any] = self._pool.request("GET", url).json()
        return counters

    def answers(self, name: str) -> bool:
        """Return whether a stand-in answers requests."""
        try:
            return bool(self.counters(name))
        except urllib3.exceptions.HTTPError:
            return False

    def runs(self, request_id: str) -> int:
        """Return how many times a request ran, on all replicas together."""
        names = [name for name in self.addresses if name != "store"]
        return sum(self.counters(name)["runs"].get(request_id, 0) for name in names)

    def team_of_run(self, request_id: str) -> str | None:
        """Return the team that the request named at the replica that ran it; None if none did."""
        names = [name for name in self.addresses if name != "store"]
        reported = (self.counters(name)["teams"].get(request_id) for name in names)
        return next((team for team in reported if team is not None), None)

    def evacuate(self, zone: str) -> float:
        """Evacuate a zone; return the time just before the write.

        The time is on the machine's monotonic clock, like the arrivals that stand-ins report.
        """
        written_at = monotonic()
        self.write_operator_row(f"evacuate/{zone}", {})
        return written_at

    def end_evacuation(self, zone: str) -> None:
        self.remove_operator_row(f"evacuate/{zone}")

    def arrivals(self, zone: str) -> list[float]:
        """Return arrival times of requests at the replicas of a zone, except those answered 421."""
        number = self.zones.index(zone) + 1
        names = [f"rosters-{number}", f"engine-{number}"]
        return [at for name in names for at in self.counters(name)["arrivals"]]

    def holders(self, adapter: str) -> list[str]:
        """Return the names of the engines that have an adapter loaded."""
        names = [name for name in self.addresses if name.startswith("engine")]
        return [name for name in names if adapter in self.counters(name)["adapters"]]

    def violations(self) -> dict[str, int]:
        names = [name for name in self.addresses if name != "store"]
        return {
            key: count for name in names for key, count in self.counters(name)["violations"].items()
        }

    def _post(self, url: str, body: str) -> bool:
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
        """Wait until every box is ready and knows at least this many replicas, none leaving."""
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
        """Return the boxes that are placers now, by zone, among those that are ready."""
        running = [box for box in self.clients if self.is_ready(box)]
        return {zone: box for box in running for zone in self.zones if self.is_placer(zone, at=box)}

    def placer_and_other(self, zone: str) -> tuple[str, str]:
        """Wait until every zone has a placer; return the placer of a zone and another box."""
        placers = wait_until(
            lambda: found if len(found := self.placers()) == len(self.zones) else None,
            what="every zone has a placer",
        )
        other = next(box for box in self.clients if box != placers[zone])
        return placers[zone], other

    def is_placer(self, zone: str, *, at: str) -> bool:
        """Return whether a box is the placer of a zone now."""
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
        extra_headers: dict[str, str] | None = None,
        connection: http.client.HTTPConnection | None = None,
    ) -> Answer:
        """Send a request and return its answer, which may be cut."""
        connection = connection or self.connect(box)
        headers = {
            "Host": HOST,
            "Springrock-Request-Id": request_id or self.new_id(),
            "Springrock-Deadline-Ms": str(deadline_ms),
            **(extra_headers or {}),
        }
        if adapter:
            headers["Springrock-Model"] = f"{MODEL}/{adapter}"
        connection.request(method, path, body=body if method != "GET" else None, headers=headers)
        response = connection.getresponse()
        is_complete = True
        try:
            data = response.read()
        except http.client.IncompleteRead as error:
            data, is_complete = error.partial, False
        return Answer(response.status, dict(response.getheaders()), data, is_complete)

    def connect(self, box: str) -> http.client.HTTPConnection:
        host, port = split_address(self.clients[box])
        return http.client.HTTPConnection(host, port, timeout=20)

    def earn_retry(self, box: str, path: str, **options: Any) -> None:
        """Send enough requests of a route that the box may retry one, as it has just started."""
        for _ in range(REQUESTS_PER_RETRY):
            self.send_until_served(box, path, **options)

    def send_until_served(self, box: str, path: str, **options: Any) -> Answer:
        """Send a request repeatedly, as a retrying client does, until its answer is a success."""

        def _success() -> Answer | None:
            answer = self.send(box, path, **options)
            return answer if answer.status == 200 else None

        answer: Answer = wait_until(_success, what=f"{path} is served by {box}")
        return answer
