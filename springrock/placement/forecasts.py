"""Sends forecasts of when an adapter is ready to the boxes that wait for it, without repeats."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.messages import Forecast, Message

_MIN_CHANGE_S = 0.1
"""A forecast that differs by less from the one sent last is not sent again."""


class _Reported(NamedTuple):
    """A forecast as it was sent last.

    Attributes:
        ready_at: When the adapter is ready, on the local monotonic clock.
        boxes: The boxes that it was sent to.
        elsewhere: Whether waiting requests should ask another zone.
    """

    ready_at: float
    boxes: set[str]
    elsewhere: bool


class Forecasts:
    """The current forecasts by adapter.

    Args:
        send: Sends a message to one box.
    """

    def __init__(self, send: Callable[[str, Message], None]) -> None:
        self._send = send
        self._sent: dict[AdapterKey, _Reported] = {}

    def notify(
        self,
        key: AdapterKey,
        *,
        ready_at: float,
        boxes: Collection[str],
        elsewhere: bool = False,
    ) -> None:
        """Send a forecast to the boxes that have not received it yet.

        Args:
            key: The adapter.
            ready_at: When the adapter is ready, on the local monotonic clock.
            boxes: The boxes that wait for it.
            elsewhere: Whether waiting requests should ask another zone.
        """
        sent = self._sent.get(key)
        if (
            sent is None
            or abs(sent.ready_at - ready_at) >= _MIN_CHANGE_S
            or sent.elsewhere is not elsewhere
        ):
            sent = _Reported(ready_at, set(), elsewhere)
            self._sent[key] = sent
        for box in set(boxes) - sent.boxes:
            self._send_to(box, key, sent)

    def send_known(self, key: AdapterKey, box: str) -> None:
        """Send the current forecast of an adapter, if any, to a box that starts to wait for it."""
        sent = self._sent.get(key)
        if sent is not None:
            self._send_to(box, key, sent)

    def keep_only(self, wanted: Collection[AdapterKey]) -> None:
        """Drop the forecasts of all adapters but the wanted ones."""
        for key in [key for key in self._sent if key not in wanted]:
            del self._sent[key]

    def _send_to(self, box: str, key: AdapterKey, sent: _Reported) -> None:
        sent.boxes.add(box)
        ready_in_s = max(0.0, sent.ready_at - monotonic())
        ready_in_ms = round(ready_in_s * 1000)
        self._send(box, Forecast(key.model, key.adapter, ready_in_ms, sent.elsewhere))
