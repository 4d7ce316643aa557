"""Measures the cost of one entry hop: processor time of each chunk and request, and idle memory.

Run: python -m bench.hop
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from bench.meter import call_many, cpu_s, resident_mb
from springrock.emulator.deployment import Shape
from tests.cluster import Cluster

BOX = "zone-1-a"
_STREAMS = 16
_CHUNKS = 18_000
_REQUESTS = 2_000
_IDLE_S = 5.0


class HopCost(NamedTuple):
    """The cost of one hop.

    Attributes:
        idle_mb: Resident memory of an idle box.
        idle_cpu_share: Fraction of a core that an idle box uses.
        chunk_us: Processor time of each chunk of a stream in microseconds.
        request_us: Processor time of each request in microseconds.
        loaded_mb: Resident memory after the load.
    """

    idle_mb: float
    idle_cpu_share: float
    chunk_us: float
    request_us: float
    loaded_mb: float


def measure() -> HopCost:
    """Measure with one box, one engine, and this process as the caller."""
    shape = Shape.from_small(zones=1, boxes_per_zone=1, engines=1)
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder), shape) as cluster:
        pid = cluster.processes[BOX].pid
        cluster.complete(BOX, 0)
        idle_mb = resident_mb(pid)
        before = cpu_s(pid)
        time.sleep(_IDLE_S)
        idle_cpu_share = (cpu_s(pid) - before) / _IDLE_S
        request_us = _per_unit(cluster, pid, _REQUESTS, 1, idle_cpu_share) * 1e6
        tokens = _CHUNKS // _STREAMS
        chunk_s = _per_unit(cluster, pid, _STREAMS, tokens, idle_cpu_share)
        return HopCost(
            idle_mb=idle_mb,
            idle_cpu_share=idle_cpu_share,
            chunk_us=(chunk_s * 1e6 - request_us) / tokens,
            request_us=request_us,
            loaded_mb=resident_mb(pid),
        )


def _per_unit(
    cluster: Cluster, pid: int, requests: int, tokens: int, idle_cpu_share: float
) -> float:
    """Return the processor seconds that one request of `tokens` tokens uses, without idle use."""

    def _send() -> None:
        headers = {"Springrock-Deadline-Ms": "120000"}
        reply = cluster.complete(BOX, 0, tokens=tokens, stream=True, headers=headers)
        assert reply.whole, reply.body[-200:]

    before, began = cpu_s(pid), time.monotonic()
    call_many(_send, times=requests, threads=_STREAMS)
    used = cpu_s(pid) - before - idle_cpu_share * (time.monotonic() - began)
    return used / requests


def main() -> int:
    """Print the results of three measurements."""
    print("idle MB   idle core   us/chunk   us/request   MB after load")
    for _ in range(3):
        cost = measure()
        print(
            f"{cost.idle_mb:7.1f}   {cost.idle_cpu_share:9.2%}   {cost.chunk_us:8.1f}   "
            f"{cost.request_us:10.0f}   {cost.loaded_mb:13.1f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
