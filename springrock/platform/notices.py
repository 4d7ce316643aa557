"""What replicas of the platform tell of themselves in the heads of all their answers."""

from __future__ import annotations

from springrock.forwarding.dialect import NO_NOTICE, ReplicaNotice
from springrock.forwarding.message import Headers
from springrock.platform import names
from springrock.retry_after import HEADER, RetryAfterUnreadable, read_retry_after

_MISDIRECTED = 421
_UNAVAILABLE = 503
_IS_LEAVING = "1"
_LEAVING = names.LEAVING.lower()
_RETRY_AFTER = HEADER.lower()

_SHOWN = 40
"""So many signs of a value that cannot be read are shown in logs."""


def notice_from(status: int, headers: Headers) -> ReplicaNotice:
    """Return what the head of an answer tells of the replica that was meant.

    Whoever answers 421 may be another one, at an address that was used again.
    """
    if status == _MISDIRECTED:
        return NO_NOTICE
    leaving = False
    stated: list[str] = []
    for name, value in headers:
        lowered = name.lower()
        if lowered == _LEAVING:
            leaving = leaving or value.strip() == _IS_LEAVING
        elif lowered == _RETRY_AFTER and status == _UNAVAILABLE:
            stated.append(value)
    if not stated:
        return ReplicaNotice(leaving) if leaving else NO_NOTICE
    try:
        return ReplicaNotice(leaving, backoff_s=max(read_retry_after(value) for value in stated))
    except RetryAfterUnreadable:
        return ReplicaNotice(leaving, unreadable=f"{HEADER}: {stated[0][:_SHOWN]}")
