"""A request that crashes the replicas that run it is soon sent to no more of them, by any box.

What users saw: engines ended in series, every half second for up to ten seconds, and with each the
requests that ran or waited beside; whole kinds of requests were not served meanwhile.

Order of events: a request crashes the engine that begins to run it, and its second attempt another.
The client gets a failure and sends it again, under a new id and at another box. The engines come
back after some seconds and are crashed anew: up to 14 under one request.

Cause: what a box learnt of a request went with the request's try, and what it learnt of the crash
it held against the replica alone. So each try, at each box, began with a clean sheet.

Evidence: with the request's fingerprint in the logs, the tries that broke at all crashed replicas
of these tests have one fingerprint under as many ids, and no try exceeds its route's attempts.
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
"""A stream that may be resumed, one that may not, a call that may not be repeated, one that may."""

CRASHES = 3
"""So many replicas may end under a request before it is sent on no more."""

KNOWN_EVERYWHERE_S = 3.0
"""So long after the last of them each box may yet send it: the shortest of the users' bounds."""

ROUNDS = 3
"""So often it comes again after that at each box."""

_DOWN_S = 0.3


class CrashingDeployment(Deployment):
    """Replicas that end when they are to run a certain request, each with a file of its events."""

    def start_replica(self, name: str, service: str, zone: str, **more: Any) -> None:
        path = str(self.events_path(name))
        super().start_replica(name, service, zone, crashes_on=CRASHING, events_path=path, **more)

    def events_path(self, name: str) -> Path:
        return self.folder / f"{name}.events"

    @property
    def replicas(self) -> list[str]:
        return [name for name in self.addresses if name != "store"]

    def drop_row(self, name: str) -> None:
        """Drop the row of a replica that has ended, as the store does by itself."""
        started = [
            event
            for event in read_replica_events(self.events_path(name))
            if event.kind is ReplicaEventKind.STARTED
        ]
        self.remove_row("servers", started[-1].instance)


class Supervisor:
    """Starts replicas anew a while after they ended, as the platform does."""

    def __init__(self, deployment: CrashingDeployment) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def __enter__(self) -> Supervisor:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._stop.wait(timeout=0.05):
            for name in self._deployment.replicas:
                if not self._deployment.processes.runs(name):
                    time.sleep(_DOWN_S)
                    self._deployment.drop_row(name)
                    self._deployment.processes.restart(name)


class CrashingRequest:
    """One request that crashes replicas, sent again and again under new ids."""

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
        """Send it once more."""
        request_id = self._deployment.new_id()
        self.ids.append(request_id)
        return self._deployment.send(box, self._path, request_id=request_id, **self._options)

    def send_like_it(self, box: str) -> Answer:
        """Send a request like it, which harms nothing, until it is served."""
        return self._deployment.served(box, f"/{self._route}/like-it", **self._options)

    def runs(self, ids: list[str] | None = None) -> list[ReplicaEvent]:
        """Return its runs, each of which ended a replica; only those of some tries if given."""
        wanted = set(self.ids if ids is None else ids)
        paths = [self._deployment.events_path(name) for name in self._deployment.replicas]
        ran = [
            event
            for path in paths
            for event in read_replica_events(path)
            if event.kind is ReplicaEventKind.RAN and event.request_id in wanted
        ]
        return sorted(ran, key=lambda event: event.at)

    def crash(self) -> float:
        """Send it at all boxes in turn until it has crashed enough; return when it had."""
        boxes = list(self._deployment.clients)
        deadline = monotonic() + 60.0
        while len(self.runs()) < CRASHES and monotonic() < deadline:
            self.send(boxes[len(self.ids) % len(boxes)])
        assert len(self.runs()) >= CRASHES
        return self.runs()[CRASHES - 1].at

    def check_sent_to_no_more(self) -> None:
        """Send it more at each box, each time when a replica is there, and see none run it."""
        sent_before = len(self.ids)
        answers = []
        for _ in range(ROUNDS):
            for box in self._deployment.clients:
                self.send_like_it(box)
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


def test_a_request_that_crashes_replicas_is_soon_sent_to_no_more(
    deployment: CrashingDeployment,
) -> None:
    requests = [CrashingRequest(deployment, route) for route in ROUTES]
    crashed_at = max(crashing.crash() for crashing in requests)
    while monotonic() < crashed_at + KNOWN_EVERYWHERE_S:
        for crashing in requests:
            for box in deployment.clients:
                crashing.send(box)
    for crashing in requests:
        crashing.check_sent_to_no_more()
    for box in deployment.clients:
        deployment.processes.kill(box)
    for box in deployment.clients:
        deployment.processes.restart(box)
    deployment.wait_ready()
    for crashing in requests:
        crashing.check_sent_to_no_more()


def test_what_runs_beside_it_and_what_is_like_it_is_served(deployment: CrashingDeployment) -> None:
    CrashingRequest(deployment, "join", "beside").crash()
    for box in deployment.clients:
        for body in (b"hello", b"other"):
            deployment.served(box, "/join/like-it", body=body)
            deployment.served(box, "/items/like-it", body=body, adapter="a1")
        deployment.served(box, "/lookup/like-it", method="GET")
