"""The back-offs that engines have requested from boxes, as the placer records them."""

from __future__ import annotations

import pytest

from springrock import backoff as backoff_module
from springrock.placement.backoffs import Backoffs


def test_a_backoff_applies_to_its_engine_and_box_until_it_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 100.0
    monkeypatch.setattr(backoff_module, "monotonic", lambda: now)
    backoffs = Backoffs()
    backoffs.record("box-1", "i-1", seconds=3.0)
    backoffs.record("box-1", "i-1", seconds=1.0)
    backoffs.record("box-1", "i-2", seconds=1.0)
    assert backoffs.of("box-1") == {"i-1", "i-2"}
    assert backoffs.of("box-2") == frozenset()
    now += 2.0
    assert backoffs.of("box-1") == {"i-1"}
    now += 1.0
    assert backoffs.of("box-1") == frozenset()
    backoffs.record("box-1", "i-1", seconds=1.0)
    backoffs.forget_box("box-1")
    assert backoffs.of("box-1") == frozenset()
