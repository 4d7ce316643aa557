"""Events split out of bytes that arrive in any pieces."""

from __future__ import annotations

import re

import pytest

from springrock.forwarding import events as events_module
from springrock.forwarding.errors import AnswerTooLarge
from springrock.forwarding.events import EventSplitter


@pytest.mark.parametrize("blank_line", [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n"])
def test_events_are_found_wherever_the_bytes_are_split(blank_line: bytes) -> None:
    line_end = blank_line[:2] if blank_line.startswith(b"\r\n") else blank_line[:1]
    events = [b"id: %d%sdata: x%s" % (number, line_end, blank_line) for number in range(3)]
    data = b"".join(events)
    for at in range(len(data) + 1):
        splitter = EventSplitter()
        found = splitter.feed(data[:at]) + splitter.feed(data[at:])
        assert [event.raw for event in found] == events
        assert [event.event_id for event in found] == ["0", "1", "2"]
        assert splitter.drain_incomplete() == b""


def test_a_last_event_without_its_blank_line_is_incomplete() -> None:
    splitter = EventSplitter()
    assert len(splitter.feed(b"id: 1\ndata: x\n\nid: 2\ndata: y\n")) == 1
    assert splitter.drain_incomplete() == b"id: 2\ndata: y\n"


class CountingPattern:
    """Counts the bytes that a pattern is given to search."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.searched = 0

    def search(self, data: bytes, at: int = 0) -> re.Match[bytes] | None:
        self.searched += len(data) - at
        return self._pattern.search(data, at)


def test_a_long_event_is_not_searched_again_with_each_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    pattern = CountingPattern(events_module._EVENT_END)
    monkeypatch.setattr(events_module, "_EVENT_END", pattern)
    splitter = EventSplitter()
    parts = [b"data: ", *[b"x" * 1000] * 100, b"\n", b"\n"]
    [event] = [event for part in parts for event in splitter.feed(part)]
    assert event.raw == b"".join(parts)
    assert pattern.searched < 2 * len(b"".join(parts))


def test_an_event_without_an_end_is_not_kept_beyond_its_bound() -> None:
    splitter = EventSplitter(max_event_bytes=100)
    assert splitter.feed(b"data: " + b"x" * 94) == []
    with pytest.raises(AnswerTooLarge):
        splitter.feed(b"x")


def test_events_that_arrive_together_may_be_longer_than_the_bound_of_one() -> None:
    splitter = EventSplitter(max_event_bytes=20)
    assert len(splitter.feed(b"data: x\n\n" * 100)) == 100
