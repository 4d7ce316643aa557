"""Starts a small deployment on loopback with the commands of the deploy file, for review cases."""

from __future__ import annotations

import base64
import http.client
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "orders.example"

LIMIT_S = 115
"""A case that takes longer could not run."""


class CannotRun(Exception):
    """The case could not run."""


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


class Deployment:
    """The processes of a case, and the record of what they did."""

    def __init__(self, case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.boxes: dict[str, dict[str, Any]] = {}
        self.addresses: dict[str, str] = {}
        self.started_at = time.monotonic()
        self._record = (case / "record.txt").open("w")
        self._version = 0
        self.max_fds = 0
        """The descriptors that the platform gives to each box; 0 for the machine's own limit."""

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self._record.flush()

    def close(self) -> None:
        """End all processes that this case started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # Processes.

    def spawn(
        self, name: str, words: list[str], variables: dict[str, str], *, max_fds: int = 0
    ) -> None:
        def _limit() -> None:
            if max_fds:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps"), **variables}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log, preexec_fn=_limit
            )

    def standin(self, name: str, kind: str, **settings: Any) -> None:
        """Start one of the project's stand-ins."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.addresses[name] = settings["address"]
        self.spawn(name, ["python3", "-m", "springrock", "standin", kind, str(path)], {})
        self.note(f"started the stand-in {name}")

    def store(self) -> None:
        """Start the stand-in of the platform's store."""
        self.standin("store", "rowstore", address=free_addresses(1)[0], tells_era=False)

    def replica(self, name: str, service: str, zone: str, **settings: Any) -> None:
        """Start the stand-in of a replica."""
        self.standin(
            name,
            "replica",
            address=settings.pop("address", None) or free_addresses(1)[0],
            service=service,
            store_address=self.addresses["store"],
            availability_zone=zone,
            needs_instance=False,
            **settings,
        )

    def box_settings(self, name: str, zone: str, zones: dict[str, str]) -> Path:
        """Write the settings file of a box, as the template of the deploy file lays it out."""
        clients, ready, control, metrics = free_addresses(4)
        self.boxes[name] = {"clients": clients, "ready": ready, "metrics": metrics, "zone": zone}
        self.boxes[name]["control"] = control
        path = self.folder / f"{name}.conf"
        path.write_text(
            json.dumps(
                {
                    "box": {
                        "name": name,
                        "availability_zone": zone,
                        "zones": list(zones),
                        "regions": zones,
                    },
                    "listen": {
                        "clients_address": clients,
                        "readiness_address": ready,
                        "boxes_address": control,
                        "metrics_address": metrics,
                    },
                    "store": {"address": self.addresses["store"]},
                    "processor": {"share": 0.537, "speed": 2},
                    "retries": {"ratio": 0.2, "allowance": 58, "window_s": 10},
                    "placement": {"lease_s": 3.0, "checks_fence": True, "ceiling_ratio": 1.1},
                    "keys": {"fail_closed": False},
                    "quotas": {},
                    "slow_start": {},
                    "evacuation": {},
                    "start": {
                        "seeds": [box["control"] for box in self.boxes.values()][:3],
                        "first": True,
                    },
                    "stop": {"within_s": 8},
                }
            )
        )
        return path

    def box(self, name: str, zone: str, zones: dict[str, str]) -> None:
        """Start a box with the command of the deploy file."""
        path = self.box_settings(name, zone, zones)
        self.start_box(name, path)

    def start_box(self, name: str, path: Path) -> None:
        """Start a box with a settings file."""
        command = ["python3", "-m", "springrock", "entry"]
        self.spawn(name, command, {"SPRINGROCK_BOOT": str(path)}, max_fds=self.max_fds)
        self.note(f"started the box {name}")

    # The operator and the platform.

    def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]], **more: Any
    ) -> None:
        """Write a configuration, which the store acknowledges."""
        self._version += 7
        value = {"version": self._version, "routes": routes, "services": services, **more}
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        put = [{"table": "op", "key": "config", "value": encoded}]
        self.wait(lambda: self._post("store", "/standin/transaction", {"put": put}), "a store")
        self.note(f"the store acknowledged the configuration {self._version}")

    def fault(self, name: str, **fault: Any) -> None:
        """Set the behaviour of a stand-in."""
        if not self._post(name, "/standin/faults", fault):
            raise CannotRun(f"{name} took no fault")

    def counters(self, name: str) -> dict[str, Any]:
        """Return what a replica stand-in counted."""
        connection = self._connect(self.addresses[name], 3.0)
        try:
            connection.request("GET", "/standin/counters")
            found: dict[str, Any] = json.loads(connection.getresponse().read())
        finally:
            connection.close()
        return found

    def is_ready(self, box: str) -> bool:
        """Ask a box as the balancer does."""
        return self._status(self.boxes[box]["ready"], "/v1/readiness") == 200

    def wait(self, condition: Any, what: str, within_s: float = 30.0) -> None:
        """Wait until a condition holds."""
        ends_at = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRun(f"waited in vain for {what}")
            time.sleep(0.05)

    def log(self, name: str) -> str:
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text()

    @staticmethod
    def _connect(address: str, timeout_s: float) -> http.client.HTTPConnection:
        host, _, port = address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=timeout_s)

    def _status(self, address: str, path: str) -> int:
        connection = self._connect(address, 1.0)
        try:
            connection.request("GET", path)
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def _post(self, name: str, path: str, value: dict[str, Any]) -> bool:
        connection = self._connect(self.addresses[name], 3.0)
        try:
            connection.request("POST", path, body=json.dumps(value))
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        **fields,
    }


def run_case(case: Path, play: Callable[..., int]) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    def _stop(number: int, frame: object) -> None:
        raise CannotRun(f"ended by signal {number}")

    signal.signal(signal.SIGALRM, _stop)
    signal.signal(signal.SIGTERM, _stop)
    signal.alarm(LIMIT_S)
    world = Deployment(case)
    try:
        return play(world, trouble=os.environ.get("TROUBLE", "1") != "0")
    except Exception:
        world.note(f"could not run: {traceback.format_exc()}")
        return 2
    finally:
        signal.alarm(0)
        world.close()
