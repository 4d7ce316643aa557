"""Readings of the store's tables as messages between boxes."""

from __future__ import annotations

import math

from springrock.placement.messages import TableNews, TableRow
from springrock.rows import Change, Removed, Row, TableReading


def news_from(reading: TableReading) -> TableNews:
    """Return the message that tells a reading."""
    rows = [
        TableRow(change.key, change.value, change.version)
        if isinstance(change, Row)
        else TableRow(change.key, b"", change.version, gone=True)
        for change in reading.changes
    ]
    # Rounded down: a moment must never be told as later than it was.
    as_of_ms = None if reading.as_of_s is None else math.floor(reading.as_of_s * 1000)
    return TableNews(reading.table, reading.after, reading.version, rows, reading.whole, as_of_ms)


def reading_from(news: TableNews) -> TableReading:
    """Return the reading that a message tells."""
    changes: list[Change] = [
        Removed(row.key, row.version) if row.gone else Row(row.key, row.value, row.version)
        for row in news.rows
    ]
    as_of_s = None if news.as_of_ms is None else news.as_of_ms / 1000
    return TableReading(news.table, news.after, news.version, changes, news.whole, as_of_s)
