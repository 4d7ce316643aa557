"""Which boxes get the forecast of an adapter, and how often."""

from __future__ import annotations

import pytest

from springrock.forwarding.message import AdapterKey
from springrock.placement import forecasts as forecasts_module
from springrock.placement.forecasts import Forecasts
from springrock.placement.messages import Forecast, Message

KEY = AdapterKey("m", "a")
NOW = 1000.0


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, Message]]:
    monkeypatch.setattr(forecasts_module, "monotonic", lambda: NOW)
    return []


@pytest.fixture
def forecasts(sent: list[tuple[str, Message]]) -> Forecasts:
    return Forecasts(lambda box, message: sent.append((box, message)))


def test_each_waiting_box_gets_a_forecast_once_and_again_after_a_change(
    forecasts: Forecasts, sent: list[tuple[str, Message]]
) -> None:
    forecasts.notify(KEY, ready_at=NOW + 0.3, boxes={"box-1"})
    forecasts.notify(KEY, ready_at=NOW + 0.35, boxes={"box-1"})
    assert sent == [("box-1", Forecast("m", "a", 300))]
    forecasts.notify(KEY, ready_at=NOW + 0.3, boxes={"box-1", "box-2"})
    assert sent[1:] == [("box-2", Forecast("m", "a", 300))]
    forecasts.notify(KEY, ready_at=NOW + 0.6, boxes={"box-1"})
    assert sent[2:] == [("box-1", Forecast("m", "a", 600))]


def test_a_box_that_starts_to_wait_gets_the_current_forecast_but_no_dropped_one(
    forecasts: Forecasts, sent: list[tuple[str, Message]]
) -> None:
    forecasts.send_known(KEY, "box-1")
    forecasts.notify(KEY, ready_at=NOW - 0.2, boxes=())
    forecasts.send_known(KEY, "box-1")
    forecasts.send_known(KEY, "box-1")
    assert sent == [("box-1", Forecast("m", "a", 0))] * 2, "a box that asks again may have lost it"
    forecasts.keep_only(())
    forecasts.send_known(KEY, "box-1")
    assert len(sent) == 2
