"""The one reader of ``Retry-After``, by which an upstream says for how long it wants nothing."""

from __future__ import annotations

from collections.abc import Mapping

from springrock.errors import SpringrockError
from springrock.non_negative import read_non_negative

HEADER = "Retry-After"

LONGEST_S = 3600.0
"""One that names a longer time is asked again after this: a wrong number does not cost it for good,
and no upstream that is overloaded knows as much in advance."""


class RetryAfterUnreadable(SpringrockError):
    """A value that names no time in seconds."""


def read_retry_after(value: str) -> float:
    """Return the seconds that a value names, fractions included, `LONGEST_S` at most.

    Dates, which RFC 9110 allows as well, are not read: the time of day of a box may jump.

    Raises:
        RetryAfterUnreadable: If it is not a number of seconds, or negative.
    """
    seconds = read_non_negative(value)
    if seconds is None:
        raise RetryAfterUnreadable(f"{value!r} names no time in seconds")
    return min(seconds, LONGEST_S)


def retry_after_in(headers: Mapping[str, str]) -> float:
    """Return the seconds that the headers of an answer name; 0 if they name none."""
    try:
        return read_retry_after(headers.get(HEADER, "0"))
    except RetryAfterUnreadable:
        return 0.0
