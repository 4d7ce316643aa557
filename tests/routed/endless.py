"""A box whose replicas send answers without end, and the callers of such a box."""

from __future__ import annotations

import contextlib
import http.client
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.emulator.endless import EndlessPart
from tests.routed.deployment import REPLICAS, Answer, Deployment

DEADLINE_S = 2.0
ANSWERED_WITHIN_S = DEADLINE_S + 0.5
SERVED_WITHIN_S = 1.0
"""The targets of the routes."""

MAX_MEMORY_MB = 160
"""The smallest boxes have this much."""

CALLERS = 6
READ_BYTES = 65_536
PLAIN_PARTS = [part for part in EndlessPart if part not in (EndlessPart.EVENT, EndlessPart.EVENTS)]
PAUSES_MS = (0.0, 20.0)
"""Bytes that come as fast as they are read, and bytes that come one by one."""


class BeginningOnly(http.client.HTTPResponse):
    """A response of which only the beginning is parsed, so that its reader keeps pace with it."""

    def read(self, amt: int | None = None) -> bytes:
        kept = bytearray()
        while len(kept) < READ_BYTES:
            data = self.read1(READ_BYTES)
            if not data and self.length:
                raise http.client.IncompleteRead(bytes(kept), self.length)
            if not data:
                return bytes(kept)
            kept += data
        while self.fp.read1(READ_BYTES):
            continue
        raise http.client.IncompleteRead(bytes(kept))


class Call(NamedTuple):
    """A request's answer, and how long it took."""

    answer: Answer
    took_s: float

    @property
    def is_whole(self) -> bool:
        return self.answer.status == 200 and self.answer.is_complete


@contextlib.contextmanager
def running(folder: Path) -> Iterator[Deployment]:
    """Run one box with two plain replicas and an engine."""
    with Deployment(folder, boxes=1, zones=("zone-1",)) as deployment:
        deployment.start_replica("rosters-2", "rosters", "zone-1")
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS - 1)
        yield deployment


def call(
    deployment: Deployment,
    path: str,
    *,
    deadline_s: float = DEADLINE_S,
    adapter: str = "",
    whole: bool = False,
) -> Call:
    """Send a request; a connection that ends without an answer counts as status 0."""
    connection = deployment.connect("box-1")
    if not whole:
        connection.response_class = BeginningOnly
    sent_at = monotonic()
    try:
        answer = deployment.send(
            "box-1",
            path,
            deadline_ms=round(deadline_s * 1000),
            adapter=adapter,
            connection=connection,
        )
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(0, {}, repr(error).encode(), is_complete=False)
    return Call(answer, monotonic() - sent_at)


def memory_mb(deployment: Deployment) -> float:
    """Return the most memory that the box has held since its start."""
    status = Path(f"/proc/{deployment.processes['box-1'].pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024
