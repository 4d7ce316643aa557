"""How long what is known of rows outlasts a store that came back from a copy without it."""

from __future__ import annotations

from springrock.quarantine.report import KEY_PREFIX as CRASHES_PREFIX
from springrock.unconfirmed_rows import RetentionPeriods

_REPLICA_S = 2.0
"""A replica that lives writes its row again by then; one that does not is gone."""

_OPERATOR_S = 10.0
"""An operator writes again what stands; until then an evacuated zone must get nothing."""

_CRASH_S = 10.0
"""Boxes write the reports that were lost again within half of it."""


def kept_replica(key: str) -> RetentionPeriods:
    """Return how long a replica that is missing stays, and one that has left does not come back."""
    return RetentionPeriods(missing=_REPLICA_S, removed=_REPLICA_S)


def kept_operator_row(key: str) -> RetentionPeriods:
    """Return how long an evacuation stays; one that is there again counts at once."""
    return RetentionPeriods(missing=_OPERATOR_S)


def kept_own_row(key: str) -> RetentionPeriods:
    """Return how long a crash report stays; no report is written under a key of another.

    Of the placers' rows only the store's word counts, as leases are taken by it.
    """
    if key.startswith(CRASHES_PREFIX):
        return RetentionPeriods(missing=_CRASH_S, removed=float("inf"))
    return RetentionPeriods()
