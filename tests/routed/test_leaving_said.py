"""A box that forwards an answer announcing that its replica is leaving sends it no more requests.

Failure: while the store did not answer, boxes kept sending requests to an engine whose answers,
forwarded by the same boxes, announced that it was leaving. The placer even had it load adapters.
The announcement was read only from the replica's row in the store, not from its answers.

The logs showed it as repeated attempts of one box marked "says it leaves", while no box logged
that the replica "is leaving".
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from springrock.clock import monotonic
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Answer, Deployment

LEAVING = ("rosters-1", "engine-1")
"""The replicas in the zone of box-1, which it prefers."""

LEAVING_EFFECTIVE_S = 2.0
"""Requests may still arrive for this long after the announcement: the users' shortest bound."""

ROUNDS = 8


class RequestKind(NamedTuple):
    """One kind of request."""

    path: str
    method: str = "POST"
    streams: bool = False


REQUEST_KINDS = (
    RequestKind("/lookup/x", "GET"),
    RequestKind("/join/x"),
    RequestKind("/items/x", streams=True),
    RequestKind("/minutes/x", streams=True),
)
"""A repeatable call, one that is not, a resumable stream, one that is not."""


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """A deployment with two leaving replicas that cannot write this to the store."""
    with Deployment(tmp_path_factory.mktemp("leaving")) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        for box in deployment.clients:
            for kind in REQUEST_KINDS:
                deployment.send_until_served(
                    box, kind.path, method=kind.method, adapter=adapter_of(kind, 0)
                )
        for name in LEAVING:
            deployment.fault(name, leaving=True, silent=True)
        yield deployment
        assert deployment.violations() == {}


def adapter_of(kind: RequestKind, number: int) -> str:
    """Return one of as many adapters as both engines have places; empty for plain calls."""
    return f"a{number % 4}" if kind.streams else ""


def send(deployment: Deployment, box: str, kind: RequestKind, number: int) -> Answer:
    adapter = adapter_of(kind, number)
    return deployment.send(box, kind.path, method=kind.method, adapter=adapter)


def wait_until_leaving_is_known(deployment: Deployment, box: str, kind: RequestKind) -> None:
    """Send until an answer announces that its replica is leaving, or the box logs it.

    The box may learn it sooner, as answers to reports and orders of the placer announce it too.
    """
    service = "language" if kind.streams else "rosters"

    def _is_known() -> bool:
        lines = (line for line in deployment.log(box).splitlines() if "is leaving" in line)
        return any(f'"service":"{service}"' in line for line in lines)

    def _is_announced() -> bool:
        answers = (send(deployment, box, kind, number) for number in range(4))
        return any(answer.headers.get("Server-Leaving") == "1" for answer in answers)

    wait_until(
        lambda: _is_known() or _is_announced(),
        what=f"{box} forwards that a replica of {kind.path} is leaving",
    )


def late_arrivals(deployment: Deployment, since: float) -> dict[str, int]:
    """Return the number of requests that arrived after a time, by leaving replica."""
    return {
        name: sum(at > since for at in deployment.counters(name)["arrivals"]) for name in LEAVING
    }


@pytest.mark.parametrize("kind", REQUEST_KINDS, ids=lambda kind: kind.path.split("/")[1])
def test_a_box_that_forwarded_the_announcement_sends_nothing_more(
    deployment: Deployment, kind: RequestKind
) -> None:
    wait_until_leaving_is_known(deployment, "box-1", kind)
    since = monotonic() + LEAVING_EFFECTIVE_S
    wait_until(lambda: monotonic() > since, what="the bound has passed")
    statuses = [send(deployment, "box-1", kind, number).status for number in range(ROUNDS)]
    arrived = late_arrivals(deployment, since)
    assert arrived["engine-1" if kind.streams else "rosters-1"] == 0
    assert 200 in statuses, "the other replica serves"


def test_the_announcement_reaches_all_boxes_and_no_adapter_is_loaded_there(
    deployment: Deployment,
) -> None:
    wait_until_leaving_is_known(deployment, "box-1", REQUEST_KINDS[0])
    wait_until_leaving_is_known(deployment, "box-1", REQUEST_KINDS[2])

    def _is_notified() -> bool:
        lines = [line for line in deployment.log("box-2").splitlines() if "is leaving" in line]
        return len(lines) == len(LEAVING) and all('"sign":"box"' in line for line in lines)

    wait_until(
        _is_notified,
        within_s=LEAVING_EFFECTIVE_S,
        what="box-2 knows that both replicas are leaving",
    )
    since = monotonic()
    for number in range(ROUNDS):
        for kind in REQUEST_KINDS:
            send(deployment, "box-2", kind, number)
        deployment.send_until_served("box-2", "/items/x", adapter=f"new-{number}")
    assert late_arrivals(deployment, since) == dict.fromkeys(LEAVING, 0)
    loaded = deployment.counters("engine-1")["adapters"]
    assert not [name for name in loaded if name.startswith("new")]
