"""Splits a stream of server-sent events, so that only complete events are relayed."""

from __future__ import annotations

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r\n\r\n|\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")


class Event(NamedTuple):
    """One complete event.

    Attributes:
        raw: The event's bytes as received, including the blank line that ends it.
        event_id: The event's id, or empty.
    """

    raw: bytes
    event_id: str


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        self._incomplete += data
        events: list[Event] = []
        while match := _EVENT_END.search(self._incomplete):
            raw = self._incomplete[: match.end()]
            self._incomplete = self._incomplete[match.end() :]
            found = _ID_LINE.search(raw)
            events.append(Event(raw, found.group(1).decode("latin-1") if found else ""))
        return events

    def drain_incomplete(self) -> bytes:
        """Return and clear the bytes of an incomplete event, at the end of the stream."""
        incomplete, self._incomplete = self._incomplete, b""
        return incomplete
