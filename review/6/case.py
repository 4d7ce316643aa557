"""SIGTERM of a box while requests wait in it for a place of their adapter."""

from __future__ import annotations

import http.client
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2.deployment import HOST, Deployment, route, run_case  # noqa: E402

ZONE = "zone-a"
ENGINES = (1, 2, 3, 4)
LANES = 11
BATCH = 3
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
TARGET_MS = 2000
DEADLINE_S = 10.0
GIVES_UP_AFTER_S = 4 * TARGET_MS / 1000
"""The longest gap that a client of a stream waits: four times the objective."""

ROUTES = [
    route(
        "order-confirm",
        "streaming",
        "baker-assist",
        resumable=True,
        priority=0,
        timeoutMs=10000,
        targetLatencyMs=TARGET_MS,
        gapAimMs=500,
        maxAttempts=2,
    ),
    route(
        "confirm-batch",
        "streaming",
        "baker-assist",
        resumable=True,
        priority=2,
        timeoutMs=10000,
        targetLatencyMs=TARGET_MS,
        gapAimMs=500,
        maxAttempts=2,
    ),
]
SERVICES = [
    {
        "name": "baker-assist",
        "maxConnections": 560,
        "engine": {
            "slots": 12,
            "adapterSlots": 2,
            "loadsPerS": 37,
            "models": [{"name": "base", "adapters": 10000}],
        },
    }
]


class Client(threading.Thread):
    """Sends one request and notes how it ends."""

    def __init__(self, world: Deployment, box: str, path: str, adapter: str, number: int) -> None:
        super().__init__(daemon=True)
        self.world, self.box, self.path, self.adapter = world, box, path, adapter
        self.request_id = f"{number:016x}"
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.end = ""

    def run(self) -> None:
        host, _, port = self.world.boxes[self.box]["clients"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=GIVES_UP_AFTER_S)
        try:
            connection.connect()
            self.sent_at = time.monotonic()
            connection.request(
                "POST",
                f"/{self.path}/x",
                body=b"draft",
                headers={
                    "Host": HOST,
                    "Springrock-Request-Id": self.request_id,
                    "Springrock-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    "Springrock-Model": f"base/{self.adapter}",
                    "Springrock-Token-Count": "650,70",
                    "Springrock-Prompt-Prefix": f"{self.request_id}:650",
                },
            )
            response = connection.getresponse()
            self.status = response.status
            response.read()
            self.end = "whole"
        except TimeoutError:
            self.end = "the client gave up"
        except (OSError, http.client.HTTPException) as error:
            self.end = f"connection ended: {type(error).__name__}"
        finally:
            self.ended_at = time.monotonic()
            connection.close()
        if self.path == "confirm-batch":
            took = self.ended_at - self.sent_at
            self.world.note(
                f"{self.path} {self.request_id} to {self.box}: {self.status or 'no answer'},"
                f" {self.end}, {took:.3f} s after it was sent"
            )


def usual_load(world: Deployment, stop: threading.Event, lane: int) -> None:
    """Ask for one adapter after the other at the box that stays."""
    number = 0
    while not stop.is_set():
        number += 1
        adapter = f"a{100 + lane * 1000 + number}"
        client = Client(world, "box-2", "order-confirm", adapter, 1_000_000 * (lane + 1) + number)
        client.start()
        client.join()
        if client.status != 200:
            time.sleep(0.1)


def play(world: Deployment, *, trouble: bool) -> int:
    world.store()
    for number in ENGINES:
        world.replica(
            f"engine-{number}",
            "baker-assist",
            ZONE,
            base_model="base",
            adapter_slots=2,
            load_s=0.288,
            events=10,
            event_pause_ms=100.0,
        )
    world.configure(ROUTES, SERVICES)
    for box in ("box-1", "box-2"):
        world.box(box, ZONE, {ZONE: "region-a"})
    for box in ("box-1", "box-2"):
        world.wait(lambda box=box: world.is_ready(box), f"{box} is ready")
    time.sleep(3.0)
    stop = threading.Event()
    lanes = [
        threading.Thread(target=usual_load, args=(world, stop, lane), daemon=True)
        for lane in range(LANES)
    ]
    for lane in lanes:
        lane.start()
    time.sleep(6.0)
    began_at = time.monotonic()
    if trouble:
        world.processes["box-1"].send_signal(signal.SIGTERM)
        world.note("SIGTERM to box-1")
    batch: list[Client] = []
    # The balancer asks once a second and takes a box out when it has missed twice.
    for number in range(BATCH):
        time.sleep(max(0.0, began_at + 1.3 + number * 0.2 - time.monotonic()))
        client = Client(world, "box-1", "confirm-batch", f"a{number + 1}", number + 1)
        client.start()
        batch.append(client)
    for client in batch:
        client.join()
    stop.set()
    ended = world.processes["box-1"].poll()
    world.note(f"box-1 has ended: {ended}")
    ran = set()
    for number in ENGINES:
        ran |= set(world.counters(f"engine-{number}")["runs"])
    lost = []
    for client in batch:
        waited_s = client.ended_at - client.sent_at
        never_answered = client.end.startswith("connection ended")
        if client.sent_at and never_answered and waited_s > LOSS_SLACK_S and waited_s < DEADLINE_S:
            after_s = client.ended_at - began_at
            if after_s <= GRACE_S + 1.0 and client.request_id not in ran:
                lost.append(client.request_id)
    world.note(f"requests read, never sent to a replica, and ended without an answer: {lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
