"""Runs a case: the record, the time limit, the end of all processes, and the exit code."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins import boxes, http1
from standins.replicas import BASE_MODEL
from standins.store import Store

HOST = "calls.example"
TIME_LIMIT_S = 110.0
HARD_LIMIT_S = 117


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }


def plain(name: str) -> dict[str, Any]:
    return {"name": name, "healthPath": "/health", "maxConnections": 100}


def engines(name: str, *, adapter_slots: int) -> dict[str, Any]:
    model = {"name": BASE_MODEL, "weightsMb": 16100, "loadS": 0.6, "adapters": 100, "adapterMb": 14}
    engine = {
        "slots": 96,
        "adapterSlots": adapter_slots,
        "weightsMb": 16500,
        "loadsPerS": 2.1,
        "kvCapacityTokens": 122543,
        "models": [model],
    }
    return {**plain(name), "maxConnections": 500, "engine": engine}


class Case:
    """What a case has at hand: the store, the boxes and the record."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = boxes.new_folder()
        self.store = Store()
        self.boxes: list[boxes.Box] = []
        self.broken: list[str] = []
        self._record = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self._requests = 0

    def note(self, text: str) -> None:
        self._record.write(f"{time.monotonic() - self._began:9.4f} {text}\n")
        self._record.flush()

    def break_rule(self, text: str) -> None:
        self.broken.append(text)
        self.note(f"BROKEN: {text}")

    def configure(self, version: int, routes: list[Any], services: list[Any]) -> None:
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        }
        value = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.put("op", "config", value)
        self.note(f"the operator's configuration {version} is acknowledged")

    async def start_boxes(self, zones: list[str]) -> None:
        """Start one box for each entry, and wait until all are ready."""
        names = tuple(sorted(set(zones)))
        for number, zone in enumerate(zones, start=1):
            name = f"front-{zone}-{number}"
            box = boxes.Box(name, zone, names, self.store.address, self.folder)
            self.boxes.append(box)
        for box in self.boxes:
            box.seeds = [other.links for other in self.boxes][:3]
            box.start(first=True)
        for box in self.boxes:
            await boxes.wait_until(box.ready, within_s=20.0, what=f"{box.name} is ready")
        self.note("all boxes are ready")

    def new_id(self) -> str:
        self._requests += 1
        return f"{self._requests:016x}"

    async def send(
        self,
        box: boxes.Box,
        path: str,
        *,
        adapter: str = "",
        deadline_ms: int = 5000,
        request_id: str = "",
        quiet: bool = False,
    ) -> tuple[str, http1.Answer]:
        """Send one try of a client; return its id and the answer."""
        request_id = request_id or self.new_id()
        headers = {
            "Host": HOST,
            "Springrock-Request-Id": request_id,
            "Springrock-Deadline-Ms": str(deadline_ms),
        }
        if adapter:
            headers["Springrock-Model"] = f"{BASE_MODEL}/{adapter}"
            headers["Springrock-Token-Count"] = "40,16"
            headers["Springrock-Prompt-Prefix"] = f"{request_id}:40"
        if not quiet:
            self.note(f"client sends {request_id} {path} {adapter} to {box.name}")
        got = await http1.call(
            box.clients, "POST", path, headers, b"hello", timeout_s=deadline_ms / 1000 + 1
        )
        if not quiet:
            whole = "whole" if got.complete else "not whole"
            body = got.body[:60] if got.status != 200 else b""
            self.note(f"client gets {got.status} ({whole}) for {request_id} {body!r}")
        return request_id, got

    def end_boxes(self) -> None:
        for box in self.boxes:
            box.end()

    def close(self) -> None:
        self.end_boxes()
        for box in self.boxes:
            if os.environ.get("KEEP_LOGS"):
                print(box.log_path)
        self._record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play: Callable[[Case], Awaitable[None]], file: str) -> None:
    """Play a case; exit with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    # A case that is ended from outside ends its boxes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    case = Case(Path(file).resolve().parent)

    def _end_now(*_: object) -> None:
        case.end_boxes()
        os._exit(1 if case.broken else 2)

    signal.signal(signal.SIGALRM, _end_now)
    signal.alarm(HARD_LIMIT_S)
    try:
        code = _run(play, case)
    finally:
        case.close()
    sys.exit(code)


def _run(play: Callable[[Case], Awaitable[None]], case: Case) -> int:
    """Play a case and return the exit code."""

    async def _play() -> None:
        async with asyncio.timeout(TIME_LIMIT_S):
            try:
                await case.store.start()
                await play(case)
            finally:
                # Their connections would keep the stand-ins' tasks from ending.
                case.end_boxes()

    try:
        asyncio.run(_play())
        code = 1 if case.broken else 0
    except (boxes.CannotRun, TimeoutError) as error:
        case.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = 1 if case.broken else 2
    except Exception:
        case.note(traceback.format_exc())
        traceback.print_exc()
        code = 2
    case.note(f"exit {code}: {len(case.broken)} breaches")
    for text in case.broken[:10]:
        print(f"BROKEN: {text}")
    print(f"exit {code}, trouble {'on' if case.trouble else 'off'}")
    return code
