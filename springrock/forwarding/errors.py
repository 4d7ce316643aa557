"""Failures of one exchange with one replica: one small class each."""

from __future__ import annotations

from springrock.errors import SpringrockError


class ExchangeError(SpringrockError):
    """An exchange that gave no answer for the client."""


class NotRun(ExchangeError):
    """The replica certainly did not run the request and never will."""


class ReplicaUnreachable(NotRun):
    """No connection to the replica came up; nothing was sent."""


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


class NoReplica(SpringrockError):
    """No replica can take the request now.

    Args:
        reason: One word for logs.
        retry_after_s: When to come back, in seconds.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(f"{reason}; come back in {retry_after_s:.2f} s")
