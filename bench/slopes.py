"""Measures the slopes of docs/CAPACITY.md with real processes, and rewrites the page's table.

Run: python -m bench.slopes [--quick]
"""

from __future__ import annotations

import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from bench import hop
from bench.capacity_page import Row, make_row, make_table, write_into_page
from bench.meter import call_many, cpu_s, resident_mb
from springrock.coordination.catalog import Adapter, Catalog, Change, Workload
from springrock.coordination.feed import HEAD_KEY, SNAPSHOT_NAME, HeadValue
from springrock.emulator.deployment import Shape
from springrock.wire.platform import Put, Transaction
from tests.cluster import Cluster
from tests.processes import wait_until

_IDLE_S = 30.0
_FRAME_BYTES = 46
"""Websocket, TCP and IP headers of one small message."""
_PRODUCTION_LEASE = {
    "renew_every_s": 3.0,
    "lapse_after_s": 10.0,
    "margin_s": 2.0,
    "scan_every_s": 1.0,
    "settle_s": 3.0,
}


def zone_shape(boxes: int, *, engines: int = 2) -> Shape:
    """Return a shape of one zone."""
    return Shape.from_small(zones=1, boxes_per_zone=boxes, engines=engines)


class _Zone(Cluster):
    """A zone with the lease settings of production."""

    def __init__(self, folder: Path, shape: Shape, **more: Any) -> None:
        super().__init__(folder, shape, lease=_PRODUCTION_LEASE, **more)


def run_in_zone(shape: Shape, measure: Callable[[Cluster], Any], **more: Any) -> Any:
    """Run a measurement in a zone of real processes."""
    with tempfile.TemporaryDirectory() as folder, _Zone(Path(folder), shape, **more) as cluster:
        return measure(cluster)


# Idle boxes, by number of peers.


class IdleZone(NamedTuple):
    """The resource use of one idle box of a zone, and the time that changes and takeovers take.

    Attributes:
        spread_s: Seconds until a configuration change is in force on every box.
        takeover_s: Seconds until the replicas of a killed box have another owner.
    """

    boxes: int
    cpu_share: float
    peer_bytes_per_s: float
    peer_messages_per_s: float
    platform_bytes_per_s: float
    table_writes_per_s: float
    table_reads_per_s: float
    resident_mb: float
    spread_s: float
    takeover_s: float


def measure_idle_zone(boxes: int) -> IdleZone:
    """Measure a zone of idle boxes, the propagation of a change, and a takeover."""
    return run_in_zone(zone_shape(boxes, engines=6), _idle_zone_of)


def _idle_zone_of(cluster: Cluster) -> IdleZone:
    names = cluster.shape.box_names
    time.sleep(_PRODUCTION_LEASE["lapse_after_s"] + 8.0)
    before = _totals(cluster)
    time.sleep(_IDLE_S)
    after = _totals(cluster)
    used = {key: (after[key] - before[key]) / _IDLE_S for key in after}
    boxes = len(names)
    return IdleZone(
        boxes=boxes,
        cpu_share=used["cpu"] / boxes,
        peer_bytes_per_s=used["bytes"] / boxes,
        peer_messages_per_s=used["messages"] / boxes,
        platform_bytes_per_s=used["body_bytes"] / boxes,
        table_writes_per_s=used["commits"] / boxes,
        table_reads_per_s=used["reads"] / boxes,
        resident_mb=sum(resident_mb(cluster.processes[name].pid) for name in names) / boxes,
        spread_s=_propagation_s(cluster),
        takeover_s=_takeover_s(cluster),
    )


def _totals(cluster: Cluster) -> dict[str, float]:
    names = cluster.shape.box_names
    counters = cluster.counters("platform")
    return {
        "cpu": sum(cpu_s(cluster.processes[name].pid) for name in names),
        "bytes": sum(_sent(cluster, name, "bytes") for name in names),
        "messages": sum(_sent(cluster, name, "messages") for name in names),
        "commits": counters["commits"],
        "reads": counters["reads"],
        "body_bytes": counters["body_bytes"],
    }


def _sent(cluster: Cluster, box: str, unit: str) -> float:
    for line in cluster.get(box, "/metrics").body.decode().splitlines():
        if line.startswith(f'springrock_peer_{unit}_total{{direction="sent"}}'):
            return float(line.rpartition(" ")[2])
    return 0.0


def _propagation_s(cluster: Cluster) -> float:
    """Return the longest time of five changes until the change is in force on every box."""
    worst = 0.0
    for number in range(5):
        began = time.monotonic()
        box = cluster.shape.box_names[number % len(cluster.shape.box_names)]
        answer = cluster.ask(box, f"set workload minutes priority {number}", wait_s=20.0)
        assert "in force on every box" in answer.text, answer.text
        worst = max(worst, time.monotonic() - began)
    return worst


def _takeover_s(cluster: Cluster) -> float:
    """Kill the box that owns the most replicas; return the seconds until all have another owner."""
    owners = {engine: cluster.owner_of(engine) for engine in cluster.addresses.engines}
    victim = max(set(owners.values()), key=list(owners.values()).count)
    lost = [engine for engine, owner in owners.items() if owner == victim]
    if len(cluster.shape.box_names) < 2:
        return 0.0
    began = time.monotonic()
    cluster.kill(victim)
    wait_until(
        lambda: all(cluster.owner_of(engine) != victim for engine in lost),
        within_s=60.0,
        what="a takeover",
    )
    return time.monotonic() - began


# Memory, by number of adapters and streams.


def adapters_mb(count: int) -> float:
    """Return the resident memory in MB of a box with `count` adapters in its catalog."""
    return run_in_zone(zone_shape(1, engines=1), lambda cluster: _mb_with_adapters(cluster, count))


def _mb_with_adapters(cluster: Cluster, count: int) -> float:
    adapters = [
        Adapter(f"base:community-{number:06d}", [1, 2, 3], 3, ["minutes"])
        for number in range(count)
    ]
    catalog = Catalog()
    catalog.apply(_change(1, adapters))
    platform = cluster.platform()
    platform.put_object(SNAPSHOT_NAME.format(revision=catalog.revision), catalog.snapshot())
    head = HeadValue(catalog.revision, catalog.revision)
    platform.transact(Transaction(puts=[Put(HEAD_KEY, msgspec.json.encode(head))]))
    box = cluster.shape.box_names[0]
    cluster.kill(box)
    cluster.start_box(box)
    cluster.wait_ready()
    shown = cluster.ask(box, "show adapters first 1").text
    assert shown.startswith(f"{count} adapters"), shown
    cluster.kill(box)
    cluster.start_box(box)
    cluster.wait_ready()
    return resident_mb(cluster.processes[box].pid)


def _change(revision: int, adapters: list[Adapter]) -> Change:
    return Change(
        revision=revision,
        command_id=str(revision),
        who="bench",
        at=0.0,
        statement="",
        adapters=adapters,
        workloads=[Workload("minutes")],
    )


def streams_mb(counts: list[int]) -> list[tuple[float, float]]:
    """Return pairs of a number of open streams and the resident memory in MB of a box."""
    shape = replace(zone_shape(1, engines=1), running_limit=1_000)
    return run_in_zone(shape, lambda cluster: _mb_with_streams(cluster, counts))


def _mb_with_streams(cluster: Cluster, counts: list[int]) -> list[tuple[float, float]]:
    box = cluster.shape.box_names[0]
    engine = next(iter(cluster.addresses.engines))
    headers = {"Springrock-Deadline-Ms": "120000"}
    points = []
    for count in counts:
        cluster.fault(engine, frozen=False)
        threads = [
            threading.Thread(
                target=lambda: cluster.complete(box, "base", tokens=40, headers=headers)
            )
            for _ in range(count)
        ]
        cluster.fault(engine, frozen=True)
        for thread in threads:
            thread.start()
        wait_until(
            lambda count=count: cluster.metric(box, "springrock_permits_outstanding") >= count,
            within_s=60.0,
            what=f"{count} open streams",
        )
        points.append((float(count), resident_mb(cluster.processes[box].pid)))
        cluster.fault(engine, frozen=False)
        for thread in threads:
            thread.join()
    return points


# Permits between boxes.


class PermitCost(NamedTuple):
    """The additional cost of a permit from another box, over one from the box itself.

    Attributes:
        bytes_sent: Bytes that both boxes send to each other.
        messages_sent: Messages that both boxes send to each other.
        both_ends_us: Processor time of both boxes together in microseconds.
    """

    bytes_sent: float
    messages_sent: float
    both_ends_us: float


def measure_permit() -> PermitCost:
    """Measure requests through a box that does not own the replica."""
    return run_in_zone(zone_shape(2, engines=1), _permit_cost_of)


def _permit_cost_of(cluster: Cluster) -> PermitCost:
    owner = cluster.owner_of("small-engine-1")
    other = next(name for name in cluster.shape.box_names if name != owner)
    own_us = _request_us(cluster, owner)
    before = {
        name: (_sent(cluster, name, "bytes"), _sent(cluster, name, "messages"))
        for name in (owner, other)
    }
    requests = 1_000
    through_us = _request_us(cluster, other, requests)
    sent_bytes = sum(_sent(cluster, name, "bytes") - before[name][0] for name in before)
    sent_messages = sum(_sent(cluster, name, "messages") - before[name][1] for name in before)
    return PermitCost(sent_bytes / requests, sent_messages / requests, through_us - own_us)


def _request_us(cluster: Cluster, box: str, requests: int = 1_000) -> float:
    """Return the processor time in microseconds that all boxes together use for a short request."""
    pids = [cluster.processes[name].pid for name in cluster.shape.box_names]

    def _send() -> None:
        assert cluster.complete(box, 0, tokens=1, stream=True).whole

    cluster.complete(box, 0, tokens=1)
    before = sum(map(cpu_s, pids))
    call_many(_send, times=requests, threads=8)
    return (sum(map(cpu_s, pids)) - before) / requests * 1e6


# The table in the page.


def rows(*, quick: bool) -> list[Row]:
    """Measure all slopes."""
    counts = [2, 5, 10] if quick else [2, 5, 10, 20, 30]
    zones = [measure_idle_zone(count) for count in counts]
    adapter_counts = [1_000, 50_000, 190_000]
    memory = [(float(count), adapters_mb(count)) for count in adapter_counts]
    streams = streams_mb([50, 200, 400])
    permit = measure_permit()
    hop_cost = hop.measure()
    return [
        *_zone_rows(zones),
        make_row("MB resident against adapters", memory, "B for an adapter", 1e6, "{:.1f}"),
        make_row("MB resident against open streams", streams, "KB for a stream", 1e3, "{:.1f}"),
        Row(
            "permit from another box",
            f"{permit.messages_sent:.2f} messages, {permit.bytes_sent:.0f} B, with "
            f"headers {permit.bytes_sent + permit.messages_sent * _FRAME_BYTES:.0f} B",
            f"{permit.both_ends_us:.0f} us at both ends together",
        ),
        Row(
            "entry hop",
            f"idle {hop_cost.idle_mb:.1f} MB",
            f"{hop_cost.chunk_us:.0f} us a chunk, {hop_cost.request_us:.0f} us a request",
        ),
    ]


def _zone_rows(zones: list[IdleZone]) -> list[Row]:
    def _points(field: str) -> list[tuple[float, float]]:
        return [(float(zone.boxes), float(getattr(zone, field))) for zone in zones]

    with_headers = [
        (float(zone.boxes), zone.peer_bytes_per_s + zone.peer_messages_per_s * _FRAME_BYTES)
        for zone in zones
    ]
    return [
        make_row(
            "peer B/s sent by an idle box, with headers",
            with_headers,
            "B/s for a peer",
            1,
            "{:.0f}",
        ),
        make_row(
            "peer messages/s sent by an idle box",
            _points("peer_messages_per_s"),
            "/s for a peer",
            1,
            "{:.2f}",
        ),
        make_row(
            "platform B/s read by an idle box",
            _points("platform_bytes_per_s"),
            "B/s for a box",
            1,
            "{:.0f}",
        ),
        make_row(
            "table writes/s of a box",
            _points("table_writes_per_s"),
            "/s for a box more",
            1,
            "{:.3f}",
        ),
        make_row(
            "table reads/s of a box", _points("table_reads_per_s"), "/s for a box more", 1, "{:.2f}"
        ),
        make_row(
            "% of a core used by an idle box", _points("cpu_share"), "% for a peer", 100, "{:.2%}"
        ),
        make_row(
            "MB resident of an idle box", _points("resident_mb"), "KB for a peer", 1e3, "{:.1f}"
        ),
        make_row(
            "s until a change is in force on all (worst of 5)",
            _points("spread_s"),
            "s for a box",
            1,
            "{:.2f}",
        ),
        make_row(
            "s until a killed owner's replicas are owned again",
            _points("takeover_s"),
            "s for a box",
            1,
            "{:.1f}",
        ),
    ]


def main(arguments: list[str]) -> int:
    """Measure the slopes and rewrite the table in the page."""
    table = make_table(rows(quick="--quick" in arguments))
    print(table)
    write_into_page(table)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
