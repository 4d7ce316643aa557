"""Conversion between readings of the store's tables and messages between boxes."""

from __future__ import annotations

import math

from springrock.eras import era_of, number_of, peer_version
from springrock.placement.messages import TableNews, TableRow
from springrock.rows import Change, Removed, Row, TableReading


def table_news_from(reading: TableReading) -> TableNews:
    """Return the message for a reading."""
    rows = [
        TableRow(change.key, change.value, number_of(change.version))
        if isinstance(change, Row)
        else TableRow(change.key, b"", number_of(change.version), gone=True)
        for change in reading.changes
    ]
    # Rounded down, as the time must never be reported later than it was.
    as_of_ms = None if reading.as_of_s is None else math.floor(reading.as_of_s * 1000)
    return TableNews(
        reading.table,
        number_of(reading.after),
        number_of(reading.version),
        rows,
        reading.is_full_table,
        as_of_ms,
        era_of(reading.version),
    )


def reading_from(updates: TableNews) -> TableReading:
    """Return the reading that a message carries.

    Raises:
        PeerRejected: If the message has a version that no store can have.
    """
    as_of_s = None if updates.as_of_ms is None else updates.as_of_ms / 1000
    after = 0 if updates.is_full_table else peer_version(updates.era, updates.after)
    version = peer_version(updates.era, updates.version)
    changes = [_change_from(row, updates.era) for row in updates.rows]
    return TableReading(updates.table, after, version, changes, updates.is_full_table, as_of_s)


def _change_from(row: TableRow, era: int) -> Change:
    if row.gone:
        return Removed(row.key, peer_version(era, row.version) if row.version else 0)
    return Row(row.key, row.value, peer_version(era, row.version))
