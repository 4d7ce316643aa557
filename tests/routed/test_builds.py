"""Boxes of the last landing beside boxes of this build: an upgrade box by box, and the way back."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springrock.clock import monotonic
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind, read_replica_events
from tests.builds import LAST_LANDING, HistoryMissing, build_at
from tests.clients import BackgroundClients
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Answer, Deployment

WAYS = (
    ("/lookup/x", ""),
    ("/join/x", ""),
    *((f"/{route}/x", f"a{number}") for route in ("items", "minutes") for number in range(4)),
)
"""All kinds of routes, with as many adapters as both engines have places."""

LINK_FAULTS = ("malformed frame", "unexpected", "Rejected a link")
"""What a box writes of a peer that breaks the protocol."""

PAUSE_S = 0.03

CROSSES_WITHIN_S = 0.1
"""A younger run may have crossed the order on its way, as in the soak; boxes of the last landing
alone showed runs of 7 and 12 ms when they were stopped in turn."""

HEEDED_AFTER_S = 2.0


class MixedDeployment(Deployment):
    """Replicas that note what they see, so that a breach tells how old the run was."""

    def start_replica(self, name: str, service: str, zone: str, **more: Any) -> None:
        path = str(self.folder / f"{name}.events")
        super().start_replica(name, service, zone, events_path=path, **more)

    def breaches(self) -> list[ReplicaEvent]:
        """What went wrong at replicas, but for unloads that crossed a request on its way."""
        events = [
            event for path in self.folder.glob("*.events") for event in read_replica_events(path)
        ]
        return [
            event
            for event in events
            if event.kind is ReplicaEventKind.VIOLATION
            and not (event.detail == "unloaded_in_use" and event.age_s < CROSSES_WITHIN_S)
        ]


@pytest.fixture(scope="module")
def earlier(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The build of the last landing."""
    return build_at(LAST_LANDING, tmp_path_factory.mktemp("build"))


@pytest.fixture
def mixed(tmp_path_factory: pytest.TempPathFactory, earlier: Path) -> Iterator[MixedDeployment]:
    """Three boxes of the last landing in two zones, ready."""
    folder = tmp_path_factory.mktemp("mixed")
    boxes = {f"box-{number}": earlier for number in (1, 2, 3)}
    with MixedDeployment(folder, boxes=len(boxes), build_of=boxes) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.breaches() == []


class Callers(BackgroundClients):
    """Clients that call all boxes that are ready until told to stop."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment
        for way in WAYS:
            self.add(self._call, *way)
        self.away: set[str] = set()
        self.answers: list[Answer] = []
        self.failed: list[str] = []

    def _call(self, path: str, adapter: str) -> None:
        while not self.stop.wait(timeout=PAUSE_S):
            for box in sorted(self._deployment.clients.keys() - self.away):
                self._call_box(box, path, adapter)

    def _call_box(self, box: str, path: str, adapter: str) -> None:
        try:
            answer = self._deployment.send(box, path, adapter=adapter)
        except OSError as error:
            if box not in self.away:
                self.failed.append(f"{path} at {box}: {error!r}")
            return
        if answer.status == 200 and answer.whole:
            self.answers.append(answer)
        elif answer.status != 503 or not float(answer.headers.get("Retry-After", "nan")) >= 0.0:
            # Who is told that it did not run, and when to come back, has lost nothing.
            self.failed.append(f"{path} at {box}: {answer.status} {answer.body[:60]!r}")


def replace(deployment: Deployment, callers: Callers, box: str, build: Path | None) -> None:
    """Stop a box as planned and start it with a build; this one for none."""
    callers.away.add(box)
    deployment.processes.signal(box, signal.SIGTERM)
    wait_until(lambda: not deployment.processes.runs(box), what=f"{box} has stopped")
    if build is None:
        deployment.build_of.pop(box, None)
    else:
        deployment.build_of[box] = build
    deployment.start_box(box)
    wait_until(lambda: deployment.is_ready(box), within_s=30, what=f"{box} is ready")
    callers.away.discard(box)


def link_faults(deployment: Deployment) -> list[str]:
    return [
        line[:300]
        for box in deployment.clients
        for line in deployment.log(box).splitlines()
        if any(fault in line for fault in LINK_FAULTS)
    ]


def test_an_upgrade_box_by_box_and_the_way_back_serve_on(mixed: Deployment, earlier: Path) -> None:
    with Callers(mixed) as callers:
        for build in (None, earlier):
            for box in sorted(mixed.clients):
                before = len(callers.answers)
                replace(mixed, callers, box, build)
                wait_until(
                    lambda before=before: len(callers.answers) > before + 2 * len(WAYS),
                    what=f"calls are served after {box} was replaced",
                )
    assert callers.failed == []
    assert link_faults(mixed) == []


def test_an_engine_that_says_it_leaves_is_left_alone_though_an_earlier_build_places(
    mixed: Deployment,
) -> None:
    """Placers of the last landing know nothing of it, and would grant the engine on."""
    with Callers(mixed) as callers:
        replace(mixed, callers, "box-1", None)
    for path, adapter in WAYS:
        mixed.served("box-1", path, adapter=adapter)
    mixed.fault("engine-1", leaving=True, silent=True)

    def _knows() -> bool:
        for path, adapter in WAYS:
            mixed.send("box-1", path, adapter=adapter)
        return "A replica is leaving" in mixed.log("box-1")

    wait_until(_knows, what="box-1 has learnt that an engine leaves")
    since = monotonic() + HEEDED_AFTER_S
    wait_until(lambda: monotonic() > since, what="the bound has passed")
    answers = [mixed.send("box-1", path, adapter=adapter) for path, adapter in WAYS * 3]
    assert not [at for at in mixed.counters("engine-1")["arrivals"] if at > since]
    assert sum(answer.status == 200 for answer in answers) > len(answers) / 2
    assert link_faults(mixed) == []


def test_a_build_that_the_repository_does_not_hold_is_said_to_be_missing(tmp_path: Path) -> None:
    with pytest.raises(HistoryMissing, match="0123456789ab"):
        build_at("0123456789ab", tmp_path)
