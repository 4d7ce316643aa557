"""Streams during a release of the replicas' software, with real processes."""

from __future__ import annotations

import contextlib
import http.client
import signal
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from tests.processes import wait_until
from tests.routed.deployment import MODEL, REPLICAS, Answer, Deployment

VERSION_OF = {"engine-1": "v1", "engine-2": "v2", "engine-3": "v1", "engine-4": "v2"}
STREAMS = 8
TAKE_UP_S = 3.0
"""For how long streams are taken up after all boxes are ready."""


@pytest.fixture
def software_of() -> dict[str, str | int]:
    return dict(VERSION_OF)


@pytest.fixture
def deployment(
    tmp_path_factory: pytest.TempPathFactory, software_of: dict[str, str | int]
) -> Iterator[Deployment]:
    """Four boxes in two zones, each with an engine of either version, and slow streams."""
    deployment = Deployment(
        tmp_path_factory.mktemp("software"),
        boxes=4,
        software_of=software_of,
        first_start=True,
        replica_settings={"events": 20, "event_pause_ms": 100},
    )
    with deployment:
        for name, zone in (("engine-3", "zone-1"), ("engine-4", "zone-2")):
            deployment.start_replica(name, "language", zone, base_model=MODEL)
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS + 2)
        deployment.placer_and_other(deployment.zones[0])
        deployment.end_first_start()
        for box in deployment.clients:
            deployment.send_until_served(box, "/items/x", adapter="a1")
        yield deployment
        assert deployment.violations() == {}


def begin_streams(deployment: Deployment, box: str) -> dict[str, Answer]:
    """Begin streams at a box, kill it while they run, and return what each brought."""
    begun: dict[str, Answer] = {}

    def _stream(request_id: str) -> None:
        begun[request_id] = deployment.send(box, "/items/x", request_id=request_id, adapter="a1")

    ids = [deployment.new_id() for _ in range(STREAMS)]
    threads = [threading.Thread(target=_stream, args=(request_id,)) for request_id in ids]
    for thread in threads:
        thread.start()
    wait_until(
        lambda: all(deployment.runs(request_id) for request_id in ids), what="all streams run"
    )
    time.sleep(0.5)
    deployment.processes.kill(box)
    for thread in threads:
        thread.join()
    return {request_id: answer for request_id, answer in begun.items() if answer.event_ids}


def take_up(
    deployment: Deployment, box: str, request_id: str, begun: Answer, *, adapter: str = "a1"
) -> Answer:
    return deployment.send(
        box,
        "/items/x",
        adapter=adapter,
        extra_headers={"Resumes": request_id, "Last-Event-Id": str(begun.event_ids[-1])},
    )


def test_streams_of_a_killed_box_go_on_elsewhere_only_at_the_version_that_began_them(
    deployment: Deployment,
) -> None:
    _, other = deployment.placer_and_other("zone-1")
    begun = begin_streams(deployment, other)
    assert len(begun) >= STREAMS / 2
    remaining = [box for box in deployment.clients if box != other]
    went_on = 0
    for number, (request_id, first) in enumerate(begun.items()):
        rest = take_up(deployment, remaining[number % len(remaining)], request_id, first)
        if rest.status != 200:
            continue
        went_on += 1
        assert first.event_ids + rest.event_ids == list(range(1, 21))
        assert len({*first.event_software, *rest.event_software}) == 1
    assert went_on >= len(begun) / 2


def test_an_unknown_stream_is_refused_while_two_versions_serve(deployment: Deployment) -> None:
    refused = deployment.send(
        "box-1",
        "/items/x",
        adapter="a1",
        extra_headers={"Resumes": "ffffffffffffffff", "Last-Event-Id": "3"},
    )
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) > 0


def test_a_stream_whose_replicas_are_gone_ends_and_is_not_continued_at_another_version(
    deployment: Deployment,
) -> None:
    answers: list[Answer] = []
    threads = [
        threading.Thread(
            target=lambda: answers.append(deployment.send("box-1", "/items/x", adapter="a1"))
        )
        for _ in range(STREAMS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.6)
    for name in ("engine-1", "engine-3"):
        deployment.processes.kill(name)
        del deployment.addresses[name]
    for thread in threads:
        thread.join()
    assert all(len(set(answer.event_software)) <= 1 for answer in answers)
    whole = [answer for answer in answers if answer.event_ids == list(range(1, 21))]
    assert {answer.event_software[0] for answer in whole} <= {"v2"}


@pytest.mark.parametrize("software_of", [dict.fromkeys(VERSION_OF, "v1")])
def test_streams_of_a_young_deployment_go_on_after_all_boxes_were_killed_as_one_version_served(
    deployment: Deployment,
) -> None:
    begun = begin_streams(deployment, "box-1")
    assert len(begun) >= STREAMS / 2
    for box in ("box-2", "box-3", "box-4"):
        deployment.processes.kill(box)
    for box in deployment.clients:
        deployment.processes.restart(box)
    deployment.wait_ready(replicas=REPLICAS + 2)
    for box in deployment.clients:
        deployment.send_until_served(box, "/items/x", adapter="a1")
    statuses = [
        take_up(deployment, f"box-{1 + number % 4}", request_id, first).status
        for number, (request_id, first) in enumerate(begun.items())
    ]
    assert statuses.count(200) >= len(begun) / 2


def test_streams_go_on_after_all_boxes_were_killed_in_a_release(deployment: Deployment) -> None:
    """Guards against origins that are lost with the boxes that know them."""
    begun = begin_streams(deployment, "box-2")
    assert len(begun) >= STREAMS / 2
    deployment.processes.restart("box-2")
    deployment.wait_ready(replicas=REPLICAS + 2)
    time.sleep(1.0)
    restart_all_boxes(deployment)
    deployment.wait_ready(replicas=REPLICAS + 2)
    for box in deployment.clients:
        deployment.send_until_served(box, "/items/x", adapter="a1")
    went_on = 0
    for number, (request_id, first) in enumerate(begun.items()):
        rest = take_up(deployment, f"box-{1 + number % 4}", request_id, first)
        if rest.status == 200:
            went_on += 1
            assert len({*first.event_software, *rest.event_software}) == 1
    assert went_on >= len(begun) / 2


def restart_all_boxes(deployment: Deployment) -> None:
    """Kill all boxes at once, then start them again."""
    for box in deployment.clients:
        deployment.processes.signal(box, signal.SIGKILL)
    for box in deployment.clients:
        deployment.processes.restart(box)


def take_up_until_ready(
    deployment: Deployment, begun: dict[str, Answer], *, adapter_of: Callable[[str], str]
) -> list[tuple[Answer, Answer]]:
    """Take streams up while all boxes start; return the successes, each with its beginning."""
    went_on = []
    ready_at = None
    while ready_at is None or time.monotonic() < ready_at + TAKE_UP_S:
        for number, (request_id, first) in enumerate(begun.items()):
            box = f"box-{1 + number % len(deployment.clients)}"
            with contextlib.suppress(OSError, http.client.HTTPException):
                rest = take_up(deployment, box, request_id, first, adapter=adapter_of(request_id))
                if rest.status == 200:
                    went_on.append((first, rest))
        if ready_at is None and all(map(deployment.is_ready, deployment.clients)):
            ready_at = time.monotonic()
    return went_on


def joined_from_two_versions(streams: list[tuple[Answer, Answer]]) -> list[set[str]]:
    versions = [{*first.event_software, *rest.event_software} for first, rest in streams]
    return [found for found in versions if len(found) > 1]


def adapter_by_id(request_id: str) -> str:
    """Return one of several adapters, so that engines of both versions serve some."""
    return f"a{1 + int(request_id, 16) % 4}"


def begin_streams_at_all(deployment: Deployment) -> dict[str, Answer]:
    """Begin streams at all boxes, kill all boxes while they run, and return what each brought."""
    begun: dict[str, Answer] = {}

    def _stream(box: str, request_id: str) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            begun[request_id] = deployment.send(
                box, "/items/x", request_id=request_id, adapter=adapter_by_id(request_id)
            )

    threads = [
        threading.Thread(target=_stream, args=(box, deployment.new_id()))
        for box in deployment.clients
        for _ in range(STREAMS // 2)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.8)
    restart_all_boxes(deployment)
    for thread in threads:
        thread.join()
    return {request_id: answer for request_id, answer in begun.items() if answer.event_ids}


def test_no_stream_is_joined_from_two_versions_after_all_boxes_were_killed_in_a_release(
    deployment: Deployment,
) -> None:
    """Guards against boxes that take the versions they see at their start for all that served."""
    begun = begin_streams_at_all(deployment)
    assert {version for first in begun.values() for version in first.event_software} == {"v1", "v2"}
    assert (
        joined_from_two_versions(take_up_until_ready(deployment, begun, adapter_of=adapter_by_id))
        == []
    )


def test_no_stream_is_joined_from_two_versions_after_the_old_one_left_and_all_boxes_were_killed(
    deployment: Deployment,
) -> None:
    """Guards against boxes that know only the versions that still serve."""
    begun = begin_streams(deployment, "box-2")
    begun = {key: first for key, first in begun.items() if first.event_software[0] == "v1"}
    assert begun
    for name in ("engine-1", "engine-3"):
        instance = deployment.counters(name)["instance"]
        deployment.processes.kill(name)
        del deployment.addresses[name]
        deployment.remove_row("servers", instance)
    wait_until(
        lambda: deployment.metric("box-1", "springrock_forwarding_replicas") <= REPLICAS,
        what="the old version has left",
    )
    restart_all_boxes(deployment)
    assert (
        joined_from_two_versions(take_up_until_ready(deployment, begun, adapter_of=lambda _: "a1"))
        == []
    )
