"""Tests that a series pauses replicas as drawn, and leaves nothing behind."""

from __future__ import annotations

import random
import threading
from itertools import islice
from typing import Any

import pytest

from bench.soak.faults.pause_series import PausedInSeries
from bench.soak.pause_series import (
    CHANGED_FIELDS,
    PAUSE_RANGE_S,
    PauseSeries,
    draw_changes,
    draw_steps,
)
from bench.soak.shape import WITHDRAWABLE, Shape, SoakConfiguration

SHAPE = Shape.from_boxes(4)


class Recorded:
    """Records what a series does, and tells when it has done some of it."""

    def __init__(self) -> None:
        self.signals: list[str] = []
        self.configured = SoakConfiguration()
        self.changes = 0
        self.busy = threading.Event()

    def series(self, seed: str) -> PauseSeries:
        return PauseSeries(
            seed,
            pause=lambda: self.signals.append("pause"),
            resume=lambda: self.signals.append("resume"),
            change=self.change,
        )

    def change(self, **fields: Any) -> None:
        self.configured = self.configured._replace(**fields)
        self.changes += 1
        if self.changes >= 2:
            self.busy.set()


def test_the_same_seed_draws_the_same_series() -> None:
    assert list(islice(draw_steps("1"), 9)) == list(islice(draw_steps("1"), 9))
    assert list(islice(draw_changes("1"), 9)) == list(islice(draw_changes("1"), 9))
    assert list(islice(draw_steps("1"), 9)) != list(islice(draw_steps("2"), 9))


def test_pauses_and_gaps_take_turns_and_pauses_are_within_their_bounds() -> None:
    steps = list(islice(draw_steps("1"), 100))
    assert [step.paused for step in steps] == [True, False] * 50
    shortest_s, longest_s = PAUSE_RANGE_S
    assert all(shortest_s <= step.lasts_s <= longest_s for step in steps if step.paused)


def test_a_series_that_is_stopped_resumes_the_replicas_and_reverts_its_changes() -> None:
    recorded = Recorded()
    series = recorded.series("1")
    series.start()
    assert recorded.busy.wait(5.0)
    assert recorded.signals[0] == "pause"
    series.stop()
    assert recorded.signals[-1] == "resume"
    assert recorded.configured == SoakConfiguration()


def test_a_series_that_is_stopped_at_once_changes_nothing() -> None:
    recorded = Recorded()
    series = recorded.series("1")
    series.start()
    series.stop()
    assert recorded.signals[-1] == "resume"
    assert recorded.changes == 0


def test_all_replicas_of_a_service_or_all_but_one_are_paused() -> None:
    left_out = set()
    for seed in range(99):
        _, *paused = PausedInSeries().targets(random.Random(seed), SHAPE)
        service = paused[0].rpartition("-")[0]
        left_out.add((service, len(SHAPE.replicas_of(service)) - len(paused)))
    services = ("catalog", "language", "rosters")
    assert left_out == {(service, count) for service in services for count in (0, 1)}


@pytest.mark.parametrize("field", CHANGED_FIELDS)
def test_each_change_changes_the_configuration(field: str) -> None:
    before, after = SoakConfiguration(), SoakConfiguration()._replace(**{field: True})
    assert (before.routes(), before.limits()) != (after.routes(), after.limits())
    assert before.tenants() == after.tenants()


def test_the_withdrawn_route_is_the_only_one_that_goes() -> None:
    all_names = {route["name"] for route in SoakConfiguration().routes()}
    names = {route["name"] for route in SoakConfiguration(withdrawn=True).routes()}
    assert all_names - names == {WITHDRAWABLE}
