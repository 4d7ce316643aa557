"""Boxes of the previous release together with boxes of this build: upgrade and downgrade."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springrock.clock import monotonic
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind, read_replica_events
from tests.builds import LAST_RELEASE, HistoryMissing, build_at
from tests.clients import BackgroundClients
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Answer, Deployment

REQUESTS = (
    ("/lookup/x", ""),
    ("/join/x", ""),
    *((f"/{route}/x", f"a{number}") for route in ("items", "minutes") for number in range(4)),
)
"""All kinds of routes, with as many adapters as both engines have places."""

LINK_FAULTS = ("malformed frame", "unexpected", "Rejected a link")
"""Texts that a box logs about a peer that violates the protocol."""

PAUSE_S = 0.03

MAX_CROSSING_S = 0.1
"""A younger run may have started while the unload order was in flight, as in the soak test. Boxes
of the previous release alone showed such runs of 7 and 12 ms when they were stopped in turn."""

LEAVING_EFFECTIVE_S = 2.0


class MixedBuildsDeployment(Deployment):
    """Replicas with event files, which hold the age of the run for each violation."""

    def start_replica(self, name: str, service: str, zone: str, **fields: Any) -> None:
        path = str(self.folder / f"{name}.events")
        super().start_replica(name, service, zone, events_path=path, **fields)

    def violations_beyond_crossings(self) -> list[ReplicaEvent]:
        """Return violations at replicas, except unloads that crossed a request in flight."""
        events = [
            event for path in self.folder.glob("*.events") for event in read_replica_events(path)
        ]
        return [
            event
            for event in events
            if event.kind is ReplicaEventKind.VIOLATION
            and not (event.detail == "unloaded_in_use" and event.age_s < MAX_CROSSING_S)
        ]


@pytest.fixture(scope="module")
def previous_build(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The build of the previous release."""
    return build_at(LAST_RELEASE, tmp_path_factory.mktemp("build"))


@pytest.fixture
def mixed(
    tmp_path_factory: pytest.TempPathFactory, previous_build: Path
) -> Iterator[MixedBuildsDeployment]:
    """Three ready boxes of the previous release in two zones."""
    folder = tmp_path_factory.mktemp("mixed")
    boxes = {f"box-{number}": previous_build for number in (1, 2, 3)}
    with MixedBuildsDeployment(folder, boxes=len(boxes), build_of=boxes) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.violations_beyond_crossings() == []


class Callers(BackgroundClients):
    """Clients that call all boxes, except those in `away`, until they are stopped."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment
        for request in REQUESTS:
            self.add(self._call, *request)
        self.away: set[str] = set()
        self.answers: list[Answer] = []
        self.failures: list[str] = []

    def _call(self, path: str, adapter: str) -> None:
        while not self.stop.wait(timeout=PAUSE_S):
            for box in sorted(self._deployment.clients.keys() - self.away):
                self._call_box(box, path, adapter)

    def _call_box(self, box: str, path: str, adapter: str) -> None:
        try:
            answer = self._deployment.send(box, path, adapter=adapter)
        except OSError as error:
            if box not in self.away:
                self.failures.append(f"{path} at {box}: {error!r}")
            return
        if answer.status == 200 and answer.is_complete:
            self.answers.append(answer)
        elif answer.status != 503 or not float(answer.headers.get("Retry-After", "nan")) >= 0.0:
            # A refusal that the request did not run, with a time to retry after, is no failure.
            self.failures.append(f"{path} at {box}: {answer.status} {answer.body[:60]!r}")


def replace(deployment: Deployment, callers: Callers, box: str, build: Path | None) -> None:
    """Stop a box gracefully and start it with a build, or with the current one for None."""
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


def test_a_rolling_upgrade_and_downgrade_keep_serving(
    mixed: Deployment, previous_build: Path
) -> None:
    with Callers(mixed) as callers:
        for build in (None, previous_build):
            for box in sorted(mixed.clients):
                before = len(callers.answers)
                replace(mixed, callers, box, build)
                wait_until(
                    lambda before=before: len(callers.answers) > before + 2 * len(REQUESTS),
                    what=f"calls are served after {box} was replaced",
                )
    assert callers.failures == []
    assert link_faults(mixed) == []


def test_a_leaving_engine_gets_no_requests_although_an_earlier_build_places(
    mixed: Deployment,
) -> None:
    """Placers of the previous release do not handle the announcement and still grant the engine."""
    with Callers(mixed) as callers:
        replace(mixed, callers, "box-1", None)
    for path, adapter in REQUESTS:
        mixed.send_until_served("box-1", path, adapter=adapter)
    mixed.fault("engine-1", leaving=True, silent=True)

    def _is_known() -> bool:
        for path, adapter in REQUESTS:
            mixed.send("box-1", path, adapter=adapter)
        return "A replica is leaving" in mixed.log("box-1")

    wait_until(_is_known, what="box-1 has logged that an engine is leaving")
    effective_at = monotonic() + LEAVING_EFFECTIVE_S
    wait_until(lambda: monotonic() > effective_at, what="the bound has passed")
    answers = [mixed.send("box-1", path, adapter=adapter) for path, adapter in REQUESTS * 3]
    assert not [at for at in mixed.counters("engine-1")["arrivals"] if at > effective_at]
    assert sum(answer.status == 200 for answer in answers) > len(answers) / 2
    assert link_faults(mixed) == []


def test_a_build_missing_from_the_repository_raises(tmp_path: Path) -> None:
    with pytest.raises(HistoryMissing, match="0123456789ab"):
        build_at("0123456789ab", tmp_path)
