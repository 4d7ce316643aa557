"""Readings of the store's tables as messages between boxes."""

from __future__ import annotations

import math

from springrock.eras import era_of, number_of, told_version
from springrock.placement.messages import TableNews, TableRow
from springrock.rows import Change, Removed, Row, TableReading


def news_from(reading: TableReading) -> TableNews:
    """Return the message that tells a reading."""
    rows = [
        TableRow(change.key, change.value, number_of(change.version))
        if isinstance(change, Row)
        else TableRow(change.key, b"", number_of(change.version), gone=True)
        for change in reading.changes
    ]
    # Rounded down: a moment must never be told as later than it was.
    as_of_ms = None if reading.as_of_s is None else math.floor(reading.as_of_s * 1000)
    return TableNews(
        reading.table,
        number_of(reading.after),
        number_of(reading.version),
        rows,
        reading.whole,
        as_of_ms,
        era_of(reading.version),
    )


def reading_from(news: TableNews) -> TableReading:
    """Return the reading that a message tells.

    Raises:
        PeerRejected: If it names a version that no store can have.
    """
    as_of_s = None if news.as_of_ms is None else news.as_of_ms / 1000
    after = 0 if news.whole else told_version(news.era, news.after)
    version = told_version(news.era, news.version)
    changes = [_change_from(row, news.era) for row in news.rows]
    return TableReading(news.table, after, version, changes, news.whole, as_of_s)


def _change_from(row: TableRow, era: int) -> Change:
    if row.gone:
        return Removed(row.key, told_version(era, row.version) if row.version else 0)
    return Row(row.key, row.value, told_version(era, row.version))
