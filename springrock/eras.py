"""Versions of the store's rows as integers that never decrease.

The store numbers its transactions. When it is restored from a copy that is some seconds old, it
continues from the copy's number, and so assigns some numbers again. It then increments its era,
which its answers contain. A version in this package combines both in one integer, with the era in
the high bits, so that versions compare correctly across restores.
"""

from __future__ import annotations

from springrock.errors import PeerRejected, SpringrockError

_NUMBER_BITS = 44
_NUMBERS_PER_ERA = 1 << _NUMBER_BITS
_MAX_ERAS = 1 << 19
"""Era and number together fit into 63 bits, so that messages can carry a version as an integer."""

UNKNOWN_ERA = 0
"""The era for a store, or a box with an earlier build, that reports none."""


class VersionOutOfRange(SpringrockError):
    """An era or a number outside the range of a version.

    Args:
        era: The era.
        number: The number within the era.
    """

    def __init__(self, era: int, number: int) -> None:
        super().__init__(f"version {number} of the store's era {era}")


def version_in(era: int, number: int) -> int:
    """Return the version that combines an era and a number.

    Raises:
        VersionOutOfRange: If the era or the number is out of range.
    """
    if not (0 <= era < _MAX_ERAS and 0 <= number < _NUMBERS_PER_ERA):
        raise VersionOutOfRange(era, number)
    return era << _NUMBER_BITS | number


def peer_version(era: int, number: int) -> int:
    """Return the version that combines an era and a number from another box.

    Raises:
        PeerRejected: If the era or the number is out of range.
    """
    try:
        return version_in(era, number)
    except VersionOutOfRange as error:
        raise PeerRejected(str(error)) from None


def format_version(version: int) -> str:
    """Format a version for logs: the era as the store reports it, if known, and the number."""
    era = era_of(version)
    return str(number_of(version)) if era == UNKNOWN_ERA else f"{era - 1}:{number_of(version)}"


def era_from_reported(reported: int | None) -> int:
    """Convert the era that a store reports to the one in this package's versions.

    The eras that stores report start at 0. They are shifted by one to distinguish them from
    `UNKNOWN_ERA`, the result for a store that reports none.
    """
    return UNKNOWN_ERA if reported is None else reported + 1


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number that the store itself assigned to a version."""
    return version & (_NUMBERS_PER_ERA - 1)
