"""Tests that a box's own links lead to all replicas, also to those of a later release."""

from __future__ import annotations

from pathlib import Path

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.partitions import WAYS
from bench.soak.shape import KEYS, ReplicaPlan, Shape
from springrock.platform import names
from tests.processes import wait_until
from tests.routed.deployment import ZONES

OLD = ReplicaPlan("language-1", "language", ZONES[0])
NEW = ReplicaPlan("language-4", "language", ZONES[0])


def test_a_box_that_is_cut_off_reaches_no_engine_of_a_release(tmp_path: Path) -> None:
    shape = Shape(boxes=("box-1",), replicas=(OLD,), spares=(NEW,))
    with SoakDeployment(tmp_path, shape=shape) as deployment:
        given = {names.API_KEY: KEYS["one"]}

        def _status() -> int:
            sent = deployment.send("box-1", "/items/1", adapter="a1", extra_headers=given)
            return sent.status

        wait_until(lambda: _status() == 200, what="the engine serves")
        deployment.begin_release(OLD.name)
        wait_until(lambda: deployment.answers(NEW.name), what="the engine of the release starts")
        wait_until(
            lambda: _status() == 200 and deployment.counters(NEW.name)["runs"],
            what="the engine of the release serves",
        )
        deployment.link_fault(deployment.links_to_replicas("box-1"), **WAYS["reset"])
        assert _status() != 200
        deployment.link_fault(deployment.links_to_replicas("box-1"))
        wait_until(lambda: _status() == 200, what="the engine of the release serves again")
