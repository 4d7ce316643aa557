"""Boxes soon stop sending a request that crashes the replicas that run it.

Failure: engines crashed one after the other, every half second for up to ten seconds, along with
the other requests that ran or waited on them; whole kinds of requests were not served meanwhile.
The first attempt of a request crashed one engine and the second attempt another. The client then
sent the failed request again, under a new id and to another box, and engines that had restarted
after some seconds crashed again: up to 14 under one request.

Boxes attributed crashes to replicas alone and forgot a request when it ended, so each new send of
the request started without any record of the crashes. The logs showed it as requests with as many
ids but one fingerprint that broke at all crashed replicas, each within its route's attempts.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springrock.clock import monotonic
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind, read_replica_events
from tests.routed.deployment import REPLICAS, Answer, Deployment

CRASHING = "crashes-what-runs-it"

ROUTES = ("items", "minutes", "join", "lookup")
"""A resumable stream, one that is not, a call that is not repeatable, one that is."""

MAX_CRASHES = 3
"""Number of replicas that may crash under a request before boxes stop sending it."""

QUARANTINE_EFFECTIVE_S = 3.0
"""Boxes may still send it for this long after the last crash: the users' shortest bound."""

ROUNDS = 3
"""Number of times the request is then sent again at each box."""

_RESTART_DELAY_S = 0.3


class CrashingDeployment(Deployment):
    """A deployment whose replicas crash on a certain request, each with a file of its events."""

    def start_replica(self, name: str, service: str, zone: str, **fields: Any) -> None:
        path = str(self.events_path(name))
        super().start_replica(name, service, zone, crashes_on=CRASHING, events_path=path, **fields)

    def events_path(self, name: str) -> Path:
        return self.folder / f"{name}.events"

    @property
    def replicas(self) -> list[str]:
        return [name for name in self.addresses if name != "store"]

    def remove_replica_row(self, name: str) -> None:
        """Remove the row of a replica that has exited, as the users' store does by itself."""
        started = [
            event
            for event in read_replica_events(self.events_path(name))
            if event.kind is ReplicaEventKind.STARTED
        ]
        self.remove_row("servers", started[-1].instance)


class Supervisor:
    """Restarts replicas a short time after they exit, as the platform does."""

    def __init__(self, deployment: CrashingDeployment) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._restart_loop, daemon=True)

    def __enter__(self) -> Supervisor:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def _restart_loop(self) -> None:
        while not self._stop.wait(timeout=0.05):
            for name in self._deployment.replicas:
                if not self._deployment.processes.runs(name):
                    time.sleep(_RESTART_DELAY_S)
                    self._deployment.remove_replica_row(name)
                    self._deployment.processes.restart(name)


class CrashingRequest:
    """A request that crashes replicas, sent repeatedly under new ids."""

    def __init__(self, deployment: CrashingDeployment, route: str, name: str = "again") -> None:
        self._deployment = deployment
        self._route = route
        self._path = f"/{route}/{CRASHING}-{name}"
        self._options: dict[str, Any] = {
            "method": "GET" if route == "lookup" else "POST",
            "adapter": "a1" if route in ("items", "minutes") else "",
            "deadline_ms": 2000,
        }
        self.ids: list[str] = []

    def send(self, box: str) -> Answer:
        """Send the request once more."""
        request_id = self._deployment.new_id()
        self.ids.append(request_id)
        return self._deployment.send(box, self._path, request_id=request_id, **self._options)

    def serve_similar(self, box: str) -> Answer:
        """Send a similar but harmless request until it is served."""
        return self._deployment.send_until_served(box, f"/{self._route}/like-it", **self._options)

    def runs(self, ids: list[str] | None = None) -> list[ReplicaEvent]:
        """Return its runs, each of which crashed a replica; only those under some ids if given."""
        wanted_ids = set(self.ids if ids is None else ids)
        paths = [self._deployment.events_path(name) for name in self._deployment.replicas]
        ran = [
            event
            for path in paths
            for event in read_replica_events(path)
            if event.kind is ReplicaEventKind.RAN and event.request_id in wanted_ids
        ]
        return sorted(ran, key=lambda event: event.at)

    def crash(self) -> float:
        """Send the request to boxes in turn; return the time of crash number `MAX_CRASHES`."""
        boxes = list(self._deployment.clients)
        deadline = monotonic() + 60.0
        while len(self.runs()) < MAX_CRASHES and monotonic() < deadline:
            self.send(boxes[len(self.ids) % len(boxes)])
        assert len(self.runs()) >= MAX_CRASHES
        return self.runs()[MAX_CRASHES - 1].at

    def check_not_sent(self) -> None:
        """Check that boxes refuse the request and it never runs, while a similar one is served."""
        sent_before = len(self.ids)
        answers = []
        for _ in range(ROUNDS):
            for box in self._deployment.clients:
                self.serve_similar(box)
                answers.append(self.send(box))
        assert self.runs(self.ids[sent_before:]) == []
        assert {answer.status for answer in answers} == {503}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[CrashingDeployment]:
    with CrashingDeployment(tmp_path_factory.mktemp("crashing"), boxes=3) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        with Supervisor(deployment):
            yield deployment


def test_a_request_that_crashes_replicas_is_soon_sent_to_none(
    deployment: CrashingDeployment,
) -> None:
    requests = [CrashingRequest(deployment, route) for route in ROUTES]
    crashed_at = max(crashing.crash() for crashing in requests)
    while monotonic() < crashed_at + QUARANTINE_EFFECTIVE_S:
        for crashing in requests:
            for box in deployment.clients:
                crashing.send(box)
    for crashing in requests:
        crashing.check_not_sent()
    for box in deployment.clients:
        deployment.processes.kill(box)
    for box in deployment.clients:
        deployment.processes.restart(box)
    deployment.wait_ready()
    for crashing in requests:
        crashing.check_not_sent()


def test_concurrent_and_similar_requests_are_served(deployment: CrashingDeployment) -> None:
    CrashingRequest(deployment, "join", "beside").crash()
    for box in deployment.clients:
        for body in (b"hello", b"other"):
            deployment.send_until_served(box, "/join/like-it", body=body)
            deployment.send_until_served(box, "/items/like-it", body=body, adapter="a1")
        deployment.send_until_served(box, "/lookup/like-it", method="GET")
