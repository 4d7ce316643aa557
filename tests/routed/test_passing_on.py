"""Requests that are passed on between real boxes, of which one knows less than the other."""

from __future__ import annotations

import concurrent.futures
import shutil
import signal
import time
from pathlib import Path

import pytest

from springrock.clock import monotonic
from tests.builds import BEFORE_COMPARING, build_at
from tests.processes import wait_until
from tests.routed import cut_box
from tests.routed.deployment import REPLICAS, ROUTES, SERVICES, Deployment, route
from tests.routed.test_cut_off import cut, cut_from

ROLLBACK_SLACK_S = 0.25
CONFIGURED_WITHIN_S = 2.0
ROUNDS = 6
REQUESTS = 8
MOVED_ROUTES = [route("join", "unsafe", "rosters-new", maxAttempts=1), *ROUTES[2:]]
NEW_SERVICE = {"name": "rosters-new", "maxConnections": 50}
BEHIND = "Refused a request that was passed on, as this box is behind."


def add_cut_box(build: Path) -> Path:
    """Add the module for boxes that are cut off to the tree of a build, and return the tree."""
    package = build / "tests" / "routed"
    package.mkdir(parents=True)
    for folder in (package.parent, package):
        (folder / "__init__.py").touch()
    shutil.copy(cut_box.__file__, package)
    return build


def runs_at(deployment: Deployment, replica: str, request: str) -> int:
    runs: int = deployment.counters(replica)["runs"].get(request, 0)
    return runs


def send_spread(deployment: Deployment, box: str) -> list[str]:
    """Send requests to a box 0.1 s apart, without waiting for answers; return their ids."""

    def _send(number: int) -> str:
        time.sleep(0.1 * number)
        request = deployment.new_id()
        deployment.send(box, "/join/x", deadline_ms=1000, request_id=request)
        return request

    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        return list(pool.map(_send, range(REQUESTS)))


def test_a_request_is_never_run_by_an_older_configuration_than_its_first_box_has_shown(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """Guards against passing requests on to a box that goes by an older configuration."""
    with Deployment(
        tmp_path_factory.mktemp("moved"),
        boxes=3,
        box_module="tests.routed.cut_box",
        services=[*SERVICES, NEW_SERVICE],
    ) as deployment:
        deployment.configure()
        deployment.start_replica("new-2", "rosters-new", deployment.zones[1])
        deployment.wait_ready(replicas=REPLICAS + 1)
        # The boxes of the first zone are box-1 and box-3; box-2 is alone in the last one.
        first, *_, last = deployment.zones
        for _ in range(ROUNDS):
            play_a_move(deployment, first, last)
            if any(BEHIND in deployment.log(box) for box in deployment.clients):
                break
        else:
            pytest.fail("no request was passed on to a box that was behind")


def play_a_move(deployment: Deployment, first: str, last: str) -> None:
    """Move a route while the placer of the first zone is paused, and judge where requests run."""
    deployment.configure()
    taker = wait_until(
        lambda: next((box for zone, box in deployment.placers().items() if zone == last), None),
        what="the last zone is placed",
    )
    paused = wait_until(
        lambda: next((box for zone, box in deployment.placers().items() if zone == first), None),
        what="the first zone is placed",
    )
    assert taker != paused
    time.sleep(1.0)
    deployment.processes.signal(paused, signal.SIGSTOP)
    try:
        deployment.configure(MOVED_ROUTES)
        configured_at = monotonic()

        def _shown() -> bool:
            request = deployment.new_id()
            deployment.send(taker, "/join/x", deadline_ms=1000, request_id=request)
            return runs_at(deployment, "new-2", request) == 1

        wait_until(_shown, within_s=CONFIGURED_WITHIN_S, what="the route is moved at one box")
        shown_at = monotonic()
        cut_from(deployment, taker, "new-2", opened="reset", new="refused")
        time.sleep(max(0.0, shown_at + ROLLBACK_SLACK_S - monotonic()))
        sent = send_spread(deployment, taker)
        assert monotonic() - configured_at < 2 * CONFIGURED_WITHIN_S
    finally:
        deployment.processes.signal(paused, signal.SIGCONT)
        (deployment.folder / f"{taker}.jsonc.cut").unlink(missing_ok=True)
    old_runs = {
        request: sum(runs_at(deployment, name, request) for name in ("rosters-1", "rosters-2"))
        for request in sent
    }
    assert not any(old_runs.values()), old_runs


def test_a_box_of_an_earlier_release_runs_nothing_by_a_configuration_that_it_does_not_compare(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    """Guards against passing requests on to a build that ignores what it must at least know."""
    previous = add_cut_box(build_at(BEFORE_COMPARING, tmp_path_factory.mktemp("build")))
    with Deployment(
        tmp_path_factory.mktemp("mixed"),
        boxes=2,
        box_module="tests.routed.cut_box",
    ) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        deployment.processes.use_build("box-2", previous)
        deployment.processes.restart("box-2")
        wait_until(lambda: deployment.is_ready("box-2"), what="box-2 is ready")
        deployment.placer_and_other(deployment.zones[0])
        deployment.send_until_served("box-2", "/join/x")
        cut(deployment, "box-1", services=("rosters",), opened="reset", new="refused")
        passed = "Passed a request on to another box."
        sent = []

        def _passed_on() -> bool:
            sent.append(deployment.new_id())
            answer = deployment.send("box-1", "/join/x", deadline_ms=1000, request_id=sent[-1])
            assert answer.status == 503
            return passed in deployment.log("box-1")

        wait_until(_passed_on, what="box-1 passes a request on")
        assert not any(deployment.runs(request) for request in sent)
        # A box of that release still passes requests on to one of this build.
        (deployment.folder / "box-1.jsonc.cut").unlink()
        cut(deployment, "box-2", services=("rosters",), opened="reset", new="refused")
        served = deployment.new_id()
        wait_until(
            lambda: deployment.send("box-2", "/join/x", request_id=served).status == 200,
            what="box-2 is served by box-1",
        )
        assert passed in deployment.log("box-2")
