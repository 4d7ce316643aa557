"""Versions are ordered by era, then by number."""

from __future__ import annotations

import pytest

from springrock.eras import (
    VersionOutOfRange,
    era_from_reported,
    era_of,
    format_version,
    number_of,
    peer_version,
    version_in,
)
from springrock.errors import PeerRejected


def test_a_later_era_is_above_every_number_of_an_earlier_one() -> None:
    assert version_in(2, 1) > version_in(1, 10**12)
    assert version_in(0, 812) == 812, "without an era the version is the store's number"
    assert (era_of(version_in(3, 812)), number_of(version_in(3, 812))) == (3, 812)


@pytest.mark.parametrize(("era", "number"), [(-1, 0), (0, -1), (1 << 19, 0), (0, 1 << 44)])
def test_an_era_or_number_out_of_range_is_rejected(era: int, number: int) -> None:
    with pytest.raises(VersionOutOfRange):
        version_in(era, number)
    with pytest.raises(PeerRejected):
        peer_version(era, number)


def test_versions_are_formatted_with_the_store_s_own_era() -> None:
    assert format_version(version_in(era_from_reported(None), 812)) == "812"
    assert format_version(version_in(era_from_reported(0), 812)) == "0:812"
    assert format_version(version_in(era_from_reported(3), 1)) == "3:1"
