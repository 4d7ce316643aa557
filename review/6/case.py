"""A replica turns slow in the middle of a stream; its run goes on beside that of another one."""

from __future__ import annotations

import http.client
import json
import os
import sys
import threading
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2.deployment import (  # noqa: E402
    HOST,
    CannotRun,
    Deployment,
    free_addresses,
    route,
)

ZONE = "zone-a"
ENGINES = [f"engine-{number}" for number in range(1, 8)]
SLOWNESS = 5.0
SLOW_S = 6.5
OVERLAP_S = 0.4
ROUNDS = 3
ROUTES = [
    route(
        "order-confirm",
        "streaming",
        "baker-assist",
        resumable=True,
        priority=1,
        timeoutMs=10000,
        targetLatencyMs=1000,
        gapAimMs=500,
        maxAttempts=2,
    )
]
SERVICES = [
    {
        "name": "baker-assist",
        "maxConnections": 560,
        "engine": {
            "slots": 12,
            "adapterSlots": 8,
            "loadsPerS": 37,
            "models": [{"name": "base", "adapters": 10000}],
        },
    }
]


def call(address: str, method: str, path: str, value: Any = None) -> Any:
    """Call the control interface of a stand-in."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
    try:
        connection.request(method, path, body=None if value is None else json.dumps(value))
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def send(
    world: Deployment, number: int, outcome: list[str], third_event: threading.Event
) -> None:
    """Send one request to box-1 and read its stream."""
    host, _, port = world.boxes["box-1"]["clients"].rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10.0)
    headers = {
        "Host": HOST,
        "Springrock-Request-Id": f"{number:016x}",
        "Springrock-Deadline-Ms": "10000",
        "Springrock-Model": "base",
        "Springrock-Token-Count": "2390,56",
        "Springrock-Prompt-Prefix": f"{number:x}:2390",
    }
    try:
        connection.request("POST", "/order-confirm/x", body=b"draft", headers=headers)
        response = connection.getresponse()
        ids: list[str] = []
        while line := response.readline().decode():
            if line.startswith("id: "):
                ids.append(line[4:].strip())
                if len(ids) == 3:
                    third_event.set()
        outcome.append(f"{response.status}, events {','.join(ids)}")
    except (OSError, http.client.HTTPException) as error:
        outcome.append(f"{type(error).__name__}")
    finally:
        third_event.set()
        connection.close()


def play(world: Deployment, *, trouble: bool) -> int:
    world.store()
    for name in ENGINES:
        world.addresses[name] = free_addresses(1)[0]
        settings = {
            "name": name,
            "address": world.addresses[name],
            "store": world.addresses["store"],
            "zone": ZONE,
            "service": "baker-assist",
        }
        world.spawn(name, ["python3", str(HERE / "engine.py"), json.dumps(settings)], {})
    world.configure(ROUTES, SERVICES)
    for box in ("box-1", "box-2"):
        world.box(box, ZONE, {ZONE: "region-a"})
    for box in ("box-1", "box-2"):
        world.wait(lambda box=box: world.is_ready(box), f"{box} is ready")
    time.sleep(4.0)
    for number in range(1, ROUNDS + 1):
        request = f"{number:016x}"
        outcome: list[str] = []
        third_event = threading.Event()
        client = threading.Thread(target=send, args=(world, number, outcome, third_event))
        client.start()
        third_event.wait()
        running = [
            name
            for name in ENGINES
            for run in call(world.addresses[name], "GET", "/standin/runs")
            if run["request"] == request
        ]
        if len(running) != 1:
            raise CannotRun(f"the request runs at {running}")
        if trouble:
            call(world.addresses[running[0]], "POST", "/standin/slow", {"x": SLOWNESS})
            world.note(f"{running[0]} works {SLOWNESS} times as long from now on")
        slow_at = time.monotonic()
        client.join()
        world.note(f"request {request}: {outcome[0]}")
        time.sleep(max(0.0, slow_at + SLOW_S - time.monotonic()))
        call(world.addresses[running[0]], "POST", "/standin/slow", {"x": 1.0})
        time.sleep(1.0)
    return judge(world)


def judge(world: Deployment) -> int:
    """Return 1 if a request continued at a replica and an earlier one still worked on it."""
    by_request: dict[str, list[tuple[str, dict[str, Any]]]] = {}
    for name in ENGINES:
        for run in call(world.addresses[name], "GET", "/standin/runs"):
            by_request.setdefault(run["request"], []).append((name, run))
    broken = 0
    for request, runs in sorted(by_request.items()):
        runs.sort(key=lambda item: item[1]["arrived"])
        zero = runs[0][1]["arrived"]
        for name, run in runs:
            times = [
                "never" if run[key] is None else f"{run[key] - zero:.3f} s"
                for key in ("arrived", "begin", "end")
            ]
            world.note(
                f"request {request} at {name} from event {run['from']}: arrived {times[0]},"
                f" began {times[1]}, ended {times[2]} ({run.get('how')})"
            )
        for (_, earlier), (name, later) in zip(runs, runs[1:], strict=False):
            if later["begin"] is None:
                continue
            at = later["begin"] + OVERLAP_S
            if (later["end"] or at) >= at and (earlier["end"] is None or earlier["end"] > at):
                broken += 1
                over = (earlier["end"] or at) - later["begin"]
                world.note(f"  both worked on it for {over:.3f} s after it began at {name}")
    return 1 if broken else 0


def main() -> int:
    world = Deployment(HERE)
    try:
        return play(world, trouble=os.environ.get("TROUBLE", "1") != "0")
    except CannotRun as error:
        world.note(f"could not run: {error}")
        return 2
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(main())
