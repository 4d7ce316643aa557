"""Failures of one exchange with one replica: one small class each."""

from __future__ import annotations

from springrock.errors import SpringrockError


class ExchangeError(SpringrockError):
    """An exchange that gave no answer for the client."""


class NotRun(ExchangeError):
    """The replica certainly did not run the request and never will."""


class ReplicaUnreachable(NotRun):
    """No connection to the replica came up; nothing was sent."""


class ConnectionRefused(ReplicaUnreachable):
    """Its host answered that nothing listens there: the replica is down."""


class SendingForbidden(NotRun):
    """Nothing was sent, as the replica may get nothing any more; no fault of the replica's."""


class ReplicaFull(NotRun):
    """The replica said that it did not run the request for want of room."""


class ReplicaChanged(NotRun):
    """The replica is another one, or lacks the model, adapter or version asked for."""


class OutcomeUnknown(ExchangeError):
    """The request was sent and may have run; nothing of an answer can be used."""


class AnswerBroken(OutcomeUnknown):
    """The answer broke off, or its framing cannot be trusted."""


class ForeignAnswer(OutcomeUnknown):
    """The answer belongs to another request."""


class AnswerSilent(OutcomeUnknown):
    """Nothing came within the time that was left."""


class Rejection(SpringrockError):
    """A request that this box ends itself; it has not run and will not.

    Args:
        reason: One word for the client and the log.
        retry_after_s: When to come back, in seconds; None if that makes no sense.

    Attributes:
        status: The status of the answer.
    """

    status = 503

    def __init__(self, reason: str, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        back = "" if retry_after_s is None else f"; come back in {retry_after_s:.2f} s"
        super().__init__(f"{reason}{back}")


class NoReplica(Rejection):
    """No replica can take the request now."""


class Quarantined(Rejection):
    """The request has crashed replicas that ran it, and is sent to no more of them.

    Args:
        retry_after_s: When it may be tried again, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("crashes_replicas", retry_after_s)


class KeyUnknown(Rejection):
    """No team holds the key, or there is none."""

    status = 401

    def __init__(self) -> None:
        super().__init__("key_unknown")


class KeysStale(Rejection):
    """This box does not know surely enough whose key it is.

    Args:
        retry_after_s: When to come back, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("keys_stale", retry_after_s)


class OverQuota(Rejection):
    """The team has used up its quota.

    Args:
        retry_after_s: When there is room again, in seconds; None if there never is.
    """

    status = 429

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__("over_quota", retry_after_s)


class QuotaUnheard(Rejection):
    """Nobody who counts the team's quota can be reached.

    Args:
        retry_after_s: When to come back, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("quota_unheard", retry_after_s)
