"""Requests of replicas that are silent for a while or for good, with real processes."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import signal
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from springrock.clock import monotonic
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind, read_replica_events
from tests.builds import LAST_RELEASE, build_at
from tests.processes import wait_until
from tests.routed.deployment import MODEL, REPLICAS, Answer, Deployment, route
from tests.routed.test_builds import link_faults
from tests.routed.test_cut_off import cut, heal

EVENTS = 16
EVENT_PAUSE_MS = 100
STREAM_S = EVENTS * EVENT_PAUSE_MS / 1000
ENGINES = ("engine-1", "engine-2", "engine-3")
PLAIN_REPLICAS = ("rosters-1", "rosters-2")
ADAPTERS = ("a1", "a2")
MODELS = (*ADAPTERS, "")
"""What streams ask for: an adapter, or the base model alone."""

LIMIT_MS = 12_000
"""Timeout of the routes and deadline of the requests: more than the longest stream and pauses."""

PAUSE_S = 1.9
IMPATIENT_PAUSE_S = 2.6
"""Longer than the 2 s that a client of an `urgent` stream is estimated to wait for an event."""

RESUMED_WITHIN_S = 3.0
RECOVERED_WITHIN_S = 1.0

ROUTES = [
    route("lookup", "safe", "rosters", timeoutMs=LIMIT_MS),
    route("join", "unsafe", "rosters", timeoutMs=LIMIT_MS, maxAttempts=1),
    *(
        route(name, "streaming", "language", timeoutMs=LIMIT_MS, **fields)
        for name, fields in {
            "items": {"resumable": True, "gapAimMs": 400},
            "pages": {"resumable": True, "gapAimMs": 400, "maxAttempts": 1},
            "minutes": {"resumable": False, "gapAimMs": 400, "maxAttempts": 1},
            "urgent": {
                "resumable": False,
                "gapAimMs": 100,
                "targetLatencyMs": 250,
                "maxAttempts": 1,
            },
        }.items()
    ),
]
STREAM_PATHS = ("/items/x", "/pages/x", "/minutes/x")
PLAIN_PATHS = ("/lookup/x", "/join/x")


class Call(NamedTuple):
    """One request and its answer.

    Attributes:
        sent_at: When it was sent, on the machine's monotonic clock.
        took_s: Time until its answer ended.
    """

    box: str
    path: str
    request_id: str
    answer: Answer
    sent_at: float
    took_s: float

    @property
    def is_stream(self) -> bool:
        return self.path not in PLAIN_PATHS

    @property
    def is_whole(self) -> bool:
        if self.answer.status != 200 or not self.answer.is_complete:
            return False
        return not self.is_stream or self.answer.event_ids == list(range(1, EVENTS + 1))

    @property
    def is_refused(self) -> bool:
        """Whether it did not run, as the box has said with a time to retry after."""
        return self.answer.status == 503 and "Retry-After" in self.answer.headers

    def __str__(self) -> str:
        answer = self.answer
        what = (
            f"events {answer.event_ids}"
            if self.is_stream and answer.status == 200
            else repr(answer.body[:80])
        )
        return (
            f"{self.path} {self.request_id} at {self.box}: {answer.status} after "
            f"{self.took_s:.2f} s, {'complete' if answer.is_complete else 'cut'}, {what}"
        )


class PausableDeployment(Deployment):
    """Replicas with event files, which are read while the replicas are paused."""

    def start_replica(self, name: str, service: str, zone: str, **fields: Any) -> None:
        path = str(self.folder / f"{name}.events")
        super().start_replica(name, service, zone, events_path=path, **fields)

    def ran(self, request_id: str = "") -> list[tuple[str, ReplicaEvent]]:
        """Return the runs of a request, or of all, each with the name of its replica."""
        return [
            (path.stem, event)
            for path in self.folder.glob("*.events")
            for event in read_replica_events(path)
            if event.kind is ReplicaEventKind.RAN and request_id in ("", event.request_id)
        ]

    @contextlib.contextmanager
    def silent(self, names: Iterable[str]) -> Iterator[float]:
        """Pause replicas in this block and yield the time of that."""
        paused = list(names)
        try:
            for name in paused:
                self.processes.signal(name, signal.SIGSTOP)
            yield monotonic()
        finally:
            for name in paused:
                self.processes.signal(name, signal.SIGCONT)

    def pause(
        self, names: Iterable[str], *, for_s: float, meanwhile: Callable[[], None] | None = None
    ) -> float:
        """Pause replicas, write a configuration meanwhile; return the time when they go on."""
        # A store that answers late must not prolong the pause.
        with concurrent.futures.ThreadPoolExecutor() as pool:
            with self.silent(names) as paused_at:
                configured = pool.submit(self.configure, ROUTES)
                if meanwhile is not None:
                    meanwhile()
                time.sleep(max(0.0, paused_at + for_s - monotonic()))
            resumed_at = monotonic()
            configured.result()
        return resumed_at

    def call(self, box: str, path: str, adapter: str, request_id: str) -> Call:
        """Send a request; a connection that ends without an answer counts as status 0."""
        sent_at = monotonic()
        try:
            answer = self.send(
                box,
                path,
                method="GET" if path == "/lookup/x" else "POST",
                adapter=adapter,
                request_id=request_id,
                deadline_ms=LIMIT_MS,
            )
        except (OSError, http.client.HTTPException) as error:
            answer = Answer(0, {}, repr(error).encode(), is_complete=False)
        return Call(box, path, request_id, answer, sent_at, monotonic() - sent_at)


class Calls:
    """Sends requests at the same time, and collects their answers at the end of its block."""

    def __init__(self, deployment: PausableDeployment) -> None:
        self._deployment = deployment
        self._pool = concurrent.futures.ThreadPoolExecutor(200)
        self._sent: list[concurrent.futures.Future[Call]] = []
        self.ids: list[str] = []

    def __enter__(self) -> Calls:
        return self

    def __exit__(self, *_: object) -> None:
        self._pool.shutdown()

    def send(
        self, boxes: Iterable[str], paths: Sequence[str], *, models: Sequence[str] = MODELS
    ) -> None:
        """Send a request of each path to each box, for streams once for each of the models."""
        for box in boxes:
            for path in paths:
                for adapter in ("",) if path in PLAIN_PATHS else models:
                    request_id = self._deployment.new_id()
                    self.ids.append(request_id)
                    self._sent.append(
                        self._pool.submit(self._deployment.call, box, path, adapter, request_id)
                    )

    def wait_running(self) -> None:
        """Wait until all requests so far run, and streams have sent some events."""
        ids = set(self.ids)
        wait_until(
            lambda: ids <= {event.request_id for _, event in self._deployment.ran()},
            what="all requests run",
        )
        time.sleep(0.3)

    @property
    def ended(self) -> list[Call]:
        """All requests, once each has its answer."""
        return [sent.result() for sent in self._sent]

    @property
    def failed(self) -> list[str]:
        """The requests without a whole answer."""
        return [str(call) for call in self.ended if not call.is_whole]

    @property
    def lost(self) -> list[str]:
        """The requests that were neither served nor refused."""
        return [str(call) for call in self.ended if not (call.is_whole or call.is_refused)]


@contextlib.contextmanager
def running(folder: Path, **settings: Any) -> Iterator[PausableDeployment]:
    deployment = PausableDeployment(
        folder,
        replica_settings={"events": EVENTS, "event_pause_ms": EVENT_PAUSE_MS, "work_ms": 300},
        **settings,
    )
    with deployment:
        deployment.start_replica("engine-3", "language", deployment.zones[0], base_model=MODEL)
        deployment.configure(ROUTES)
        deployment.wait_ready(replicas=REPLICAS + 1)
        deployment.placer_and_other(deployment.zones[0])
        wait_until(lambda: all_served(deployment), what="all kinds of requests are served")
        yield deployment
        assert deployment.violations() == {}


def all_served(deployment: PausableDeployment) -> bool:
    """Send a request of each kind to each box, and return whether all were served."""
    with Calls(deployment) as calls:
        calls.send(deployment.clients, ("/items/x", *PLAIN_PATHS))
    return not calls.failed


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PausableDeployment]:
    """Two boxes that may hardly retry, as they are younger than their window of retries."""
    folder = tmp_path_factory.mktemp("paused")
    with running(folder, box_module="tests.routed.cut_box") as deployment:
        yield deployment


@pytest.mark.parametrize("pauses", [(1.0,), (PAUSE_S,), (1.0, PAUSE_S)], ids=str)
def test_no_stream_is_cut_because_all_engines_are_paused(
    deployment: PausableDeployment, pauses: tuple[float, ...]
) -> None:
    with Calls(deployment) as calls:
        calls.send(deployment.clients, STREAM_PATHS)
        calls.wait_running()
        for pause_s in pauses:
            deployment.pause(ENGINES, for_s=pause_s)
            time.sleep(0.3)
    assert calls.failed == []


def test_no_stream_is_cut_because_all_engines_but_one_are_paused(
    deployment: PausableDeployment,
) -> None:
    with Calls(deployment) as calls:
        calls.send(deployment.clients, STREAM_PATHS)
        calls.wait_running()
        used = [name for request_id in calls.ids for name, _ in deployment.ran(request_id)]
        spared = min(ENGINES, key=used.count)
        deployment.pause(set(ENGINES) - {spared}, for_s=PAUSE_S)
    assert calls.failed == []


def test_a_pause_loses_neither_what_may_run_once_only_nor_what_is_sent_meanwhile(
    deployment: PausableDeployment,
) -> None:
    with Calls(deployment) as under_way, Calls(deployment) as sent:

        def _send() -> None:
            time.sleep(0.3)
            sent.send(deployment.clients, (*STREAM_PATHS, *PLAIN_PATHS))

        under_way.send(deployment.clients, ("/minutes/x",))
        under_way.wait_running()
        under_way.send(deployment.clients, PLAIN_PATHS * 3)
        time.sleep(0.1)
        deployment.pause((*ENGINES, *PLAIN_REPLICAS), for_s=PAUSE_S, meanwhile=_send)
    assert under_way.failed == []
    assert sent.lost == []


def test_no_stream_is_ended_by_an_estimate_of_its_clients_patience(
    deployment: PausableDeployment,
) -> None:
    with Calls(deployment) as calls:
        calls.send(deployment.clients, ("/urgent/x",))
        calls.wait_running()
        deployment.pause(ENGINES, for_s=IMPATIENT_PAUSE_S)
    assert calls.failed == []


def test_no_caller_waits_for_replicas_that_rest_after_a_pause(
    deployment: PausableDeployment,
) -> None:
    with Calls(deployment) as before, Calls(deployment) as after:
        before.send(deployment.clients, STREAM_PATHS)
        before.wait_running()
        before.send(deployment.clients, PLAIN_PATHS * 3)
        time.sleep(0.1)
        resumed_at = deployment.pause((*ENGINES, *PLAIN_REPLICAS), for_s=PAUSE_S)
        while monotonic() < resumed_at + RECOVERED_WITHIN_S:
            after.send(deployment.clients, ("/items/x", *PLAIN_PATHS))
            time.sleep(0.3)
    late = [
        str(call)
        for call in after.ended
        if call.took_s > (STREAM_S if call.is_stream else 0.0) + RECOVERED_WITHIN_S
    ]
    assert after.failed == []
    assert late == []
    serving = {name for name, event in deployment.ran() if event.at > resumed_at}
    assert set(PLAIN_REPLICAS) <= serving


def test_no_stream_that_was_passed_on_is_cut_by_a_pause_of_its_engine(
    deployment: PausableDeployment,
) -> None:
    passed = "Passed a request on to another box."

    def _is_passed_on() -> bool:
        deployment.send("box-1", "/items/x", adapter=ADAPTERS[0], deadline_ms=500)
        return passed in deployment.log("box-1")

    cut(deployment, "box-1", control=False, opened="reset", new="reset")
    try:
        wait_until(_is_passed_on, what="box-1 passes a request on")
        with Calls(deployment) as calls:
            calls.send(["box-1"], STREAM_PATHS)
            calls.wait_running()
            deployment.pause(ENGINES, for_s=PAUSE_S)
    finally:
        heal(deployment, "box-1")
    lines = [line for line in deployment.log("box-1").splitlines() if passed in line]
    assert all(any(item in line for line in lines) for item in calls.ids)
    assert calls.failed == []


def test_a_stream_is_resumed_soon_after_its_engine_fell_silent_for_good(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    folder = tmp_path_factory.mktemp("silent")
    # The boxes are soon older than this window and may spend the allowance.
    retries = {"retries": {"window_s": 1.0, "allowance": 100.0}}
    with running(folder, box_settings=retries) as deployment:
        hold_at_several_engines(deployment)
        with Calls(deployment) as calls:
            calls.send(deployment.clients, ("/items/x",))
            calls.wait_running()
            first_at = {request_id: deployment.ran(request_id)[0][0] for request_id in calls.ids}
            silent = max(ENGINES, key=list(first_at.values()).count)
            broken = [item for item, name in first_at.items() if name == silent]
            with deployment.silent([silent]) as silent_at:
                deployment.configure(ROUTES)
                with Calls(deployment) as plain:
                    plain.send(deployment.clients, PLAIN_PATHS)
                failed = calls.failed
        assert broken
        assert failed == []
        assert plain.failed == []
        resumed_after_s = [
            max(event.at for _, event in deployment.ran(request_id)) - silent_at
            for request_id in broken
        ]
        assert min(resumed_after_s) > 0.0
        assert max(resumed_after_s) <= RESUMED_WITHIN_S


def hold_at_several_engines(deployment: PausableDeployment) -> None:
    """Send more streams at once than one engine runs, until several hold each adapter."""

    def _held() -> bool:
        return all(len(deployment.holders(adapter)) > 1 for adapter in ADAPTERS)

    def _is_held_by_a_burst() -> bool:
        with Calls(deployment) as calls, contextlib.suppress(AssertionError):
            calls.send(deployment.clients, ("/items/x",) * 5, models=ADAPTERS)
            wait_until(_held, within_s=STREAM_S)
        return _held()

    wait_until(_is_held_by_a_burst, within_s=30.0, what="several engines hold each adapter")


def test_no_stream_of_a_box_is_cut_by_a_pause_beside_a_box_of_the_previous_release(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    previous = build_at(LAST_RELEASE, tmp_path_factory.mktemp("build"))
    with running(tmp_path_factory.mktemp("mixed"), build_of={"box-2": previous}) as deployment:
        with Calls(deployment) as calls, Calls(deployment) as of_previous:
            calls.send(["box-1"], STREAM_PATHS)
            of_previous.send(["box-2"], STREAM_PATHS)
            calls.wait_running()
            of_previous.wait_running()
            deployment.pause(ENGINES, for_s=PAUSE_S)
        assert calls.failed == []
        assert link_faults(deployment) == []
