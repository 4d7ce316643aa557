"""What replicas of the platform tell of themselves in the heads of all their answers."""

from __future__ import annotations

from springrock.forwarding.dialect import EMPTY_NOTICE, NO_NOTICE, ReplicaNotice
from springrock.forwarding.message import Headers
from springrock.non_negative import read_non_negative
from springrock.platform import names
from springrock.retry_after import HEADER, RetryAfterUnreadable, read_retry_after

_MISDIRECTED = 421
_UNAVAILABLE = 503
_IS_LEAVING = "1"
_LEAVING = names.LEAVING.lower()
_LIMIT = names.LIMIT.lower()
_RETRY_AFTER = HEADER.lower()
_PREFIX = names.WORD_PREFIX.lower()

_KNOWN = frozenset((_LEAVING, _LIMIT, _RETRY_AFTER))

_SHOWN = 40
"""So many signs of a value that cannot be read are shown in logs."""


def notice_from(status: int, headers: Headers) -> ReplicaNotice:
    """Return what the head of an answer tells of the replica that was meant.

    Whoever answers 421 may be another one, at an address that was used again.
    """
    if status == _MISDIRECTED:
        return NO_NOTICE
    reported = [
        (lowered, value)
        for name, value in headers
        if (lowered := name.lower()) == _RETRY_AFTER or lowered.startswith(_PREFIX)
    ]
    if not reported:
        return EMPTY_NOTICE
    backoffs: list[float] = []
    limits: list[float] = []
    unreadable = ""
    for name, value in reported:
        if name == _LIMIT:
            limit = read_non_negative(value)
            if limit is None:
                unreadable = f"{names.LIMIT}: {value[:_SHOWN]}"
            else:
                limits.append(limit)
        elif name == _RETRY_AFTER and status == _UNAVAILABLE:
            try:
                backoffs.append(read_retry_after(value))
            except RetryAfterUnreadable:
                unreadable = f"{HEADER}: {value[:_SHOWN]}"
    # Of several words the one that spares the replica most.
    return ReplicaNotice(
        leaving=any(name == _LEAVING and value.strip() == _IS_LEAVING for name, value in reported),
        backoff_s=max(backoffs, default=0.0),
        unreadable=unreadable,
        limit_per_s=min(limits, default=None),
        unknown=tuple(name[:_SHOWN] for name, _ in reported if name not in _KNOWN),
    )
