"""A deployment of real processes on loopback, in which tests can inject faults."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from springrock.emulator.deployment import OPERATOR_KEY, Addresses, SettingsWriter, Shape
from springrock.emulator.embedded import first_configuration
from springrock.emulator.generation import RunRecord, expected_text
from springrock.emulator.ports import free_addresses
from springrock.errors import PlatformUnavailable
from springrock.ids import rendezvous_order
from springrock.operator_client import send_statement
from springrock.platform_clients.http import HttpPlatform
from springrock.settings import PlatformSection
from springrock.wire.operator import StatementAnswer, StatementRequest
from tests.processes import ProcessDeployment, Processes, wait_until

FAST_LEASE = {
    "renew_every_s": 0.5,
    "lapse_after_s": 2.0,
    "margin_s": 0.5,
    "scan_every_s": 0.3,
    "settle_s": 0.5,
}
START_TIMEOUT_S = 30.0


class Reply:
    """The response that a caller received."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """The error object of an answer, or of the last event of a stream."""
        if self.body.startswith(b"{"):
            return self.json["error"]
        event = self.body.rpartition(b"event: error\ndata: ")[2]
        return json.loads(event)["error"]

    @property
    def text(self) -> str:
        """The text of an answer that was not streamed."""
        return self.json["choices"][0]["text"]

    @property
    def streamed(self) -> str:
        """The concatenated text of a stream's events."""
        pieces = []
        for event in self.body.split(b"\n\n"):
            if event.startswith(b"data: {"):
                pieces.append(json.loads(event[6:])["choices"][0]["text"])
        return "".join(pieces)

    @property
    def whole(self) -> bool:
        """Whether a stream ended with its final event."""
        return self.body.endswith(b"data: [DONE]\n\n")


class Cluster(ProcessDeployment):
    """The processes of one deployment: platform, engines, services, boxes and a fault proxy.

    Args:
        folder: The folder for settings and logs.
        shape: The numbers and names of boxes, replicas and adapters.
        policy: Overrides of the boxes' policy settings.
        lease: Overrides of `FAST_LEASE`.
        proxied: Whether all connections go through the fault proxy.
        engine_settings: Overrides of the engines' settings.
        box_settings: Overrides of the boxes' settings, by section.
    """

    def __init__(
        self,
        folder: Path,
        shape: Shape,
        *,
        policy: dict[str, Any] | None = None,
        lease: dict[str, Any] | None = None,
        proxied: bool = False,
        engine_settings: dict[str, Any] | None = None,
        box_settings: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.shape = shape
        self.addresses = Addresses.for_shape(shape)
        self.writer = SettingsWriter(
            shape, self.addresses, policy=policy, lease={**FAST_LEASE, **(lease or {})}
        )
        self.processes = Processes(folder)
        self.pool = urllib3.PoolManager(retries=False, maxsize=64)
        self.threads = ThreadPoolExecutor(max_workers=64)
        self._engine_settings = engine_settings or {}
        self._box_settings = box_settings or {}
        self._routes: dict[str, str] = {}
        self._proxy_address = ""
        if proxied:
            self._plan_routes()

    # Start and stop.

    def start(self) -> None:
        self.start_outside()
        self.install_configuration()
        for name in self.shape.box_names:
            self.start_box(name)
        self.wait_ready()
        self.wait_settled()

    def wait_settled(self) -> None:
        """Wait until every replica is owned by the box that rendezvous hashing selects."""
        engines = self.shape.assign_zones(f"{self.shape.name}-engine", self.shape.engines)
        for engine, zone in engines.items():
            home = rendezvous_order(engine, self.boxes_in(zone))[0]
            wait_until(
                lambda engine=engine, home=home: self.owner_of(engine) == home,
                what=f"{engine} is owned by {home}",
            )
        self.wait_ready()

    def start_outside(self) -> None:
        self.processes.spawn("platform", ["standin", "platform"], self.writer.platform())
        for name in self.addresses.engines:
            self.start_engine(name)
        for name in self.addresses.services:
            self.processes.spawn(name, ["standin", "service"], self.writer.service(name))
        if self._routes:
            self.processes.spawn("proxy", ["standin", "proxy"], self._proxy_settings())

    def start_engine(self, name: str) -> None:
        settings = {**self.writer.engine(name), **self._engine_settings}
        self.processes.spawn(name, ["standin", "engine"], settings)

    def start_box(self, name: str) -> None:
        settings = self.writer.box(
            name,
            platform_address=self._routes.get(f"{name}>platform", ""),
            upstream_addresses={
                engine: self._routes.get(f"{name}>{engine}", address)
                for engine, address in {
                    **self.addresses.engines,
                    **self.addresses.services,
                }.items()
            },
        )
        for section, values in self._box_settings.items():
            settings[section] = {**settings[section], **values}
        if self._routes:
            settings["peers"]["reached_at"] = {
                other: self._routes[f"{name}>{other}"]
                for other in self.shape.box_names
                if other != name
            }
        self.processes.spawn(name, ["serve"], settings)

    def stop(self) -> None:
        super().stop()
        self.threads.shutdown(wait=False, cancel_futures=True)

    def install_configuration(self) -> None:
        platform = self.platform()
        transaction = first_configuration(self.shape.first_change())

        def _is_installed() -> bool:
            try:
                return platform.transact(transaction) is not None
            except PlatformUnavailable:
                return False

        wait_until(_is_installed, what="the platform accepts the first configuration")

    def platform(self) -> HttpPlatform:
        address = self.addresses.platform
        return HttpPlatform(
            PlatformSection(table_address=address, objects_address=address, list_address=address)
        )

    def wait_ready(self, boxes: list[str] | None = None) -> None:
        for name in boxes or self.shape.box_names:
            wait_until(
                lambda name=name: self.sees_all_replicas(name),
                within_s=START_TIMEOUT_S,
                what=f"{name} is ready and sees every replica",
            )

    def sees_all_replicas(self, box: str) -> bool:
        try:
            if self.get(box, "/readyz").status != 200:
                return False
            rows = self.ask(box, "show replicas").rows
        except (urllib3.exceptions.HTTPError, Exception):
            return False
        engines = [row for row in rows if row[0] in self.addresses.engines]
        return all(row[3] == "in service" and row[4] for row in engines)

    # Signals.

    def kill(self, name: str) -> None:
        self.processes.kill(name)

    def pause(self, name: str) -> None:
        self.processes.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        self.processes.signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        self.processes.signal(name, signal.SIGTERM)

    # Requests.

    def get(self, box: str, path: str) -> Reply:
        return self._call("GET", f"http://{self.addresses.callers[box]}{path}")

    def complete(
        self,
        box: str,
        adapter: int | str = 0,
        *,
        prompt: str = "hello",
        tokens: int = 5,
        stream: bool = False,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Reply:
        model = self.shape.model_name(adapter) if isinstance(adapter, int) else adapter
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream}
        url = f"http://{self.addresses.callers[box]}/v1/completions"
        return self._call("POST", url, json.dumps(body).encode(), headers, timeout_s)

    def service(
        self, box: str, path: str, *, method: str = "POST", headers: dict[str, str] | None = None
    ) -> Reply:
        url = f"http://{self.addresses.callers[box]}/services/{self.shape.service}/{path}"
        body = b"record" if method == "POST" else None
        return self._call(method, url, body, headers)

    def expected(self, adapter: int, prompt: str = "hello", tokens: int = 5) -> str:
        return expected_text(self.shape.model_name(adapter), prompt, tokens)

    def run_in_background(
        self, function: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> Future[Any]:
        return self.threads.submit(function, *args, **kwargs)

    def ask(
        self, box: str, statement: str, *, wait_s: float = 0.0, key: str = ""
    ) -> StatementAnswer:
        request = StatementRequest(
            statement=statement, command_id=os.urandom(8).hex(), wait_s=wait_s
        )
        return send_statement(self.addresses.operators[box], request, key=key or OPERATOR_KEY)

    def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Reply:
        response = self.pool.request(method, url, body=body, headers=headers, timeout=timeout_s)
        return Reply(response.status, response.headers, response.data)

    # Stand-ins.

    def fault(self, name: str, **fault: Any) -> None:
        """Set the fault of a stand-in; without arguments, clear it."""
        self._post(self.standin_address(name), "/standin/faults", fault)

    def cut(self, *routes: str, **fault: Any) -> None:
        """Set the fault of routes through the proxy; without a fault, clear it."""
        self._post(self._proxy_address, "/standin/faults", {"routes": list(routes), **fault})

    def restart_engine(self, name: str) -> None:
        self._post(self.standin_address(name), "/standin/restart", {})

    def standin_address(self, name: str) -> str:
        if name == "platform":
            return self.addresses.platform
        return {**self.addresses.engines, **self.addresses.services}[name]

    def counters(self, name: str) -> dict[str, Any]:
        return self._call("GET", f"http://{self.standin_address(name)}/standin/counters").json

    def runs(self) -> list[RunRecord]:
        records: list[RunRecord] = []
        for name in self.addresses.engines:
            reply = self._call("GET", f"http://{self.standin_address(name)}/standin/runs")
            records += msgspec.json.decode(reply.body, type=list[RunRecord])
        return records

    def runs_of(self, request_id: str) -> int:
        return sum(record.request_id == request_id for record in self.runs())

    def violations(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for name in [*self.addresses.engines, *self.addresses.services]:
            found.update(self.counters(name)["violations"])
        return found

    def owner_of(self, replica: str) -> str:
        """Return the owner of a replica according to the table; empty if there is none."""
        rows = self.platform().rows("replica/")
        for row in rows:
            if row.key.endswith(f"/{replica}"):
                return json.loads(row.value)[1]
        return ""

    def log(self, name: str) -> list[dict[str, Any]]:
        lines = []
        for line in self.processes.log(name).splitlines():
            if line.startswith("{"):
                lines.append(json.loads(line))
        return lines

    def metric(self, box: str, name: str) -> float:
        """Return the sum of a metric over its labels."""
        total = 0.0
        for line in self.get(box, "/metrics").body.decode().splitlines():
            if line.startswith((f"{name} ", f"{name}{{")):
                total += float(line.rpartition(" ")[2])
        return total

    def _post(self, address: str, path: str, body: dict[str, Any]) -> None:
        reply = self._call("POST", f"http://{address}{path}", json.dumps(body).encode())
        assert reply.status == 200, reply.body

    # The proxy.

    def routes(self, *, sources: list[str], targets: list[str]) -> list[str]:
        return [
            f"{source}>{target}"
            for source in sources
            for target in targets
            if f"{source}>{target}" in self._routes
        ]

    def boxes_in(self, zone: str) -> list[str]:
        return [name for name in self.shape.box_names if self.shape.zone_of_box(name) == zone]

    def upstreams_in(self, zone: str) -> list[str]:
        engines = self.shape.assign_zones(f"{self.shape.name}-engine", self.shape.engines)
        services = self.shape.assign_zones(f"{self.shape.name}-service", self.shape.services)
        return [name for name, there in {**engines, **services}.items() if there == zone]

    def routes_across_border(self, zone: str) -> list[str]:
        """Return every route into or out of a zone; the platform counts as outside."""
        inside = [*self.boxes_in(zone), *self.upstreams_in(zone)]
        crossing_routes = []
        for route in self._routes:
            source, _, target = route.partition(">")
            if (source in inside) != (target in inside):
                crossing_routes.append(route)
        return crossing_routes

    def _plan_routes(self) -> None:
        names = []
        for box in self.shape.box_names:
            targets = ["platform", *self.addresses.engines, *self.addresses.services]
            targets += [other for other in self.shape.box_names if other != box]
            names += [f"{box}>{target}" for target in targets]
        addresses = iter(free_addresses(len(names) + 1))
        self._proxy_address = next(addresses)
        self._routes = {name: next(addresses) for name in names}

    def _proxy_settings(self) -> dict[str, Any]:
        targets = {
            "platform": self.addresses.platform,
            **self.addresses.engines,
            **self.addresses.services,
            **self.addresses.peers,
        }
        routes = [
            {"name": name, "address": address, "target_address": targets[name.partition(">")[2]]}
            for name, address in self._routes.items()
        ]
        return {"address": self._proxy_address, "routes": routes}
