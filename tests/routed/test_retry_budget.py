"""The retry budget of a service over all boxes, while boxes are killed and start again."""

from __future__ import annotations

import math
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Deployment

ALLOWANCE = 20
WINDOW_S = 12.0
BOXES = 2
REQUESTS = 20
KILLS = 3


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    retries = {"ratio": 0.0, "allowance": ALLOWANCE, "window_s": WINDOW_S, "boxes": BOXES}
    folder = tmp_path_factory.mktemp("budget")
    with Deployment(folder, boxes=BOXES, box_settings={"retries": retries}) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        for name in ("rosters-1", "rosters-2"):
            deployment.fault(name, fail=True)
        yield deployment


def repeats(deployment: Deployment, box: str, *, requests: int = REQUESTS) -> int:
    """Send requests that fail at every replica; return how often they ran again."""
    ids = [deployment.new_id() for _ in range(requests)]
    for request_id in ids:
        deployment.send(box, "/lookup/x", method="GET", request_id=request_id)
    return sum(deployment.runs(request_id) - 1 for request_id in ids)


def test_boxes_that_restart_within_a_window_stay_within_the_allowance(
    deployment: Deployment,
) -> None:
    for box in deployment.clients:
        wait_until(
            lambda box=box: repeats(deployment, box, requests=1),
            within_s=3 * WINDOW_S,
            what=f"{box} may retry",
        )
    began_at = monotonic()
    total = sum(repeats(deployment, box) for box in deployment.clients)
    for _ in range(KILLS):
        deployment.processes.restart("box-1")
        deployment.wait_ready(replicas=REPLICAS)
        total += repeats(deployment, "box-1")
    windows = math.ceil((monotonic() - began_at) / WINDOW_S)
    assert total <= windows * ALLOWANCE


def test_a_box_that_hears_no_placer_spends_no_part_of_the_allowance(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    retries = {"ratio": 0.0, "allowance": ALLOWANCE, "window_s": 1.0, "boxes": 1}
    folder = tmp_path_factory.mktemp("unheard")
    with Deployment(folder, boxes=4, box_settings={"retries": retries}) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        placers = set(deployment.placers().values())
        started, *_ = sorted(set(deployment.clients) - placers)
        for name in ("rosters-1", "rosters-2"):
            deployment.fault(name, fail=True)
        deployment.fault("store", busy=True)
        for box in placers:
            deployment.processes.kill(box)
        deployment.processes.restart(started)
        wait_until(lambda: deployment.is_ready(started), what=f"{started} is ready")
        ready_at = monotonic()
        wait_until(lambda: monotonic() > ready_at + 2.0, what=f"{started} is over a window old")
        assert repeats(deployment, started) == 0
