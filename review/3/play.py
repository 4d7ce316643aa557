"""A box that has put a configuration in force passes a request on to a box that has not yet.

Two zones. Box A places zone-a and reads the store for all. In zone-b one box places, T, and the
other, B, relies on what T tells it. T is frozen, and a configuration moves a route to another
service. A has it in force at once, and a replica sees that. Then the replicas of that service
crash, and A passes the requests of the route on to B, which still routes them as before.
"""

import asyncio
import signal
import time

from standins import boxes, case
from standins.replicas import Engine, Replica

ROUNDS = 8
ROLLBACK_SLACK_S = 0.25
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
REQUESTS = 8


def services():
    return [
        case.plain("rosters-old"),
        case.plain("rosters-new"),
        case.engines("language", adapter_slots=2),
    ]


def routes(service):
    return [
        case.route("join", "unsafe", service, maxAttempts=1, timeoutMs=1000, targetLatencyMs=150),
        case.route("minutes", "streaming", "language", maxAttempts=1, gapAimMs=400),
    ]


async def play(run: case.Case) -> None:
    old = [
        Replica(run.store, f"old-{zone}", "rosters-old", zone, note=run.note)
        for zone in ("zone-a", "zone-b")
    ]
    for replica in old:
        await replica.start()
    for zone in ("zone-a", "zone-b"):
        await Engine(run.store, f"engine-{zone}", "language", zone, note=lambda text: None).start()
    run.configure(1, routes("rosters-old"), services())
    await run.start_boxes(["zone-a", "zone-b", "zone-b"])
    version = 1
    for number in range(1, ROUNDS + 1):
        run.note(f"round {number}")
        version = await _round(run, old, version)
        if run.broken:
            break


async def _round(run: case.Case, old: list[Replica], version: int) -> int:
    a = run.boxes[0]
    await boxes.wait_until(
        lambda: a.places("zone-a"), within_s=15.0, what=f"{a.name} places zone-a"
    )
    placing = [box for box in run.boxes[1:] if await box.places("zone-b")]
    if len(placing) != 1:
        raise boxes.CannotRun("not one box of zone-b places it")
    t = placing[0]
    b = next(box for box in run.boxes[1:] if box is not t)
    new = Replica(run.store, "new-zone-a", "rosters-new", "zone-a", note=run.note)
    await new.start()
    # All machines are in touch: nothing has disturbed them for `contactMs`.
    await asyncio.sleep(CONTACT_S + 1.0)
    if run.trouble:
        run.note(f"SIGSTOP to {t.name}, which places zone-b; {b.name} relies on it")
        t.signal(signal.SIGSTOP)
        await asyncio.sleep(0.05)
    version += 1
    run.configure(version, routes("rosters-new"), services())
    acknowledged_at = time.monotonic()
    # The first request that runs at the new service shows that A has the configuration in force.
    effect_at = None
    while effect_at is None and time.monotonic() < acknowledged_at + CONFIG_APPLY_S:
        request_id, _ = await run.send(a, "/join/x", deadline_ms=1000)
        if new.runs[request_id]:
            effect_at = time.monotonic()
            run.note(f"a replica has seen version {version} at work by way of {a.name}")
    if effect_at is None:
        raise boxes.CannotRun(f"{a.name} did not put version {version} in force in time")
    if run.trouble:
        run.note("the replicas of rosters-new crash")
        new.crash()
    await asyncio.sleep(max(0.0, effect_at + ROLLBACK_SLACK_S + 0.05 - time.monotonic()))
    sent = await asyncio.gather(*(_send_after(run, a, 0.1 * index) for index in range(REQUESTS)))
    _judge(run, a, old, version, sent)
    if run.trouble:
        t.signal(signal.SIGCONT)
        run.note(f"SIGCONT to {t.name}")
    run.store.remove("servers", new.id)
    if not run.trouble:
        new.crash()
    await asyncio.sleep(1.0)
    version += 1
    run.configure(version, routes("rosters-old"), services())
    await asyncio.sleep(3.0)
    return version


async def _send_after(run: case.Case, box: boxes.Box, after_s: float) -> str:
    await asyncio.sleep(after_s)
    request_id, _ = await run.send(box, "/join/x", deadline_ms=1000)
    return request_id


def _judge(run: case.Case, a: boxes.Box, old: list[Replica], version: int, sent: list[str]) -> None:
    """CONFIG, as written: no request of one machine's process goes back behind what it showed."""
    for request_id in sent:
        for replica in old:
            if replica.runs[request_id]:
                run.break_rule(
                    f"CONFIG: {request_id}, sent to {a.name} over {ROLLBACK_SLACK_S} s after a"
                    f" replica saw its version {version}, was run by {replica.name}, as only"
                    " older versions allow"
                )


case.main(play, __file__)
