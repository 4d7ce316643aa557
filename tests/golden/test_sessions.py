"""Golden files of sessions: all bytes that callers and operators receive, one of each kind."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from springrock.emulator.deployment import Shape
from tests.cluster import Cluster, Reply
from tests.golden import golden

FOLDER = Path(__file__).parent / "sessions"
BOX = "zone-1-a"
COMPARED_HEADERS = (
    "Content-Type",
    "Retry-After",
    "Springrock-Box",
    "Springrock-Model",
    "Springrock-Replica",
    "Springrock-Request-Id",
    "Springrock-Run-State",
)
CHANGING = [
    (re.compile(r'("retry_after_s":)[0-9.]+'), r"\1N"),
    (re.compile(r"needs [0-9.]+ s and has [0-9.]+ s"), "needs N s and has N s"),
    (re.compile(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d"), "DATE TIME"),
]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("golden")
    with Cluster(folder, Shape.from_small(zones=1, boxes_per_zone=1, engines=1)) as cluster:
        yield cluster
        assert cluster.violations() == {}


def format_reply(reply: Reply) -> str:
    lines = [f"{reply.status}"]
    lines += [
        f"{name}: {reply.headers[name]}" for name in COMPARED_HEADERS if name in reply.headers
    ]
    return "\n".join([*lines, "", reply.body.decode()])


def check(name: str, text: str) -> None:
    golden.check(FOLDER, name, text, changing=CHANGING)


def chat(cluster: Cluster, *, stream: bool) -> Reply:
    body = {
        "model": "base:style-00001@1",
        "messages": [{"role": "user", "content": "Summarise the fisheries meeting."}],
        "max_tokens": 3,
        "stream": stream,
    }
    headers = {"Springrock-Request-Id": f"chat-{stream}", "Content-Type": "application/json"}
    url = f"http://{cluster.addresses.callers[BOX]}/v1/chat/completions"
    response = cluster.pool.request("POST", url, body=json.dumps(body).encode(), headers=headers)
    return Reply(response.status, response.headers, response.data)


def with_id(request_id: str, **headers: str) -> dict[str, str]:
    return {"Springrock-Request-Id": request_id, **headers}


CALLS: dict[str, Callable[[Cluster], Reply]] = {
    "completion-whole": lambda c: c.complete(BOX, 1, headers=with_id("g-1")),
    "completion-streamed": lambda c: c.complete(BOX, 1, stream=True, headers=with_id("g-2")),
    "chat-whole": lambda c: chat(c, stream=False),
    "chat-streamed": lambda c: chat(c, stream=True),
    "service-lookup": lambda c: c.service(
        BOX, "plates/1887?band=b", method="GET", headers=with_id("g-3")
    ),
    "service-annotation": lambda c: c.service(
        BOX, "annotations", headers=with_id("g-4", **{"Springrock-Repeatable": "no"})
    ),
    "service-annotation-repeated": lambda c: c.service(
        BOX, "annotations", headers=with_id("g-4", **{"Springrock-Repeatable": "no"})
    ),
    "refused-unknown-adapter": lambda c: c.complete(BOX, "base:none", headers=with_id("g-5")),
    "refused-malformed": lambda c: c.complete(BOX, "base", tokens=0, headers=with_id("g-6")),
    "refused-too-late": lambda c: c.complete(
        BOX, 1, tokens=500, headers=with_id("g-7", **{"Springrock-Deadline-Ms": "200"})
    ),
    "models": lambda c: c.get(BOX, "/v1/models"),
    "readyz": lambda c: c.get(BOX, "/readyz"),
}


@pytest.mark.parametrize("name", CALLS)
def test_a_callers_session(cluster: Cluster, name: str) -> None:
    check(name, format_reply(CALLS[name](cluster)))


def test_an_operators_session(cluster: Cluster) -> None:
    lines = []
    for statement in [
        "help",
        "show boxes",
        'show adapters like "base:style-0000*" first 2',
        "create adapter base:harvest version 1,2 for workload minutes",
        "use version 1 of adapter base:harvest",
        "set workload minutes priority 7 limit 20 stall weight 0.8",
        "show workloads",
        "show changes",
        "place style-00003@1 on small-engine-1",
        "drain small-engine-1",
        "undrain small-engine-1",
    ]:
        answer = cluster.ask(BOX, statement, wait_s=5.0)
        lines += [f"> {statement}", answer.text]
        lines += ["  ".join(row) for row in [answer.columns, *answer.rows] if row]
    check("operator", "\n".join(lines))
