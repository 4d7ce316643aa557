"""A fixture that replaces the lease's clock by one that tests advance."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springrock.placement import lease as lease_module


class Clock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.now = 1000.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(lease_module, "monotonic", lambda: clock.now)
    yield clock
