"""Boxes soon stop sending requests that share a part of their prompts that crashes replicas.

Failure: engine after engine crashed for half a minute, as a crash counted against whole requests
only, and no two of those that shared the part were alike.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import pytest

from springrock.clock import monotonic
from springrock.emulator.replica_events import ReplicaEvent, ReplicaEventKind, read_replica_events
from tests.processes import wait_until
from tests.routed.deployment import MODEL, REPLICAS, ZONES, Answer
from tests.routed.test_crashing_requests import CrashingDeployment, Supervisor

CRASHING_PART = "bad0"
SHARED_PART = "5c1e07a2"
"""The first part of all requests."""

ENGINES = 6

CRASHES = 5
CONTACT_S = 3.0
"""The users' shortest time after which a deployment without disruption meets its bounds."""

MAX_ARRIVALS = 3
"""Requests with the part that may reach replicas, if sent `CONTACT_S` after the fifth crash."""

MIN_SOUND_RATIO = 0.5
"""Least share of sound requests served at the first try, relative to that before the crashes."""

_BEFORE_S = 3.0
_CRASHING_S = 18.0
_SOUND_SENDERS = 3
_SOUND_PAUSE_S = 0.05
_CRASHING_SENDERS = 2
_CRASHING_PAUSE_S = 0.25


class Sent(NamedTuple):
    """A request that a client sent once.

    Attributes:
        at: When it was sent, on the machine's monotonic clock.
    """

    request_id: str
    at: float
    answer: Answer | None

    @property
    def served(self) -> bool:
        """Whether the client received a complete success."""
        return self.answer is not None and self.answer.status == 200 and self.answer.is_complete


class Senders:
    """Threads that send requests, no two alike, to boxes in turn until the end of a block.

    Args:
        deployment: The deployment to send to.
        parts: Returns the parts of the next prompt that it shares with others.
    """

    def __init__(
        self,
        deployment: CrashingDeployment,
        parts: Callable[[], tuple[str, ...]],
        *,
        count: int,
        pause_s: float,
    ) -> None:
        self._deployment = deployment
        self._parts = parts
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._send_loop) for _ in range(count)]
        self.sent: list[Sent] = []

    def __enter__(self) -> Senders:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_loop(self) -> None:
        boxes = list(self._deployment.clients)
        while not self._stop.wait(self._pause_s):
            self.sent.append(send_with_parts(self._deployment, random.choice(boxes), self._parts()))


def send_with_parts(deployment: CrashingDeployment, box: str, parts: tuple[str, ...]) -> Sent:
    """Send a request like no other, whose prompt has some parts and a last one of its own."""
    request_id = deployment.new_id()
    prompt = ",".join(f"{part}:100" for part in (*parts, request_id))
    sent_at = monotonic()
    try:
        answer = deployment.send(
            box,
            f"/items/{request_id}",
            request_id=request_id,
            deadline_ms=2000,
            extra_headers={"Springrock-Prompt-Prefix": prompt},
        )
    except OSError:
        return Sent(request_id, sent_at, None)
    return Sent(request_id, sent_at, answer)


class Play(NamedTuple):
    """What clients and replicas saw while requests with the crashing part came.

    Attributes:
        began_at: When the first request with the part could be sent.
        fifth_crash_at: When the fifth replica, or the last of fewer, began to run one.
        sound: The requests without the part.
        crashing: The requests with it.
        arrivals: The arrivals of those at replicas, in order.
    """

    began_at: float
    fifth_crash_at: float
    sound: list[Sent]
    crashing: list[Sent]
    arrivals: list[ReplicaEvent]


class PartsDeployment(CrashingDeployment):
    """A deployment whose replicas crash on a part of prompts."""

    def start_replica(self, name: str, service: str, zone: str, **fields: object) -> None:
        super().start_replica(name, service, zone, crashes_on_part=CRASHING_PART, **fields)

    def start_engines(self) -> None:
        """Start the engines beyond the one of each zone."""
        for number in range(len(ZONES) + 1, ENGINES + 1):
            zone = ZONES[number % len(ZONES)]
            self.start_replica(f"engine-{number}", "language", zone, base_model=MODEL)

    def arrivals_of(self, sent: list[Sent]) -> list[ReplicaEvent]:
        """Return the arrivals of requests at replicas, in order."""
        ids = {item.request_id for item in sent}
        return sorted(
            (
                event
                for name in self.replicas
                for event in read_replica_events(self.events_path(name))
                if event.request_id in ids
            ),
            key=lambda event: event.at,
        )


def crashes_among(arrivals: list[ReplicaEvent]) -> list[ReplicaEvent]:
    return [event for event in arrivals if event.kind is ReplicaEventKind.RAN]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PartsDeployment]:
    with PartsDeployment(tmp_path_factory.mktemp("parts"), boxes=3) as deployment:
        deployment.configure()
        deployment.start_engines()
        deployment.wait_ready(replicas=REPLICAS + ENGINES - len(ZONES))
        with Supervisor(deployment):
            yield deployment


@pytest.fixture(scope="module")
def play(deployment: PartsDeployment) -> Play:
    rare_parts = [f"91bd{number:02x}" for number in range(20)]
    sound = Senders(
        deployment,
        lambda: (SHARED_PART, random.choice(rare_parts)),
        count=_SOUND_SENDERS,
        pause_s=_SOUND_PAUSE_S,
    )
    crashing = Senders(
        deployment,
        lambda: (SHARED_PART, CRASHING_PART, random.choice(rare_parts)),
        count=_CRASHING_SENDERS,
        pause_s=_CRASHING_PAUSE_S,
    )
    with sound:
        time.sleep(_BEFORE_S)
        began_at = monotonic()
        with crashing:
            time.sleep(_CRASHING_S)
    arrivals = deployment.arrivals_of(crashing.sent)
    crashes = crashes_among(arrivals)
    assert crashes, "the part crashed an engine"
    return Play(began_at, crashes[:CRASHES][-1].at, sound.sent, crashing.sent, arrivals)


def test_requests_with_a_part_that_crashes_replicas_soon_reach_none(play: Play) -> None:
    sent_at = {item.request_id: item.at for item in play.crashing}
    bound = play.fifth_crash_at + CONTACT_S
    late = [event for event in play.arrivals if sent_at[event.request_id] > bound]
    assert len(late) <= MAX_ARRIVALS, f"{len(crashes_among(play.arrivals))} crashes in all"


def test_sound_requests_with_the_same_first_part_are_soon_served_again(play: Play) -> None:
    before = [item.served for item in play.sound if item.at < play.began_at]
    bound = play.fifth_crash_at + 2 * CONTACT_S
    after = [item.served for item in play.sound if item.at > bound]
    assert len(before) >= 20
    assert len(after) >= 20
    share_before = sum(before) / len(before)
    assert sum(after) / len(after) >= MIN_SOUND_RATIO * share_before


def test_boxes_that_start_refuse_requests_with_the_part_and_serve_others(
    deployment: PartsDeployment, play: Play
) -> None:
    for box in deployment.clients:
        deployment.processes.kill(box)
    for box in deployment.clients:
        deployment.processes.restart(box)
    deployment.wait_ready()
    refused = [
        send_with_parts(deployment, box, (SHARED_PART, CRASHING_PART)) for box in deployment.clients
    ]
    assert [item.answer and item.answer.status for item in refused] == [503] * len(refused)
    assert deployment.arrivals_of(refused) == []
    for box in deployment.clients:
        assert wait_until(
            lambda box=box: send_with_parts(deployment, box, (SHARED_PART, "91bd00")).served,
            what=f"a sound request is served by {box}",
        )
