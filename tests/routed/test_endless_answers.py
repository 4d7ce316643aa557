"""Answers that never end: they hold one request up to its deadline, and nothing else."""

from __future__ import annotations

import concurrent.futures
import time
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from springrock.emulator.endless import EndlessPart
from tests.processes import wait_until
from tests.routed.deployment import Deployment
from tests.routed.endless import (
    ANSWERED_WITHIN_S,
    CALLERS,
    DEADLINE_S,
    MAX_MEMORY_MB,
    PAUSES_MS,
    PLAIN_PARTS,
    SERVED_WITHIN_S,
    call,
    memory_mb,
    running,
)

LONG_ANSWER_BYTES = 40 * 2**20


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with running(tmp_path_factory.mktemp("endless")) as deployment:
        yield deployment


def assert_harmless(
    deployment: Deployment, *, endless: tuple[str, ...], path: str, other_path: str
) -> None:
    """Assert that a box whose replicas send answers without end serves everything else."""
    with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as pool:
        held = [pool.submit(call, deployment, path) for _ in range(CALLERS)]
        others = []
        until = monotonic() + DEADLINE_S
        while monotonic() < until:
            others.append(pool.submit(call, deployment, other_path).result())
            time.sleep(0.05)
        ended = [future.result() for future in held]
    for name in endless:
        deployment.fault(name)
    assert [item for item in ended if item.is_whole] == []
    assert [item for item in ended if item.took_s > ANSWERED_WITHIN_S] == []
    assert [item for item in others if not item.is_whole] == []
    assert [item for item in others if item.took_s > SERVED_WITHIN_S] == []
    assert memory_mb(deployment) < MAX_MEMORY_MB
    wait_until(lambda: call(deployment, path).is_whole, what="the replicas are used again")


@pytest.mark.parametrize("pause_ms", PAUSES_MS)
@pytest.mark.parametrize("part", PLAIN_PARTS)
def test_an_endless_plain_answer_stops_neither_the_box_nor_its_caller(
    deployment: Deployment, part: EndlessPart, pause_ms: float
) -> None:
    endless = ("rosters-1", "rosters-2")
    for name in endless:
        deployment.fault(name, endless={"part": part, "pause_ms": pause_ms})
    assert_harmless(deployment, endless=endless, path="/lookup/x", other_path="/items/x")


@pytest.mark.parametrize("pause_ms", PAUSES_MS)
@pytest.mark.parametrize("part", EndlessPart)
def test_an_endless_stream_stops_neither_the_box_nor_its_caller(
    deployment: Deployment, part: EndlessPart, pause_ms: float
) -> None:
    deployment.fault("engine-1", endless={"part": part, "pause_ms": pause_ms})
    assert_harmless(deployment, endless=("engine-1",), path="/items/x", other_path="/lookup/x")


@pytest.mark.parametrize("unframed", [False, True])
def test_a_long_answer_is_whole_and_takes_no_memory(deployment: Deployment, unframed: bool) -> None:
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, answer_bytes=LONG_ANSWER_BYTES, unframed=unframed)
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        sent = [
            pool.submit(call, deployment, "/lookup/x", deadline_s=20.0, whole=True)
            for _ in range(CALLERS)
        ]
        calls = [future.result() for future in sent]
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name)
    assert all(item.is_whole for item in calls)
    assert {len(item.answer.body) for item in calls} == {LONG_ANSWER_BYTES}
    assert memory_mb(deployment) < MAX_MEMORY_MB
