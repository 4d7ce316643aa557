"""Parses ``Retry-After``, the header in which an upstream requests a back-off period."""

from __future__ import annotations

from collections.abc import Mapping

from springrock.errors import SpringrockError
from springrock.non_negative import read_non_negative

HEADER = "Retry-After"

MAX_RETRY_AFTER_S = 3600.0
"""Longer values are cut to this, so that a wrong value does not exclude an upstream for good.

An overloaded upstream cannot predict its load further ahead than this anyway."""


class RetryAfterUnreadable(SpringrockError):
    """A ``Retry-After`` value that is not a non-negative number of seconds."""


def read_retry_after(value: str) -> float:
    """Return the seconds in a header value, fractions included, but at most `MAX_RETRY_AFTER_S`.

    Dates, which RFC 9110 also allows, are rejected, as the wall clock of a box may jump.

    Raises:
        RetryAfterUnreadable: If the value is not a number of seconds or is negative.
    """
    seconds = read_non_negative(value)
    if seconds is None:
        raise RetryAfterUnreadable(f"{value!r} is not a non-negative number of seconds")
    return min(seconds, MAX_RETRY_AFTER_S)


def retry_after_in(headers: Mapping[str, str]) -> float:
    """Return the seconds in the ``Retry-After`` of an answer; 0 if it is missing or unreadable."""
    try:
        return read_retry_after(headers.get(HEADER, "0"))
    except RetryAfterUnreadable:
        return 0.0
