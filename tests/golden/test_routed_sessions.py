"""Golden files of routed requests: all bytes that a client receives, one request of each kind."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.golden import golden
from tests.routed.deployment import Answer, Deployment

FOLDER = Path(__file__).parent / "routed_sessions"
BOX = "box-1"
CHANGING = [
    (re.compile(r"i-[0-9a-f]{8}"), "INSTANCE"),
    (re.compile(r"(?m)^(Date|Server|Keep-Alive): .*$"), r"\1: CHANGES"),
    (re.compile(r"(?m)^Retry-After: [0-9.]+$"), "Retry-After: SECONDS"),
]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("routed-golden"), boxes=1) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=4)
        for adapter in ("a1", "a2"):
            deployment.send_until_served(BOX, "/items/x", adapter=adapter)
        deployment.earn_retry(BOX, "/lookup/x", method="GET")
        yield deployment


def format_answer(answer: Answer) -> str:
    lines = [f"{answer.status}"]
    lines += [f"{name}: {value}" for name, value in sorted(answer.headers.items())]
    lines += ["", answer.body.decode()]
    lines += ["the answer is whole" if answer.is_complete else "the answer breaks off here"]
    return "\n".join(lines)


def send_refused(deployment: Deployment) -> Answer:
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, refuse=True)
    answer = deployment.send(BOX, "/join/calls", request_id="golden-refused")
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name)
    return answer


def send_cut(deployment: Deployment) -> Answer:
    for name in ("engine-1", "engine-2"):
        deployment.fault(name, cut_after=2)
    answer = deployment.send(BOX, "/minutes/x", adapter="a2", request_id="golden-cut")
    for name in ("engine-1", "engine-2"):
        deployment.fault(name)
    return answer


CALLS: dict[str, Callable[[Deployment], Answer]] = {
    "safe": lambda d: d.send(BOX, "/lookup/plates?year=1887", method="GET", request_id="golden-1"),
    "unsafe": lambda d: d.send(BOX, "/join/calls", body=b"me", request_id="golden-2"),
    "resumable-stream": lambda d: d.send(BOX, "/items/x", adapter="a1", request_id="golden-3"),
    "stream": lambda d: d.send(BOX, "/minutes/x", adapter="a2", request_id="golden-4"),
    "no-route": lambda d: d.send(BOX, "/elsewhere", request_id="golden-5"),
    "malformed": lambda d: d.send(BOX, "/join/calls", request_id="golden-6", deadline_ms=-1),
    "refused-by-all": send_refused,
    "stream-cut": send_cut,
}


@pytest.mark.parametrize("name", CALLS)
def test_a_routed_session(deployment: Deployment, name: str) -> None:
    golden.check(FOLDER, name, format_answer(CALLS[name](deployment)), changing=CHANGING)
