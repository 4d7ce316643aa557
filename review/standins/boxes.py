"""Starts entry boxes with the command of the deploy file, as the platform does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins import http1

ROOT = Path(__file__).resolve().parents[2]


def free_addresses(count: int) -> list[str]:
    """Return free addresses, with ports that the system gives to no outgoing connection."""
    addresses: list[str] = []
    while len(addresses) < count:
        address = f"127.0.0.1:{random.randrange(15_000, 32_000)}"
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", int(address.rpartition(":")[2])))
            except OSError:
                continue
        if address not in addresses:
            addresses.append(address)
    return addresses


def _python() -> tuple[str, dict[str, str]]:
    """Return the interpreter and the variables with which the deploy file's command runs."""
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    deps = ROOT / "target" / "deps"
    if deps.is_dir():
        return shutil.which("python3") or sys.executable, {**kept, "PYTHONPATH": str(deps)}
    return str(ROOT / ".venv" / "bin" / "python"), kept


class Box:
    """One entry box: its settings, process and addresses."""

    def __init__(
        self, name: str, zone: str, zones: tuple[str, ...], store: str, folder: Path
    ) -> None:
        self.name, self.zone, self.zones, self.store = name, zone, zones, store
        self.clients, self.readiness, self.links, self.metrics = free_addresses(4)
        self.path = folder / f"{name}.conf"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.seeds: list[str] = []

    def settings(self, *, first: bool) -> dict[str, Any]:
        """The settings that `deploy/entry.jsonc.template` gives for a small deployment."""
        return {
            "box": {
                "name": self.name,
                "availability_zone": self.zone,
                "zones": list(self.zones),
                "regions": dict.fromkeys(self.zones, "here"),
            },
            "listen": {
                "clients_address": self.clients,
                "readiness_address": self.readiness,
                "boxes_address": self.links,
                "metrics_address": self.metrics,
            },
            "store": {"address": self.store},
            "processor": {"share": 0.537, "speed": 2},
            "retries": {"ratio": 0.2, "allowance": 58, "window_s": 10},
            "placement": {"lease_s": 3.0, "checks_fence": True, "ceiling_ratio": 1.1},
            "keys": {"fail_closed": False},
            "quotas": {},
            "slow_start": {},
            "evacuation": {},
            "start": {"seeds": self.seeds, **({"first": True} if first else {})},
            "stop": {"within_s": 8},
        }

    def start(self, *, first: bool = False) -> None:
        self.path.write_text(json.dumps(self.settings(first=first), indent=1))
        python, variables = _python()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [python, "-m", "springrock", "entry"],
                cwd=ROOT,
                env={**variables, "SPRINGROCK_BOOT": str(self.path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self) -> bool:
        got = await http1.call(self.readiness, "GET", "/v1/readiness", {"Host": "b"}, timeout_s=1.0)
        return got.status == 200

    async def metric(self, name: str) -> float:
        got = await http1.call(self.metrics, "GET", "/metrics", {"Host": "b"}, timeout_s=1.0)
        for line in got.body.decode().splitlines():
            if line.startswith(f"{name} "):
                return float(line.rpartition(" ")[2])
        return 0.0

    async def places(self, zone: str) -> bool:
        return await self.metric(f'springrock_placement_placer{{zone="{zone}"}}') == 1.0


class CannotRun(Exception):
    """The case could not be brought about."""


async def wait_until(condition: Any, *, within_s: float, what: str) -> None:
    deadline = time.monotonic() + within_s
    while True:
        result = condition()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        if time.monotonic() > deadline:
            raise CannotRun(f"not within {within_s} s: {what}")
        await asyncio.sleep(0.05)


def new_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="springrock-review-"))
