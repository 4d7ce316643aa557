"""Events split out of bytes that arrive in any pieces."""

from __future__ import annotations

import pytest

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
