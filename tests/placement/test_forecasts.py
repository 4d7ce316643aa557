"""Who is told when an adapter will be there, and how often."""

from __future__ import annotations

import pytest

from springrock.forwarding.message import AdapterKey
from springrock.placement import forecasts as forecasts_module
from springrock.placement.forecasts import Forecasts
from springrock.placement.messages import Forecast, Message

KEY = AdapterKey("m", "a")
NOW = 1000.0


@pytest.fixture
def reported(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, Message]]:
    monkeypatch.setattr(forecasts_module, "monotonic", lambda: NOW)
    return []


@pytest.fixture
def forecasts(reported: list[tuple[str, Message]]) -> Forecasts:
    return Forecasts(lambda box, message: reported.append((box, message)))


def test_each_who_waits_is_told_once_and_again_if_it_changes(
    forecasts: Forecasts, reported: list[tuple[str, Message]]
) -> None:
    forecasts.notify(KEY, ready_at=NOW + 0.3, boxes={"box-1"})
    forecasts.notify(KEY, ready_at=NOW + 0.35, boxes={"box-1"})
    assert reported == [("box-1", Forecast("m", "a", 300))]
    forecasts.notify(KEY, ready_at=NOW + 0.3, boxes={"box-1", "box-2"})
    assert reported[1:] == [("box-2", Forecast("m", "a", 300))]
    forecasts.notify(KEY, ready_at=NOW + 0.6, boxes={"box-1"})
    assert reported[2:] == [("box-1", Forecast("m", "a", 600))]


def test_who_begins_to_wait_is_told_what_stands_and_nothing_that_is_forgotten(
    forecasts: Forecasts, reported: list[tuple[str, Message]]
) -> None:
    forecasts.send_known(KEY, "box-1")
    forecasts.notify(KEY, ready_at=NOW - 0.2, boxes=())
    forecasts.send_known(KEY, "box-1")
    forecasts.send_known(KEY, "box-1")
    assert reported == [("box-1", Forecast("m", "a", 0))] * 2, "a box that asks anew has forgotten"
    forecasts.keep_only(())
    forecasts.send_known(KEY, "box-1")
    assert len(reported) == 2
