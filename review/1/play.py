"""A late surplus answer to a request is taken for the answer to the same request, sent again.

One zone, two boxes, one engine with one place for adapters. In each round the box that places is
stopped with SIGTERM just after it had the engine unload an adapter. The other box still goes by the
engine's row, is answered 421, becomes the placer, has the adapter loaded again, and sends the same
request to the same engine again.
"""

import asyncio
import signal
from collections import Counter

from standins import boxes, case, http1
from standins.replicas import Engine, Replica

ROUNDS = 7
SENT_AFTER_S = (0.25, 0.3, 0.35)
SURPLUS_SHARE = 0.06
ROUTE = "minutes"


async def play(run: case.Case) -> None:
    engine = Engine(
        run.store, "engine-1", "language", "zone-a", note=run.note, adapter_slots=1, events=6
    )
    plain = Replica(run.store, "roster-1", "rosters", "zone-a", note=lambda text: None)
    await engine.start()
    await plain.start()
    # Streams that may not be resumed: each may run once at most.
    routes = [
        case.route(ROUTE, "streaming", "language", maxAttempts=1, gapAimMs=400),
        case.route("lookup", "safe", "rosters"),
    ]
    services = [case.engines("language", adapter_slots=1), case.plain("rosters")]
    run.configure(1, routes, services)
    await run.start_boxes(["zone-a", "zone-a"])
    statuses: dict[str, http1.Answer] = {}
    # Retries are shared out from the requests of the last window.
    for _ in range(12):
        for box in run.boxes:
            await asyncio.gather(
                *(run.send(box, f"/{ROUTE}/x", adapter="a1", quiet=True) for _ in range(10))
            )
        await asyncio.sleep(1.0)
    for number in range(1, ROUNDS + 1):
        run.note(f"round {number}")
        await _round(run, engine, statuses)
        _judge(run, engine, statuses)
        if run.broken:
            break
    counts = Counter(got.status for got in statuses.values())
    summary = (
        f"answers by status: {dict(counts)};"
        f" of {engine.answers_sent} answers of the engine {engine.surplus_sent} came twice"
    )
    run.note(summary)
    print(summary)
    if run.trouble and not engine.surplus_sent:
        raise boxes.CannotRun("no answer of the engine came twice")


async def _round(run: case.Case, engine: Engine, statuses: dict[str, http1.Answer]) -> None:
    placing = [box for box in run.boxes if await box.places("zone-a")]
    if len(placing) != 1:
        await asyncio.sleep(1.0)
        placing = [box for box in run.boxes if await box.places("zone-a")]
    if len(placing) != 1:
        raise boxes.CannotRun("no box, or more than one, says that it places")
    placer = placing[0]
    other = next(box for box in run.boxes if box is not placer)
    for _ in range(20):
        _, got = await run.send(other, f"/{ROUTE}/x", adapter="a1")
        if got.status == 200:
            break
        await asyncio.sleep(0.2)
    await engine.beat.wait()
    await asyncio.sleep(0.1)
    for _ in range(5):
        _, got = await run.send(placer, f"/{ROUTE}/x", adapter="a2")
        if got.status == 200:
            break
    if run.trouble:
        run.note(f"SIGTERM to {placer.name}, which places")
        placer.signal(signal.SIGTERM)
        engine.surplus_share, engine.surplus_of = SURPLUS_SHARE, frozenset({421})

    async def _send(after_s: float) -> None:
        await asyncio.sleep(after_s)
        request_id, got = await run.send(other, f"/{ROUTE}/x", adapter="a1")
        statuses[request_id] = got

    await asyncio.gather(*(_send(after_s) for after_s in SENT_AFTER_S))
    engine.surplus_of = frozenset()
    if run.trouble:
        await boxes.wait_until(
            lambda: not placer.running, within_s=10.0, what=f"{placer.name} has ended"
        )
        placer.start()
        await boxes.wait_until(placer.ready, within_s=15.0, what=f"{placer.name} is ready again")
        await asyncio.sleep(1.0)


def _judge(run: case.Case, engine: Engine, statuses: dict[str, http1.Answer]) -> None:
    """TWICE and REFUSED, as written."""
    for request_id, got in statuses.items():
        runs = engine.runs[request_id]
        if runs > 1:
            run.break_rule(f"TWICE: {request_id}, which may not be repeated, ran {runs} times")
        if runs and got.status in (408, 421, 429, 503):
            run.break_rule(f"REFUSED: {request_id} was answered {got.status} and ran")


case.main(play, __file__)
