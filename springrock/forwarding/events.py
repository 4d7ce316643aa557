"""Splits a stream of server-sent events, so that only complete events are relayed."""

from __future__ import annotations

import re
from typing import NamedTuple

from springrock.forwarding.answer_limits import DEFAULT_LIMITS
from springrock.forwarding.errors import AnswerTooLarge

_EVENT_END = re.compile(rb"\r\n\r\n|\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
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
    """Buffers bytes and returns complete events.

    Args:
        max_event_bytes: The length of the longest event.
    """

    def __init__(self, *, max_event_bytes: int = DEFAULT_LIMITS.event_bytes) -> None:
        self._max_event_bytes = max_event_bytes
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        Raises:
            AnswerTooLarge: If the next event is too long.
        """
        begin, search_from = 0, max(0, len(self._incomplete) - _MAX_END_BYTES + 1)
        self._incomplete += data
        events: list[Event] = []
        while match := _EVENT_END.search(self._incomplete, search_from):
            raw = bytes(self._incomplete[begin : match.end()])
            found = _ID_LINE.search(raw)
            events.append(Event(raw, found.group(1).decode("latin-1") if found else ""))
            begin = search_from = match.end()
        del self._incomplete[:begin]
        if not events and len(self._incomplete) > self._max_event_bytes:
            raise AnswerTooLarge(f"an event of more than {self._max_event_bytes} bytes")
        return events

    @property
    def inside_event(self) -> bool:
        """Whether a stream that ends now ends inside an event, so that it has been broken off."""
        return bool(self._incomplete.strip(b"\r\n"))

    def drain_incomplete(self) -> bytes:
        """Return and clear the bytes of an incomplete event, at the end of the stream."""
        incomplete, self._incomplete = bytes(self._incomplete), bytearray()
        return incomplete
