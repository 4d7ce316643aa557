"""How long known rows are kept after the store was restored from a copy that differs on them."""

from __future__ import annotations

from springrock.quarantine.report import KEY_PREFIX as CRASHES_PREFIX
from springrock.unconfirmed_rows import RetentionPeriods

_REPLICA_RETENTION_S = 2.0
"""A running replica writes its row again within this time; one that does not has stopped."""

_OPERATOR_ROW_RETENTION_S = 10.0
"""Time for an operator to write a lost evacuation again. Until then it stays in force, so that an
evacuated zone gets no requests."""

_CRASH_REPORT_RETENTION_S = 10.0
"""Boxes write lost crash reports again within half of this time."""


def replica_retention(key: str) -> RetentionPeriods:
    """Return how long a replica that the copy lacks is kept, and one that left is not restored."""
    return RetentionPeriods(missing=_REPLICA_RETENTION_S, removed=_REPLICA_RETENTION_S)


def operator_row_retention(key: str) -> RetentionPeriods:
    """Return how long an evacuation that the copy lacks is kept; one in it applies at once."""
    return RetentionPeriods(missing=_OPERATOR_ROW_RETENTION_S)


def own_row_retention(key: str) -> RetentionPeriods:
    """Return how long a crash report is kept, and that a removed one never returns.

    The key of a removed report is never used again. Placers' rows are not kept, as leases are
    acquired in the store and only its state counts.
    """
    if key.startswith(CRASHES_PREFIX):
        return RetentionPeriods(missing=_CRASH_REPORT_RETENTION_S, removed=float("inf"))
    return RetentionPeriods()
