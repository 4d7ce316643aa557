"""The row of a zone's placer in the store: who holds the lease, where, and under which fence."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from springrock.rows import Row

TABLE = "springrock"
KEY_PREFIX = "placer/"


class PlacerRow(Struct, frozen=True, kw_only=True):
    """What the row says.

    Attributes:
        incarnation: The process that holds the lease; empty when it was given up.
        address: Where the placer's link is served.
        fence: The holder's fence.
        renewal: Counts the holder's renewals, so that each writes something new.
        successor: Of one that was given up: whether a box of the zone itself can take it.
        era: The store's era in which the fence was given; 0 if it is not known.
    """

    box: str
    incarnation: str
    address: str
    fence: int
    renewal: int = 0
    successor: bool = True
    era: int = 0


def key_of(zone: str) -> str:
    """Return the key of a zone's row."""
    return f"{KEY_PREFIX}{zone}"


def placer_row_from(row: Row) -> PlacerRow | None:
    """Return what a row says; None if it cannot be read, and so may be taken by nobody."""
    try:
        return msgspec.json.decode(row.value, type=PlacerRow)
    except msgspec.DecodeError:
        return None
