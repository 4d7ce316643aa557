"""Brittle replicas do not fall over for the requests that they turn away.

Failure: all replicas of a service named in all their answers how many requests a second they can
turn away without falling over, and took fewer at once some seconds later. Boxes went on as before,
each as if it were the only one, and the replicas fell over again and again.

The logs showed it as many attempts marked "full" at one replica within a second, then connections
that broke, while each box kept sending.
"""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from springrock.emulator.replica import CRASH_EXIT_STATUS
from tests.builds import BEFORE_BRITTLE, build_at
from tests.processes import wait_until
from tests.routed.callers import Callers
from tests.routed.deployment import REPLICAS, ZONES, Deployment

BRITTLE_PER_S = 8
ROOM = 2

CONTACT_S = 3.0
"""How long replicas take as many requests as before after they first said that they are brittle."""

OBSERVATION_S = 7.0

PLAIN = tuple((f"/lookup/{n}", "") for n in range(6))
STREAMS = tuple(("/items/x", f"a{n % 2}") for n in range(6))


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder = tmp_path_factory.mktemp("brittle")
    with Deployment(folder, boxes=4, replica_settings={"work_ms": 50}) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for path, adapter in (*PLAIN, *STREAMS):
            deployment.send_until_served("box-1", path, adapter=adapter)
        yield deployment


@pytest.mark.parametrize(
    ("names", "requests"),
    [(("rosters-1", "rosters-2"), PLAIN), (("engine-1", "engine-2"), STREAMS)],
    ids=["plain", "engines"],
)
def test_brittle_replicas_do_not_fall_over_and_still_serve(
    deployment: Deployment, names: tuple[str, ...], requests: tuple[tuple[str, str], ...]
) -> None:
    with Callers(deployment, deployment.clients, requests) as callers:
        for name in names:
            deployment.fault(name, brittle_per_s=BRITTLE_PER_S)
        time.sleep(CONTACT_S)
        for name in names:
            deployment.fault(name, brittle_per_s=BRITTLE_PER_S, room=ROOM)
        already = len(callers.answers)
        time.sleep(OBSERVATION_S)
        answers = callers.answers[already:]
    fallen = [name for name in names if not deployment.processes.runs(name)]
    assert not fallen, f"exits with {CRASH_EXIT_STATUS} show that a replica fell over"
    assert all(deployment.counters(name)["turned_away"] for name in names), "the room was too small"
    served = sum(answer.status == 200 for answer in answers)
    assert served > OBSERVATION_S * ROOM * len(names), "the room is used"
    rejected = [answer for answer in answers if answer.status != 200]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in rejected)


def test_brittle_replicas_do_not_fall_over_when_the_placer_is_killed(
    deployment: Deployment,
) -> None:
    names = ("rosters-1", "rosters-2")
    placer, _ = deployment.placer_and_other("zone-1")
    others = [box for box in deployment.clients if box != placer]
    with Callers(deployment, others, PLAIN):
        for name in names:
            deployment.fault(name, brittle_per_s=BRITTLE_PER_S)
        time.sleep(CONTACT_S)
        for name in names:
            deployment.fault(name, brittle_per_s=BRITTLE_PER_S, room=ROOM)
        deployment.processes.kill(placer)
        del deployment.clients[placer]
        wait_until(lambda: "zone-1" in deployment.placers(), what="the zone has another placer")
        runs = sum(deployment.counters("rosters-1")["runs"].values())
        wait_until(
            lambda: (
                sum(deployment.counters("rosters-1")["runs"].values()) > runs + OBSERVATION_S * ROOM
            ),
            what="the replica serves on",
        )
    assert all(deployment.processes.runs(name) for name in names)
    assert all(deployment.counters(name)["turned_away"] for name in names), "the room was too small"


def test_a_box_keeps_to_its_share_under_placers_of_a_build_without_places(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    previous = build_at(BEFORE_BRITTLE, tmp_path_factory.mktemp("build"))
    builds = {"box-1": previous, "box-2": previous}
    folder = tmp_path_factory.mktemp("mixed")
    names = ("rosters-1", "rosters-2")
    settings = {"work_ms": 50}
    with Deployment(folder, boxes=2, build_of=builds, replica_settings=settings) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for zone in ZONES:
            deployment.placer_and_other(zone)
        deployment.start_box("box-3")
        wait_until(lambda: deployment.is_ready("box-3"), what="box-3 is ready")
        with Callers(deployment, ["box-3"], PLAIN) as callers:
            for name in names:
                deployment.fault(name, brittle_per_s=BRITTLE_PER_S)
            time.sleep(CONTACT_S)
            for name in names:
                deployment.fault(name, brittle_per_s=BRITTLE_PER_S, room=0)
            time.sleep(OBSERVATION_S)
            for name in names:
                deployment.fault(name, brittle_per_s=BRITTLE_PER_S, room=ROOM)
            already = len(callers.answers)
            wait_until(
                lambda: any(answer.status == 200 for answer in callers.answers[already:]),
                what="the share is used",
            )
        assert all(deployment.processes.runs(name) for name in names)
