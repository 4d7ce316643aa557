"""A replica's answer with a malformed head reaches the client as a success.

One box, one plain service with two replicas. In a few answers of a replica one byte of the head is
wrong: the colon of a header line, so that the bytes form no answer of the protocol. Answers now and
then carry `Connection: close`, as those of sound replicas do.
"""

import asyncio
import random
from collections import Counter

from standins import case, http1
from standins.replicas import Engine, Replica

REQUESTS = 800
SPOILT_SHARE = 0.05
CLOSING_SHARE = 0.2


class Spoiling(Replica):
    """A replica that spoils some of its answers by one byte."""

    spoils = False
    spoilt = 0

    def __init__(self, *args, **kw):
        super().__init__(*args, **kw)
        self.rng = random.Random(self.name)
        self.bodies: dict[str, bytes] = {}

    async def run(self, request, connection, headers):
        await asyncio.sleep(self.work_s)
        request_id = headers["Springrock-Request-Id"]
        seal = headers["Springrock-Response-Seal"]
        body = f"{self.service} {request.target} {len(request.body)} {request_id}".encode()
        self.bodies[seal] = body
        closes = self.rng.random() < CLOSING_SHARE
        in_chunks = self.rng.random() < 0.5
        framing = "Transfer-Encoding" if in_chunks else "Content-Length"
        head = http1.head(
            200,
            {
                "Springrock-Request-Id": request_id,
                "Date": "Fri, 04 Dec 2026 00:00:00 GMT",
                "Springrock-Response-Seal": seal,
                framing: "chunked" if in_chunks else str(len(body)),
                **({"Connection": "close"} if closes else {}),
            },
        )
        if self.spoils and self.rng.random() < SPOILT_SHARE:
            self.spoilt += 1
            line = self.rng.choice(["Date", "Springrock-Response-Seal", framing])
            head = head.replace(f"{line}:".encode(), f"{line}\x1a".encode(), 1)
            ends = ", and closes" if closes else ""
            self.note(f"{self.name} answers {request_id} with a wrong byte in {line}{ends}")
        await connection.write(head + (http1.chunk(body) + b"0\r\n\r\n" if in_chunks else body))
        if closes:
            connection.writer.close()


async def play(run: case.Case) -> None:
    replicas = [
        Spoiling(run.store, f"roster-{number}", "rosters", "zone-a", note=run.note)
        for number in ("1", "2")
    ]
    for replica in replicas:
        await replica.start()
        replica.spoils = run.trouble
    await Engine(run.store, "engine-1", "language", "zone-a", note=lambda text: None).start()
    routes = [
        case.route("lookup", "safe", "rosters", timeoutMs=1000, targetLatencyMs=150),
        case.route("join", "unsafe", "rosters", maxAttempts=1, timeoutMs=1000, targetLatencyMs=150),
    ]
    services = [case.plain("rosters"), case.engines("language", adapter_slots=2)]
    run.configure(1, routes, services)
    await run.start_boxes(["zone-a"])
    statuses: Counter[int] = Counter()
    for number in range(REQUESTS // 10):
        path = "/join/x" if number % 2 else "/lookup/x"
        sent = await asyncio.gather(
            *(run.send(run.boxes[0], path, deadline_ms=1000) for _ in range(10))
        )
        for request_id, got in sent:
            statuses[got.status] += 1
            _judge(run, replicas, request_id, got)
        await asyncio.sleep(0.1)
    spoilt = sum(replica.spoilt for replica in replicas)
    summary = f"answers by status: {dict(statuses)}; {spoilt} answers of the replicas were spoilt"
    run.note(summary)
    print(summary)


def _judge(run: case.Case, replicas: list[Spoiling], request_id: str, got: http1.Answer) -> None:
    """MIXED, as written: a success has the seal and the whole body of a replica that ran it."""
    if not 200 <= got.status < 300:
        return
    bodies = {seal: body for replica in replicas for seal, body in replica.bodies.items()}
    seal = got.headers.get("springrock-response-seal", "")
    if not seal.endswith(request_id) or seal not in bodies:
        run.break_rule(f"MIXED: the client received {got.status} for {request_id}, seal {seal!r}")
    elif got.complete and got.body != bodies[seal]:
        run.break_rule(
            f"MIXED: the client received {got.status} for {request_id} with the replica's seal and"
            f" the body {got.body!r}"
        )


case.main(play, __file__)
