"""Reports of engines and answers to orders that never end: the box serves and places on."""

from __future__ import annotations

import concurrent.futures
import itertools
import time
from collections.abc import Iterator
from typing import Any

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
    Call,
    call,
    memory_mb,
    running,
)

MIN_ASKED = 2
"""A placer that asks once more has given the first answer up."""

_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with running(tmp_path_factory.mktemp("endless")) as deployment:
        yield deployment


def demand_adapters(deployment: Deployment, *, until: float) -> list[Call]:
    """Ask for one new adapter after the other, which takes reports and orders."""
    calls = []
    while monotonic() < until:
        calls.append(call(deployment, "/items/x", adapter=f"new-{next(_numbers)}"))
        time.sleep(0.05)
    return calls


def wait_until_placed(deployment: Deployment) -> None:
    """Wait until the placer has a new adapter loaded and requests reach it."""
    adapter = f"new-{next(_numbers)}"
    wait_until(
        lambda: call(deployment, "/items/x", adapter=adapter).is_whole,
        what="a new adapter is served",
    )


def assert_harmless_to_placer(deployment: Deployment, answer: str, endless: dict[str, Any]) -> None:
    """Assert that a box goes on serving and placing if an engine's report or order never ends."""
    wait_until_placed(deployment)
    before = deployment.counters("engine-1")["endless"].get(answer, 0)
    # An engine that has lost its state rejects orders, and the placer reads its report.
    deployment.fault("engine-1", reborn=True, **{f"endless_{answer}": endless})
    until = monotonic() + 2 * DEADLINE_S
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        asking = [pool.submit(demand_adapters, deployment, until=until) for _ in range(CALLERS)]
        others = []
        while monotonic() < until:
            others.append(call(deployment, "/lookup/x"))
            time.sleep(0.05)
        ended = [item for future in asking for item in future.result()]
    sent = deployment.counters("engine-1")["endless"].get(answer, 0) - before
    deployment.fault("engine-1")
    assert [item for item in others if not item.is_whole] == []
    assert [item for item in others if item.took_s > SERVED_WITHIN_S] == []
    assert memory_mb(deployment) < MAX_MEMORY_MB
    assert [item for item in ended if item.took_s > ANSWERED_WITHIN_S] == []
    assert sent >= MIN_ASKED
    wait_until_placed(deployment)


@pytest.mark.parametrize("pause_ms", PAUSES_MS)
@pytest.mark.parametrize("part", PLAIN_PARTS)
def test_an_endless_report_does_not_stop_the_box(
    deployment: Deployment, part: EndlessPart, pause_ms: float
) -> None:
    assert_harmless_to_placer(deployment, "report", {"part": part, "pause_ms": pause_ms})


@pytest.mark.parametrize("pause_ms", PAUSES_MS)
@pytest.mark.parametrize("part", PLAIN_PARTS)
def test_an_endless_answer_to_an_order_does_not_stop_the_box(
    deployment: Deployment, part: EndlessPart, pause_ms: float
) -> None:
    assert_harmless_to_placer(deployment, "order", {"part": part, "pause_ms": pause_ms})
