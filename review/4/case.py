"""A configuration raises `maxBodyBytes` while a request with a longer body is on its way in."""

from __future__ import annotations

import re
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2.deployment import HOST, Deployment, route, run_case  # noqa: E402

ZONE = "zone-a"
BOXES = ("box-1", "box-2")
BEFORE_BYTES = 1_048_576
AFTER_BYTES = 4_194_304
BODY_BYTES = 2_000_000
MBIT_S = 10.0
"""The link of a small machine on the users' pages."""

ROUTES = [
    route(
        "place-order",
        "unsafe",
        "order-desk",
        priority=1,
        timeoutMs=10000,
        targetLatencyMs=2000,
        maxAttempts=1,
    )
]
SERVICES = [{"name": "order-desk", "maxConnections": 500}]


def limits(body_bytes: int) -> dict[str, int]:
    """Return the limits of a configuration."""
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": body_bytes,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 15000,
    }


def send(world: Deployment, box: str, number: int, body_bytes: int) -> tuple[int, str]:
    """Send a request as fast as the link lets it; return the status and the body of the answer."""
    host, _, port = world.boxes[box]["clients"].rpartition(":")
    head = (
        f"POST /place-order/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Springrock-Request-Id: {number:016x}\r\nSpringrock-Deadline-Ms: 10000\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), timeout=10.0) as connection:
        connection.sendall(head.encode())
        answer = b""
        began_at = time.monotonic()
        sent = 0
        try:
            while sent < body_bytes:
                due = int((time.monotonic() - began_at + 0.02) * MBIT_S * 125_000)
                if due > sent:
                    size = min(due, body_bytes) - sent
                    connection.sendall(b"o" * size)
                    sent += size
                time.sleep(0.01)
        except OSError:
            pass  # The box may answer and close before it has read all of the body.
        try:
            while data := connection.recv(65536):
                answer += data
                if re.search(rb"\r\n\r\n.*\S\s*$", answer, re.DOTALL):
                    break
        except OSError:
            pass
    world.note(f"request {number:016x} to {box}: sent {sent} of {body_bytes} bytes of its body")
    head_bytes, _, content = answer.partition(b"\r\n\r\n")
    status = int(head_bytes.split(b" ", 2)[1]) if head_bytes else 0
    return status, content.decode("latin-1")


def play(world: Deployment, *, trouble: bool) -> int:
    world.store()
    for number in (1, 2):
        world.replica(f"desk-{number}", "order-desk", ZONE, work_ms=45.0)
    world.configure(ROUTES, SERVICES, limits=limits(BEFORE_BYTES if trouble else AFTER_BYTES))
    for box in BOXES:
        world.box(box, ZONE, {ZONE: "region-a"})
    for box in BOXES:
        world.wait(lambda box=box: world.is_ready(box), f"{box} is ready")
    time.sleep(4.0)
    changed = 0
    for number in range(1, 9):
        box = BOXES[number % len(BOXES)]
        if trouble:
            if number > 1:
                world.configure(ROUTES, SERVICES, limits=limits(BEFORE_BYTES))
                time.sleep(3.0)
            world.configure(ROUTES, SERVICES, limits=limits(AFTER_BYTES))
        status, content = send(world, box, number, BODY_BYTES)
        world.note(f"  answered {status or 'nothing'}: {content.strip()!r}")
        request = f"{number:016x}"
        ran = sum(world.counters(name)["runs"].get(request, 0) for name in ("desk-1", "desk-2"))
        received = re.search(r"/place-order/x (\d+)", content)
        if ran and received and int(received[1]) != BODY_BYTES:
            changed += 1
            world.note(f"  a replica ran it with {received[1]} bytes of its {BODY_BYTES}")
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
