"""Boxes are stopped, killed and started while the store does not answer, and still serve.

Failure: with the store unavailable for 8 s almost all requests were served, but with boxes stopped
and started in turn at the same time, less than a tenth at worst. A stopping placer released its
lease, which no other box could acquire without the store. A starting box loaded no state before
the store answered, although its peers had all of it. In the end only stopping boxes had any state.

The causes: a starting box read its state from the store alone, and a graceful stop did not check
whether another box could become placer.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, ZONES, Answer, Deployment

PLAIN = "/lookup/x"
STREAM = "/items/x"

SERVES_WITHIN_S = 2.0
"""By then a starting box serves what its peers serve. It starts within one second, and the platform
waits for two readiness checks, a second apart, in any case."""

RECOVERED_WITHIN_S = 1.0
"""By this long after the store answers again, all requests are served, whatever state was lost."""

LEASES_S = 3.0
"""Three times the lease of these boxes: every zone that can have a placer has one by then."""


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("restarts"), boxes=4) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for zone in ZONES:
            deployment.placer_and_other(zone)
        for box in deployment.clients:
            deployment.send_until_served(box, PLAIN)
            deployment.send_until_served(box, STREAM, adapter="a1")
        yield deployment
        assert deployment.violations() == {}


def make_store_unavailable(deployment: Deployment) -> None:
    deployment.fault("store", busy=True)


def stop(deployment: Deployment, box: str) -> None:
    """Stop a box gracefully."""
    deployment.processes.signal(box, signal.SIGTERM)
    wait_until(lambda: not deployment.processes.runs(box), within_s=15, what=f"{box} has stopped")


def try_send(deployment: Deployment, box: str, path: str, adapter: str = "") -> Answer | None:
    """Send a request; return its answer, or None if the box accepts no connection."""
    try:
        return deployment.send(box, path, adapter=adapter, deadline_ms=2000)
    except OSError:
        return None


def serves_within(
    deployment: Deployment, box: str, path: str, *, adapter: str = "", within_s: float
) -> bool:
    """Return whether a box serves a request within a time, with retries until then."""
    until = monotonic() + within_s
    while monotonic() < until:
        answer = try_send(deployment, box, path, adapter)
        if answer is not None and answer.status == 200:
            return True
        time.sleep(0.05)
    return False


def test_a_box_that_starts_while_the_store_is_silent_serves_what_its_peers_know(
    deployment: Deployment,
) -> None:
    make_store_unavailable(deployment)
    deployment.processes.kill("box-4")
    deployment.start_box("box-4")
    assert serves_within(deployment, "box-4", PLAIN, within_s=SERVES_WITHIN_S)


def test_boxes_of_a_zone_that_are_stopped_and_started_in_turn_serve_on(
    deployment: Deployment,
) -> None:
    make_store_unavailable(deployment)
    for box in ("box-1", "box-3"):
        stop(deployment, box)
        deployment.start_box(box)
        assert serves_within(deployment, box, PLAIN, within_s=SERVES_WITHIN_S)
        assert serves_within(deployment, box, STREAM, adapter="a1", within_s=SERVES_WITHIN_S)


def test_placers_that_stop_while_the_store_is_silent_are_followed(
    deployment: Deployment,
) -> None:
    placers = set(deployment.placers().values())
    make_store_unavailable(deployment)
    for placer in placers:
        stop(deployment, placer)
    other = next(box for box in deployment.clients if box not in placers)
    # An adapter that no engine holds needs a placer that has it loaded.
    assert serves_within(deployment, other, STREAM, adapter="a7", within_s=LEASES_S)


def test_where_all_are_killed_nothing_is_served_until_the_store_is_back_and_then_all_is(
    deployment: Deployment,
) -> None:
    make_store_unavailable(deployment)
    for box in deployment.clients:
        deployment.processes.kill(box)
    for box in list(deployment.clients):
        deployment.start_box(box)
    time.sleep(LEASES_S)
    answers = [try_send(deployment, box, PLAIN) for box in deployment.clients]
    assert all(answer is None or answer.status == 503 for answer in answers), (
        "no box has state to serve from"
    )
    deployment.fault("store")
    back_at = monotonic()
    for box in deployment.clients:
        left_s = back_at + RECOVERED_WITHIN_S - monotonic()
        assert serves_within(deployment, box, PLAIN, within_s=left_s)
