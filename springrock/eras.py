"""Versions of the store's rows as numbers that never go back.

The store counts its transactions. Where it comes back from a copy of some seconds ago it counts on
from there, and gives numbers out again; the era that it names in its answers then rises. A version
as this package compares it is the era and the number in one, the era first.
"""

from __future__ import annotations

from springrock.errors import PeerRejected, SpringrockError

_NUMBER_BITS = 44
_MOST_NUMBERS = 1 << _NUMBER_BITS
_MOST_ERAS = 1 << 19
"""Both together fit into 63 bits, as messages carry them."""

UNKNOWN_ERA = 0
"""Of a store, or a box of an earlier build, that names no era."""


class VersionOutOfRange(SpringrockError):
    """An era or a number that no store can have.

    Args:
        era: The era.
        number: The number in it.
    """

    def __init__(self, era: int, number: int) -> None:
        super().__init__(f"version {number} of the store's era {era}")


def version_in(era: int, number: int) -> int:
    """Return the version of a number in an era.

    Raises:
        VersionOutOfRange: If no store can have it.
    """
    if not (0 <= era < _MOST_ERAS and 0 <= number < _MOST_NUMBERS):
        raise VersionOutOfRange(era, number)
    return era << _NUMBER_BITS | number


def peer_version(era: int, number: int) -> int:
    """Return the version that another box tells.

    Raises:
        PeerRejected: If no store can have it.
    """
    try:
        return version_in(era, number)
    except VersionOutOfRange as error:
        raise PeerRejected(str(error)) from None


def shown(version: int) -> str:
    """Return a version as logs show it: the era as the store names it, and the number."""
    era = era_of(version)
    return str(number_of(version)) if era == UNKNOWN_ERA else f"{era - 1}:{number_of(version)}"


def era_from_reported(reported: int | None) -> int:
    """Return the era that a store names; it may begin with 0, and another may name none."""
    return UNKNOWN_ERA if reported is None else reported + 1


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store itself gave a version."""
    return version & (_MOST_NUMBERS - 1)
