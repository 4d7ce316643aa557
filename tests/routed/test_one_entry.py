"""Requests are served as often while one box receives most new connections.

Failure: what a box may use of a sum over all boxes (a replica's limit, a team's quota, retries) is
divided by the number of boxes, so that the box with most of the requests refuses them.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest

from springrock.clock import monotonic
from tests.routed.deployment import MODEL, REPLICAS, ROUTES, ZONES, Deployment

BOXES = 4
ENGINES = 4
KEY = "key-of-one-4f1d"
PATHS = ("/lookup/x", "/join/x", "/items/x", "/minutes/x")

SHARE_TO_ONE = 0.9
CONTACT_S = 3.0
"""The users' shortest time after which a deployment meets its bounds."""

MIN_SERVED_RATIO = 0.75
"""Least share of requests served at the first try, relative to that before."""

_BEFORE_S = 4.0
_DURING_S = CONTACT_S + 5.0
_SENDERS = 8
_PAUSE_S = 0.15
_LIMIT_PER_S = 14.0
"""More than each replica receives, less than four times what a box may send of it by itself."""

_QUOTA_PER_S = 50.0


class Sent(NamedTuple):
    """A request on a connection of its own.

    Attributes:
        served: Whether the answer was a complete success.
    """

    at: float
    box: str
    served: bool


class Entry:
    """Sends requests on new connections, to all boxes alike or most of them to one.

    Attributes:
        favourite: The box that receives most of them; empty for none.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._send_loop) for _ in range(_SENDERS)]
        self.favourite = ""
        self.sent: list[Sent] = []

    def __enter__(self) -> Entry:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_loop(self) -> None:
        while not self._stop.wait(_PAUSE_S * random.uniform(0.5, 1.5)):
            box = random.choice(sorted(self._deployment.clients))
            if self.favourite and random.random() < SHARE_TO_ONE:
                box = self.favourite
            self._send(box, random.choice(PATHS))

    def _send(self, box: str, path: str) -> None:
        at = monotonic()
        try:
            answer = self._deployment.send(
                box, path, deadline_ms=2000, extra_headers={"Api-Key": KEY}
            )
        except ConnectionRefusedError:
            return  # No machine has read it.
        except OSError:
            self.sent.append(Sent(at, box, served=False))
            return
        self.sent.append(Sent(at, box, answer.status == 200 and answer.is_complete))

    def served_share(self, *, since: float, until: float) -> float:
        """Return the share of requests served, of those that were sent in an interval."""
        served = [item.served for item in self.sent if since <= item.at < until]
        assert len(served) >= 20
        return sum(served) / len(served)


class Sums(NamedTuple):
    """The sums over all boxes that replicas and operators have set.

    Attributes:
        limited: Whether replicas name a limit.
        team: What the operator's row says of the team, besides its name and key.
    """

    limited: bool = False
    team: dict[str, Any] = {}


@pytest.fixture(
    params=[Sums(), Sums(limited=True), Sums(team={"ratePerS": _QUOTA_PER_S})],
    ids=["nothing", "limit", "quota"],
)
def deployment(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Deployment]:
    sums: Sums = request.param
    with Deployment(tmp_path_factory.mktemp("entry"), boxes=BOXES) as deployment:
        deployment.tenants = [{"name": "one", "apiKeys": [KEY], **sums.team}]
        deployment.configure(ROUTES)
        for number in range(len(ZONES) + 1, ENGINES + 1):
            zone = ZONES[number % len(ZONES)]
            deployment.start_replica(f"engine-{number}", "language", zone, base_model=MODEL)
        deployment.wait_ready(replicas=REPLICAS + ENGINES - len(ZONES))
        for name in [name for name in deployment.addresses if name != "store"]:
            if sums.limited:
                deployment.fault(name, limit_per_s=_LIMIT_PER_S)
        for box in deployment.clients:
            for path in PATHS:
                deployment.send_until_served(box, path, extra_headers={"Api-Key": KEY})
        yield deployment


def test_a_box_that_receives_most_connections_serves_as_often_as_all_did(
    deployment: Deployment,
) -> None:
    with Entry(deployment) as entry:
        time.sleep(CONTACT_S)
        began_at = monotonic()
        time.sleep(_BEFORE_S)
        before = entry.served_share(since=began_at, until=monotonic())
        entry.favourite = "box-2"
        moved_at = monotonic()
        time.sleep(_DURING_S)
        during = entry.served_share(since=moved_at + CONTACT_S, until=monotonic())
        deployment.processes.kill(entry.favourite)
        entry.favourite = "box-3"
        moved_at = monotonic()
        time.sleep(_DURING_S)
        after = entry.served_share(since=moved_at + CONTACT_S, until=monotonic())
    assert before >= 0.9
    assert during >= MIN_SERVED_RATIO * before
    assert after >= MIN_SERVED_RATIO * before
