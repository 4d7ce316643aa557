"""Crowds of large requests: the box lives, stays within its memory and serves ordinary callers."""

from __future__ import annotations

import contextlib
import itertools
import resource
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.crowds import chunks, crowd, endless, open_descriptors, peak_memory_mb
from tests.routed.deployment import HOST, REPLICAS, Deployment

MAX_MEMORY_MB = 160
"""The smallest boxes have this much."""

MAX_DESCRIPTORS = 256
BODY_BYTES = 4_194_304
"""The longest body that clients may send."""

CLIENTS = 60
"""Together they send 250 MB."""

CONNECTIONS = 2 * MAX_DESCRIPTORS
SPARE_DESCRIPTORS = 24
"""What the box must always have left, for replicas, the store and other boxes."""

LIMITS = {"maxBodyBytes": BODY_BYTES, "maxHeaderBytes": 16_384, "headerTimeoutMs": 60_000}
DEADLINE_MS = 60_000
"""No client of a crowd is given up for its time."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with Deployment(tmp_path, boxes=1, zones=("zone-1",), limits=LIMITS) as deployment:
        deployment.start_replica("rosters-2", "rosters", "zone-1")
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS - 1)
        deployment.send_until_served("box-1", "/lookup/x")
        yield deployment


@pytest.fixture
def few_descriptors() -> Iterator[None]:
    """Lower the limit of descriptors for the processes that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, before[1]))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


def head(request_id: str, framing: str) -> bytes:
    return (
        f"POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nSpringrock-Request-Id: {request_id}\r\n"
        f"Springrock-Deadline-Ms: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    ).encode()


WHOLE = b"x" * BODY_BYTES
LARGE_CHUNKS = chunks(BODY_BYTES, chunk_bytes=65_536)
SMALL_CHUNKS = chunks(BODY_BYTES, chunk_bytes=100)
STATED = f"Content-Length: {BODY_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"
FAR_OVER = 4 * BODY_BYTES
PIECE_BYTES = 50_000
SHORT_BYTES = 1_000
"""How much most clients of a crowd leave out at the end."""

EVERY = 10
"""One in this many clients of a crowd sends its request whole."""

CROWDS = {
    "far over the limit, announced": (
        f"Content-Length: {2**40}",
        endless(b"x", b"x" * 65_536, at_most=FAR_OVER),
    ),
    "far over the limit, just sent": (
        CHUNKED,
        endless(b"", b"10000\r\n%s\r\n" % (b"x" * 65_536), at_most=FAR_OVER),
    ),
    "of legal size, whole": (STATED, [WHOLE]),
    "of legal size, piece by piece": (
        STATED,
        [WHOLE[at : at + PIECE_BYTES] for at in range(0, BODY_BYTES, PIECE_BYTES)],
    ),
    "in large chunks": (CHUNKED, [LARGE_CHUNKS]),
    "in small chunks": (CHUNKED, [SMALL_CHUNKS]),
}
STOPS_SHORT = ("of legal size, piece by piece", "in large chunks", "in small chunks")


def requests_of(deployment: Deployment, kind: str) -> list[list[bytes]]:
    """Return what each client of a crowd sends; most stop short of the end in some crowds."""
    framing, parts = CROWDS[kind]
    short = [*parts[:-1], parts[-1][:-SHORT_BYTES]]
    requests = []
    for number in range(CLIENTS):
        stops_short = kind in STOPS_SHORT and number % EVERY
        body = short if stops_short else parts
        requests.append([head(deployment.new_id(), framing), *filter(None, body)])
    return requests


def assert_alive_and_serving(deployment: Deployment) -> None:
    """Check what must hold while a crowd is connected, whatever became of its requests."""
    process = deployment.processes["box-1"]
    deployment.send_until_served("box-1", "/lookup/x")
    assert process.poll() is None
    assert peak_memory_mb(process.pid) < MAX_MEMORY_MB


@pytest.mark.parametrize("kind", CROWDS)
def test_a_crowd_of_large_bodies_neither_ends_a_box_nor_locks_ordinary_callers_out(
    deployment: Deployment, kind: str
) -> None:
    """Guards against a process that holds what all its clients together send."""
    with crowd(deployment.clients["box-1"], requests_of(deployment, kind)):
        assert_alive_and_serving(deployment)
    assert_alive_and_serving(deployment)


def test_a_single_request_within_the_limits_is_served_in_calm(deployment: Deployment) -> None:
    for framing, parts in ((STATED, [WHOLE]), (CHUNKED, [LARGE_CHUNKS]), (CHUNKED, [SMALL_CHUNKS])):
        request = [head(deployment.new_id(), framing), *parts]
        with crowd(deployment.clients["box-1"], [request]) as single:
            assert single.read_statuses() == [200]


STALLED = {
    "without a byte": b"",
    "within the head": b"POST /lookup/x HTTP/1.1\r\n",
    "within the body": head("0" * 16, "Content-Length: 10") + b"x",
}


@pytest.mark.parametrize("part", STALLED)
def test_a_crowd_of_connections_that_stay_open_locks_no_ordinary_caller_out(
    few_descriptors: None, deployment: Deployment, part: str
) -> None:
    """Guards against a box that accepts connections until it has no descriptor left."""
    process = deployment.processes["box-1"]
    with contextlib.ExitStack() as stack:
        resource.setrlimit(
            resource.RLIMIT_NOFILE,
            (4 * CONNECTIONS, resource.getrlimit(resource.RLIMIT_NOFILE)[1]),
        )
        requests = list(itertools.repeat([STALLED[part]], CONNECTIONS))
        stack.enter_context(crowd(deployment.clients["box-1"], requests))
        assert_alive_and_serving(deployment)
        assert open_descriptors(process.pid) <= MAX_DESCRIPTORS - SPARE_DESCRIPTORS
        assert deployment.is_ready("box-1")
    assert_alive_and_serving(deployment)
