"""The store's row of a zone's placer: the lease's holder, its address and its fence."""

from __future__ import annotations

from msgspec import Struct

from springrock.rows import Row
from springrock.strict_json import Int64, MalformedJson, decode_json

TABLE = "springrock"
KEY_PREFIX = "placer/"


class SoftwareReport(Struct, frozen=True, kw_only=True):
    """The software versions that replicas had within the life of a stream.

    It outlives the boxes, so that those that start again know what served before.

    Attributes:
        as_of_ms: When they were known, on the store's steady clock.
        era: The store's era of that time.
        versions: The versions of each service.
    """

    as_of_ms: Int64
    era: Int64
    versions: dict[str, list[str]]


class PlacerRow(Struct, frozen=True, kw_only=True):
    """The content of a placer's row.

    Attributes:
        incarnation: The id of the process that holds the lease; empty once it was released.
        address: The address at which the placer accepts links.
        fence: The highest fence that the lease has reserved; the holder's own is below it.
        renewal: The number of renewals by the holder, so that each one changes the row.
        successor: In a released row: whether a box of the zone itself can acquire the lease.
        era: The store's era in which the fence was issued; 0 if unknown.
        software: What the placer's box knows of software versions; None if it does not know enough.
    """

    box: str
    incarnation: str
    address: str
    fence: Int64
    renewal: Int64 = 0
    successor: bool = True
    era: Int64 = 0
    software: SoftwareReport | None = None


def key_of(zone: str) -> str:
    """Return the key of a zone's row."""
    return f"{KEY_PREFIX}{zone}"


def placer_row_from(row: Row) -> PlacerRow | None:
    """Return the content of a row; None if it cannot be decoded, so that no box acquires it."""
    try:
        return decode_json(row.value, PlacerRow)
    except MalformedJson:
        return None
