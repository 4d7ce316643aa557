"""Crowds of large requests before a box that runs `springrock serve`."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster
from tests.crowds import chunks, crowd, peak_memory_mb
from tests.processes import wait_until

MAX_MEMORY_MB = 160
"""The smallest boxes have this much."""

BODY_BYTES = 4_194_304
CLIENTS = 60
"""Together they send 250 MB."""

SHORT_BYTES = 1_000
CROWDS = {
    "of legal size": (f"Content-Length: {BODY_BYTES}", b"x" * BODY_BYTES),
    "in chunks": ("Transfer-Encoding: chunked", chunks(BODY_BYTES, chunk_bytes=4_096)),
}


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    shape = Shape.from_small(zones=1, engines=1)
    door = {"caller_door": {"body_limit_bytes": BODY_BYTES}}
    with Cluster(tmp_path, shape, box_settings=door) as cluster:
        yield cluster


def assert_alive_and_serving(cluster: Cluster, box: str) -> None:
    wait_until(lambda: cluster.service(box, "entries").status == 200, what="a call is served")
    process = cluster.processes[box]
    assert process.poll() is None
    assert peak_memory_mb(process.pid) < MAX_MEMORY_MB


@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_of_large_bodies_neither_ends_a_box_nor_locks_ordinary_callers_out(
    cluster: Cluster, kind: str
) -> None:
    """Guards against a process that holds what all its clients together send."""
    framing, body = CROWDS[kind]
    box = cluster.shape.box_names[0]
    path = f"/services/{cluster.shape.service}/entries"
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode()
    requests = [[head, body[:-SHORT_BYTES]]] * CLIENTS
    with crowd(cluster.addresses.callers[box], requests):
        assert_alive_and_serving(cluster, box)
    assert_alive_and_serving(cluster, box)
