"""Tells boxes that wait for an adapter when it will be there, each only what it does not know."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import Forecast, Message

_STEP_S = 0.1
"""Forecasts that differ by less are not told again."""


class _Reported(NamedTuple):
    """A forecast as it was told.

    Attributes:
        boxes: Who knows it.
        elsewhere: Whether who waits does better to ask another zone.
    """

    ready_at: float
    boxes: set[str]
    elsewhere: bool


class Forecasts:
    """The forecasts that stand.

    Args:
        send: Sends a message to one box.
    """

    def __init__(self, send: Callable[[str, Message], None]) -> None:
        self._send = send
        self._reported: dict[AdapterKey, _Reported] = {}

    def notify(
        self,
        key: AdapterKey,
        *,
        ready_at: float,
        boxes: Collection[str],
        elsewhere: bool = False,
    ) -> None:
        """Tell boxes when an adapter will be there, unless they know it already.

        Args:
            key: The adapter.
            ready_at: When, on the local monotonic clock.
            boxes: Who waits for it.
            elsewhere: Whether who waits does better to ask another zone.
        """
        reported = self._reported.get(key)
        if (
            reported is None
            or abs(reported.ready_at - ready_at) >= _STEP_S
            or reported.elsewhere is not elsewhere
        ):
            reported = _Reported(ready_at, set(), elsewhere)
            self._reported[key] = reported
        for box in set(boxes) - reported.boxes:
            self._notify_one(box, key, reported)

    def send_known(self, key: AdapterKey, box: str) -> None:
        """Tell a box that begins to wait what others were told."""
        reported = self._reported.get(key)
        if reported is not None:
            self._notify_one(box, key, reported)

    def keep_only(self, wanted: Collection[AdapterKey]) -> None:
        """Forget what nobody wants any more."""
        for key in [key for key in self._reported if key not in wanted]:
            del self._reported[key]

    def _notify_one(self, box: str, key: AdapterKey, reported: _Reported) -> None:
        reported.boxes.add(box)
        ready_in_s = max(0.0, reported.ready_at - monotonic())
        ready_in_ms = round(ready_in_s * 1000)
        self._send(box, Forecast(key.model, key.adapter, ready_in_ms, reported.elsewhere))
