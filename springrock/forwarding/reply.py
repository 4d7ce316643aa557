"""Replies to clients: a replica's answer relayed, or an answer that this box generates."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from springrock.forwarding.errors import Rejection
from springrock.forwarding.message import AnswerHead, Header, Headers

_REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Reply(NamedTuple):
    """The reply to a client.

    Attributes:
        body: The body: a list if it is complete, else an iterator that yields it as it arrives.
        reason: One word for logs if this box generated the reply; else empty.
        due_at: When the client waits no longer, on the local monotonic clock.
    """

    head: AnswerHead
    body: Iterable[bytes]
    reason: str = ""
    due_at: float = math.inf


def own_reply(status: int, reason: str, *, retry_after_s: float | None = None) -> Reply:
    """Return a reply that this box generates.

    Args:
        status: 408 and 503 promise that the request did not and will not run; 502 and 504 do not.
        reason: One word for the client and the log.
        retry_after_s: Seconds after which a retry may succeed; None if none would.
    """
    headers = [Header("Content-Type", "application/json")]
    if retry_after_s is not None:
        headers.append(Header("Retry-After", _two_digits_up(max(0.0, retry_after_s))))
    body = msgspec.json.encode({"error": reason})
    head = AnswerHead(status, _REASONS[status], Headers(headers))
    return Reply(head, [body], reason)


def _two_digits_up(seconds: float) -> str:
    """Round up, as a client that returns before its time is refused again."""
    # The product of a binary fraction and 100 may exceed a whole number by rounding alone.
    return f"{math.ceil(round(seconds * 100, 6)) / 100:.2f}"


def rejection_reply(rejection: Rejection) -> Reply:
    """Return the reply to a rejected request."""
    return own_reply(rejection.status, rejection.reason, retry_after_s=rejection.retry_after_s)


def relayed_reply(head: AnswerHead, body: Iterable[bytes]) -> Reply:
    """Return a replica's answer with its end-to-end headers."""
    kept = head.headers.end_to_end().without(("content-length",))
    return Reply(head._replace(headers=kept), body)
