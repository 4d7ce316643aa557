"""Errors of an exchange with a replica, and rejections of requests by this box."""

from __future__ import annotations

from springrock.errors import SpringrockError

_BEHIND_RETRY_S = 0.5
"""A box that is behind another one reads the store within this time, if the store answers."""


class ExchangeError(SpringrockError):
    """The exchange gave no answer for the client."""


class NotRun(ExchangeError):
    """The replica did not run the request and will not run it."""


class ReplicaUnreachable(NotRun):
    """The connection to the replica could not be opened; nothing was sent."""


class ConnectionRefused(ReplicaUnreachable):
    """The host refused the connection: the replica is down."""


class SendingForbidden(NotRun):
    """Nothing was sent, as the request may no longer be sent there; not the replica's fault."""


class ReplicaFull(NotRun):
    """The replica answered that it did not run the request for lack of capacity."""


class ReplicaChanged(NotRun):
    """Another replica answered, or this one lacks the requested model, adapter or version."""


class OutcomeUnknown(ExchangeError):
    """The request was sent and may have run, but there is no usable answer."""


class AnswerBroken(OutcomeUnknown):
    """The answer ended early, or its framing is invalid."""


class AnswerTooLarge(OutcomeUnknown):
    """The answer has a part with too many bytes, or one that does not end; its replica lives on."""


class ForeignAnswer(OutcomeUnknown):
    """The answer belongs to another request."""


class AnswerSilent(OutcomeUnknown):
    """Nothing arrived within the timeout."""


class Rejection(SpringrockError):
    """The box answers the request itself; it has not run and will not run.

    Args:
        reason: One word for the client and the log.
        retry_after_s: Seconds after which a retry may succeed; None if none would.

    Attributes:
        status: The status of the answer.
    """

    status = 503

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        retry = "" if retry_after_s is None else f"; retry after {retry_after_s:.2f} s"
        super().__init__(f"{reason}{retry}")


class NoReplica(Rejection):
    """No replica can take the request now."""


class BehindOtherBox(Rejection):
    """Another box passed the request on, and knows a newer configuration or adapter."""

    reason = "behind_other_box"

    def __init__(self) -> None:
        super().__init__(self.reason, _BEHIND_RETRY_S)


class StreamOriginUnknown(Rejection):
    """The request takes a stream up, and which software version began it is not known.

    Args:
        retry_after_s: Seconds after which a retry may succeed, here or at another box.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("stream_origin_unknown", retry_after_s)


class Quarantined(Rejection):
    """The request has crashed replicas that ran it and is not sent to any other.

    Args:
        retry_after_s: Seconds until the request may be sent again.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("crashes_replicas", retry_after_s)


class KeyUnknown(Rejection):
    """The request has no key, or its key belongs to no team."""

    status = 401

    def __init__(self) -> None:
        super().__init__("key_unknown")


class KeysStale(Rejection):
    """The key cannot be checked, as this box's list of keys is too old.

    Args:
        retry_after_s: Seconds after which a retry may succeed.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("keys_stale", retry_after_s)


class OverQuota(Rejection):
    """The team has used up its quota.

    Args:
        retry_after_s: Seconds until the quota allows the request; None if it never does.
    """

    status = 429

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__("over_quota", retry_after_s)


class QuotaUnheard(Rejection):
    """No box that counts the team's quota can be reached.

    Args:
        retry_after_s: Seconds after which a retry may succeed.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("quota_unheard", retry_after_s)
