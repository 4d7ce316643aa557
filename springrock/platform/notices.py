"""Parses the notices that replicas of the platform put into the heads of all their answers."""

from __future__ import annotations

from springrock.forwarding.dialect import EMPTY_NOTICE, NO_NOTICE, ReplicaNotice
from springrock.forwarding.message import Headers
from springrock.non_negative import read_non_negative
from springrock.platform import names
from springrock.retry_after import HEADER, RetryAfterUnreadable, read_retry_after

_MISDIRECTED = 421
_UNAVAILABLE = 503
_LEAVING_VALUE = "1"
_LEAVING = names.LEAVING.lower()
_LIMIT = names.LIMIT.lower()
_BRITTLE = names.BRITTLE.lower()
_RETRY_AFTER = HEADER.lower()
_RATE_NAMES = {_LIMIT: names.LIMIT, _BRITTLE: names.BRITTLE}
_NOTICE_PREFIX = names.NOTICE_PREFIX.lower()

_KNOWN_HEADERS = frozenset((_LEAVING, _LIMIT, _BRITTLE, _RETRY_AFTER))

_MAX_LOGGED_CHARS = 40
"""Characters of a malformed value or unknown name that are logged."""


def notice_from(status: int, headers: Headers) -> ReplicaNotice:
    """Return what the head of an answer says about the replica that the request was sent to.

    An answer 421 may come from another replica at the same address, so its notices are ignored.
    """
    if status == _MISDIRECTED:
        return NO_NOTICE
    reported = [
        (lowered, value)
        for name, value in headers
        if (lowered := name.lower()) == _RETRY_AFTER or lowered.startswith(_NOTICE_PREFIX)
    ]
    if not reported:
        return EMPTY_NOTICE
    backoffs: list[float] = []
    rates: dict[str, list[float]] = {_LIMIT: [], _BRITTLE: []}
    unreadable = ""
    for name, value in reported:
        if name in rates:
            rate = read_non_negative(value)
            if rate is None:
                unreadable = f"{_RATE_NAMES[name]}: {value[:_MAX_LOGGED_CHARS]}"
            else:
                rates[name].append(rate)
        elif name == _RETRY_AFTER and status == _UNAVAILABLE:
            try:
                backoffs.append(read_retry_after(value))
            except RetryAfterUnreadable:
                unreadable = f"{HEADER}: {value[:_MAX_LOGGED_CHARS]}"
    # If a header is repeated, the value that gives the replica the least load applies.
    return ReplicaNotice(
        leaving=any(
            name == _LEAVING and value.strip() == _LEAVING_VALUE for name, value in reported
        ),
        backoff_s=max(backoffs, default=0.0),
        unreadable=unreadable,
        limit_per_s=min(rates[_LIMIT], default=None),
        brittle_per_s=min(rates[_BRITTLE], default=None),
        unknown=tuple(
            name[:_MAX_LOGGED_CHARS] for name, _ in reported if name not in _KNOWN_HEADERS
        ),
    )
