"""Boxes that are stopped, killed and started while the store is silent, and what goes on meanwhile.

What users saw: with the store silent for 8 s almost all was served on; with boxes stopped and
started in turn besides, under a tenth of it at worst.

Order of events: a stopping placer gives its role back, and nobody can take it; a box that starts
learns nothing before the store answers, though its peers know all of it; the stops go on until
only boxes that are themselves stopping know anything.

Cause: a box believes the store alone when it starts, and a planned stop does not look at whether
anybody can follow.
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
"""By then a box that starts serves what its peers serve: it starts within one, and the platform
waits for two looks at its readiness, a second apart, in any case."""

RETURNED_WITHIN_S = 1.0
"""So long after the store is back all is served again, whatever was lost."""

LEASES_S = 3.0
"""Three times the lease of these boxes: whoever is to place by then places."""


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("restarts"), boxes=4) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for zone in ZONES:
            deployment.placer_and_other(zone)
        for box in deployment.clients:
            deployment.served(box, PLAIN)
            deployment.served(box, STREAM, adapter="a1")
        yield deployment
        assert deployment.violations() == {}


def silence(deployment: Deployment) -> None:
    deployment.fault("store", busy=True)


def stop(deployment: Deployment, box: str) -> None:
    """Stop a box as planned."""
    deployment.processes.signal(box, signal.SIGTERM)
    wait_until(lambda: not deployment.processes.runs(box), within_s=15, what=f"{box} has stopped")


def tried(deployment: Deployment, box: str, path: str, adapter: str = "") -> Answer | None:
    """Send a request; return its answer, or None if the box takes none."""
    try:
        return deployment.send(box, path, adapter=adapter, deadline_ms=2000)
    except OSError:
        return None


def serves_within(
    deployment: Deployment, box: str, path: str, *, adapter: str = "", within_s: float
) -> bool:
    """Whether a box serves a request within a time, as its client comes back again and again."""
    until = monotonic() + within_s
    while monotonic() < until:
        answer = tried(deployment, box, path, adapter)
        if answer is not None and answer.status == 200:
            return True
        time.sleep(0.05)
    return False


def test_a_box_that_starts_while_the_store_is_silent_serves_what_its_peers_know(
    deployment: Deployment,
) -> None:
    silence(deployment)
    deployment.processes.kill("box-4")
    deployment.start_box("box-4")
    assert serves_within(deployment, "box-4", PLAIN, within_s=SERVES_WITHIN_S)


def test_boxes_of_a_zone_that_are_stopped_and_started_in_turn_serve_on(
    deployment: Deployment,
) -> None:
    silence(deployment)
    for box in ("box-1", "box-3"):
        stop(deployment, box)
        deployment.start_box(box)
        assert serves_within(deployment, box, PLAIN, within_s=SERVES_WITHIN_S)
        assert serves_within(deployment, box, STREAM, adapter="a1", within_s=SERVES_WITHIN_S)


def test_placers_that_stop_while_the_store_is_silent_are_followed(
    deployment: Deployment,
) -> None:
    placers = set(deployment.placers().values())
    silence(deployment)
    for placer in placers:
        stop(deployment, placer)
    other = next(box for box in deployment.clients if box not in placers)
    # What stands nowhere needs a placer that has it brought.
    assert serves_within(deployment, other, STREAM, adapter="a7", within_s=LEASES_S)


def test_where_all_are_killed_nothing_is_served_until_the_store_is_back_and_then_all_is(
    deployment: Deployment,
) -> None:
    silence(deployment)
    for box in deployment.clients:
        deployment.processes.kill(box)
    for box in list(deployment.clients):
        deployment.start_box(box)
    time.sleep(LEASES_S)
    answers = [tried(deployment, box, PLAIN) for box in deployment.clients]
    assert all(answer is None or answer.status == 503 for answer in answers), "nobody knows"
    deployment.fault("store")
    back_at = monotonic()
    for box in deployment.clients:
        left_s = back_at + RETURNED_WITHIN_S - monotonic()
        assert serves_within(deployment, box, PLAIN, within_s=left_s)
